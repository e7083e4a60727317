#include "failover/stopped_primary.h"

#include <algorithm>

namespace cardamom {
namespace {

const ServerIncarnation* FindIncarnation(const std::vector<ServerIncarnation>& servers,
                                         const EndpointId& id) {
  const auto it = std::find_if(servers.begin(), servers.end(),
                               [&](const auto& server) { return server.endpoint == id; });
  return it == servers.end() ? nullptr : &*it;
}

}  // namespace

std::optional<StoppedPrimary> FindStoppedPrimary(const StoppedGroup& group) {
  if (group.primaries.size() != 1) {
    return std::nullopt;
  }
  const auto& id = group.primaries.begin()->first;
  const auto term = group.primaries.begin()->second;
  const auto* incarnation = FindIncarnation(group.listed, id);
  const auto stopped =
      std::find_if(group.servers.begin(), group.servers.end(), [&](const StopResult& server) {
        return server.endpoint == id && server.was_primary && server.stopped;
      });
  if (incarnation == nullptr || stopped == group.servers.end() || term < group.newest) {
    return std::nullopt;
  }
  // A primary that is lost may be the one that was promoted last.
  const bool none_lost =
      std::all_of(group.servers.begin(), group.servers.end(), [&](const StopResult& server) {
        return !server.was_primary || server.stopped ||
               (server.covered_by && *server.covered_by <= stopped->received);
      });
  if (!none_lost) {
    return std::nullopt;
  }
  return StoppedPrimary{*incarnation, stopped->leaving, term, stopped->received};
}

bool IsStillStopped(const StoppedPrimary& stopped, const StoppedGroup& group) {
  if (!group.primaries.empty() || group.newest > stopped.term) {
    return false;
  }
  const auto is_later_process = [&](const ServerIncarnation& server) {
    return server.endpoint == stopped.server.endpoint &&
           server.started_ms > stopped.server.started_ms;
  };
  if (std::any_of(group.departed.begin(), group.departed.end(), is_later_process)) {
    return false;
  }
  const auto* listed = FindIncarnation(group.listed, stopped.server.endpoint);
  if (listed == nullptr) {
    return stopped.leaving;
  }
  return *listed == stopped.server &&
         std::any_of(group.servers.begin(), group.servers.end(), [&](const StopResult& server) {
           return server.endpoint == stopped.server.endpoint && server.stopped &&
                  server.received == stopped.log_end;
         });
}

std::vector<StopResult> CoverByStoppedPrimary(std::vector<StopResult> servers,
                                              const StoppedPrimary& stopped) {
  for (auto& server : servers) {
    if (server.stopped) {
      server.was_primary = server.endpoint == stopped.server.endpoint;
    } else {
      server.covered_by = std::min(server.covered_by.value_or(stopped.log_end), stopped.log_end);
    }
  }
  return servers;
}

}  // namespace cardamom
