#include "failover/successor.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cardamom {
namespace {

// The servers that may hold acknowledged commits beyond a log that was compared.
struct LostServers {
  std::set<EndpointId> primaries;
  std::set<EndpointId> replicas;
};

LostServers FindLostServers(const std::vector<StopResult>& servers, Position log_end) {
  LostServers lost;
  for (const auto& server : servers) {
    const bool covered = server.covered_by && *server.covered_by <= log_end;
    if (!server.stopped && !covered) {
      (server.was_primary ? lost.primaries : lost.replicas).insert(server.endpoint);
    }
  }
  return lost;
}

bool HasShorterLog(const StopResult& left, const StopResult& right) {
  return std::tie(left.received, right.endpoint) < std::tie(right.received, left.endpoint);
}

}  // namespace

std::optional<EndpointId> ChooseSuccessor(const std::vector<StopResult>& servers,
                                          Position acknowledged) {
  std::optional<Position> old_primary_end;
  Position longest;
  const StopResult* best_replica = nullptr;
  const StopResult* primary = nullptr;
  for (const auto& server : servers) {
    if (!server.stopped) {
      continue;
    }
    auto& best = server.was_primary ? primary : best_replica;
    if (!server.leaving && (best == nullptr || HasShorterLog(*best, server))) {
      best = &server;
    }
    if (server.was_primary) {
      old_primary_end = std::max(old_primary_end.value_or(server.received), server.received);
    } else {
      longest = std::max(longest, server.received);
    }
  }
  if (best_replica != nullptr && best_replica->received >= acknowledged) {
    const auto lost = FindLostServers(servers, best_replica->received);
    const bool holds_primary_log = old_primary_end && best_replica->received >= *old_primary_end;
    const bool longest_of_all =
        best_replica->received == longest && lost.replicas.empty() &&
        (lost.primaries.empty() ||
         (lost.primaries.size() == 1 && (!old_primary_end || holds_primary_log)));
    if (longest_of_all || (holds_primary_log && lost.primaries.empty())) {
      return best_replica->endpoint;
    }
  }
  if (primary != nullptr && primary->received >= acknowledged &&
      primary->received == *old_primary_end &&
      FindLostServers(servers, primary->received).primaries.empty()) {
    return primary->endpoint;
  }
  return std::nullopt;
}

}  // namespace cardamom
