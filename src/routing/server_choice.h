// Ranks the servers of a group for a read by expected response time.
#pragma once

#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// Expected latency of a server: a moving average that decays to a base value while no responses
// arrive, so that a server that was slow is tried again. Performs no I/O: the time is
// passed in. Not thread safe.
class LatencyEstimate {
 public:
  // `base` is the expected latency before the first response.
  explicit LatencyEstimate(Duration base) : m_base(base) {}

  // Adds the latency of a response received at `now`.
  void OnResponse(Duration latency, TimePoint now);
  // Counts a failed or timed-out attempt as a response with a latency of `penalty`, or of the
  // expected latency if that is greater.
  void OnFailure(Duration penalty, TimePoint now);
  // Expected latency of a request sent at `now`.
  Duration ExpectedLatency(TimePoint now) const;

 private:
  // Weight of a new response in the moving average.
  static constexpr double kSampleWeight = 0.15;
  // Time constant of the decay: without responses, the excess over the base falls to about a third
  // (1/e) in this time.
  static constexpr Millis kDecayTime{2000};

  const Duration m_base;
  double m_excess_ns = 0;
  TimePoint m_updated_at;
};

// State of one server that may serve a read.
struct ServerCandidate {
  EndpointId endpoint;
  bool is_primary = false;
  // The server has applied, or is likely to have applied, the position that the read requires.
  bool fresh = true;
  bool reachable = true;
  Duration expected_latency{};
  // Statements of this proxy in progress at the server.
  std::size_t outstanding = 0;
};

struct ServerChoicePolicy {
  // Factor on the cost of the primary, to keep its slots for work that only it can do: a replica
  // ranks first unless its cost is more than this many times that of the primary.
  double primary_cost_factor = 1.8;
  // Each statement in progress adds this fraction of the expected latency to the cost.
  double outstanding_weight = 0.5;
};

// The reachable servers that are fresh, best first; the primary always counts as fresh.
// Pure and thread safe.
std::vector<EndpointId> RankServers(const std::vector<ServerCandidate>& candidates,
                                    const ServerChoicePolicy& policy);

}  // namespace cardamom
