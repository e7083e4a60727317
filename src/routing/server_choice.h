// Orders the servers of a group for a read, by expected time to the answer.
#pragma once

#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// Expected latency of a server: a moving average that fades back to a base when no answers come,
// so that a server that was slow is tried again. Pure. Not thread safe.
class LatencyEstimate {
 public:
  // `base` is what to expect before the first answer.
  explicit LatencyEstimate(Duration base) : m_base(base) {}

  void OnAnswer(Duration latency, TimePoint now);
  // Counts an attempt that failed or timed out as an answer that took `penalty`.
  void OnFailure(Duration penalty, TimePoint now);
  Duration Expect(TimePoint now) const;

 private:
  // Weight of a new answer.
  static constexpr double kWeight = 0.15;
  // Time in which the distance to the base falls to a third without answers.
  static constexpr Millis kFade{2000};

  const Duration m_base;
  double m_excess_ns = 0;
  TimePoint m_updated;
};

// What the router knows of one server.
struct ServerOption {
  EndpointId endpoint;
  bool is_primary = false;
  // Known or likely to hold the position that the read needs.
  bool fresh = true;
  bool reachable = true;
  Duration expected{};
  // Statements of this proxy in progress there.
  std::size_t outstanding = 0;
};

struct ServerChoicePolicy {
  // The primary keeps its slots for what only it can do: a replica goes first unless it is
  // expected to take this many times as long.
  double primary_reluctance = 1.8;
  // Part of the expected latency that each statement in progress adds.
  double weight_of_outstanding = 0.5;
};

// The servers worth asking, best first: reachable ones that are fresh; the primary is always fresh.
// Pure and thread safe.
std::vector<EndpointId> OrderServers(const std::vector<ServerOption>& options,
                                     const ServerChoicePolicy& policy);

}  // namespace cardamom
