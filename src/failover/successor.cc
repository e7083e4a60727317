#include "failover/successor.h"

#include <algorithm>
#include <tuple>

namespace cardamom {

std::optional<EndpointId> ChooseSuccessor(const std::vector<StoppedServer>& servers) {
  bool all_replicas = true;
  std::optional<Position> old_primary;
  Position longest;
  const StoppedServer* best = nullptr;
  const StoppedServer* primary = nullptr;
  for (const auto& server : servers) {
    if (!server.stopped) {
      all_replicas = all_replicas && (server.was_primary || server.gone_long_ago);
      continue;
    }
    if (server.was_primary) {
      old_primary = server.received;
      primary = server.leaving ? nullptr : &server;
      continue;
    }
    longest = std::max(longest, server.received);
    if (!server.leaving && (best == nullptr || std::tie(best->received, server.endpoint) <
                                                   std::tie(server.received, best->endpoint))) {
      best = &server;
    }
  }
  const bool longest_of_all = best != nullptr && all_replicas && best->received == longest;
  const bool holds_primary = best != nullptr && old_primary && best->received >= *old_primary;
  if (longest_of_all || holds_primary) {
    return best->endpoint;
  }
  if (primary != nullptr) {
    return primary->endpoint;
  }
  return std::nullopt;
}

}  // namespace cardamom
