// Chooses the endpoint of a read.
#pragma once

#include <optional>
#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// What the router knows of one endpoint that may serve a read.
struct ReadCandidate {
  EndpointId endpoint;
  bool is_primary = false;
  bool reachable = true;
  // Position that reads are known to see there.
  Position applied;
  // Estimate of the time by which the endpoint lags; nothing if unknown.
  std::optional<Duration> lag;
  // Requests in progress and waiting from this proxy.
  std::size_t outstanding = 0;
  std::size_t slots = 1;
  // Round-trip time.
  Duration distance{};
};

struct ReadNeed {
  Position position;
  // How long ago the session saw the position; 0 if unknown.
  Duration position_age{};
  // Only the primary will do.
  bool primary_only = false;
};

// Settings of the router.
struct RoutingPolicy {
  // Longest wait at a replica that has not applied the position yet.
  Millis max_wait{40};
  // Requests per slot above which a replica counts as overloaded.
  double overload_per_slot = 1.5;
  // Weight of an outstanding request per slot, as time.
  Millis load_weight{4};
};

struct ReadChoice {
  EndpointId endpoint;
  bool is_primary = false;
  // How long the endpoint may wait for the position before it refuses.
  Millis wait{0};
};

// The endpoints to try, best first; the primary comes last unless every replica is overloaded. Pure
// and thread safe.
std::vector<ReadChoice> ChooseRead(const std::vector<ReadCandidate>& candidates,
                                   const ReadNeed& need,
                                   const RoutingPolicy& policy);

}  // namespace cardamom
