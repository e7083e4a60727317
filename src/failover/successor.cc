#include "failover/successor.h"

#include <algorithm>
#include <tuple>

namespace cardamom {

std::optional<EndpointId> ChooseSuccessor(const std::vector<StopResult>& servers) {
  bool all_replicas_accounted_for = true;
  std::optional<Position> old_primary_end;
  Position longest;
  const StopResult* best_replica = nullptr;
  const StopResult* primary = nullptr;
  for (const auto& server : servers) {
    if (!server.stopped) {
      all_replicas_accounted_for =
          all_replicas_accounted_for && (server.was_primary || server.safe_to_ignore);
      continue;
    }
    if (server.was_primary) {
      old_primary_end = server.received;
      primary = server.leaving ? nullptr : &server;
      continue;
    }
    longest = std::max(longest, server.received);
    if (!server.leaving &&
        (best_replica == nullptr || std::tie(best_replica->received, server.endpoint) <
                                        std::tie(server.received, best_replica->endpoint))) {
      best_replica = &server;
    }
  }
  const bool longest_of_all =
      best_replica != nullptr && all_replicas_accounted_for && best_replica->received == longest;
  const bool holds_primary_log =
      best_replica != nullptr && old_primary_end && best_replica->received >= *old_primary_end;
  if (longest_of_all || holds_primary_log) {
    return best_replica->endpoint;
  }
  if (primary != nullptr) {
    return primary->endpoint;
  }
  return std::nullopt;
}

}  // namespace cardamom
