// Ranks the endpoints for a read.
#pragma once

#include <optional>
#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// State of one endpoint that may serve a read.
struct ReadCandidate {
  EndpointId endpoint;
  bool is_primary = false;
  bool reachable = true;
  // Position that reads at this endpoint are known to include.
  Position applied;
  // Estimated replication lag; nullopt if unknown.
  std::optional<Duration> lag;
  // Requests of this proxy that are in progress or queued at the endpoint.
  std::size_t outstanding = 0;
  // Limit on the requests of this proxy in progress at the endpoint. Must be positive.
  std::size_t slots = 1;
  Duration round_trip_time{};
};

// What a read requires of an endpoint.
struct ReadRequirement {
  // The read has to include everything up to this position.
  Position position;
  // Time since the session saw the position; 0 if unknown.
  Duration position_age{};
  // Only the primary may serve the read.
  bool primary_only = false;
};

// Settings of the router.
struct RoutingPolicy {
  // Maximum wait at a replica that has not applied the position yet.
  Millis max_wait{40};
  // Outstanding requests per slot from which a replica counts as overloaded.
  double overload_per_slot = 1.5;
  // Time added to the cost of an endpoint for each outstanding request per slot.
  Millis load_weight{4};
};

struct ReadChoice {
  EndpointId endpoint;
  bool is_primary = false;
  // Maximum time that the endpoint may wait for the position before it refuses.
  Millis max_wait{0};
};

// The endpoints to try, best first. The primary comes last, unless every eligible replica is
// overloaded and the primary has a lower cost than the best of them. Pure and thread safe.
std::vector<ReadChoice> ChooseReadEndpoints(const std::vector<ReadCandidate>& candidates,
                                            const ReadRequirement& need,
                                            const RoutingPolicy& policy);

}  // namespace cardamom
