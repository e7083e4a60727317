#include "gateway/group_roster.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace cardamom {
namespace {

bool Precedes(const ServerIncarnation& left, const ServerIncarnation& right) {
  return std::tie(left.endpoint, left.started_ms) < std::tie(right.endpoint, right.started_ms);
}

GroupRoster MakeRosterOf(
    const GroupClient& group,
    const std::function<std::optional<Position>(const DepartedServer&)>& position_covering) {
  GroupRoster roster;
  roster.covered_by = group.DepartedPosition();
  for (const auto& [id, endpoint] : group.endpoints()) {
    roster.servers.push_back({id, endpoint->entry.started_ms});
  }
  for (const auto& server : group.Departed()) {
    const auto position = position_covering(server);
    if (position) {
      roster.covered_by = std::max(roster.covered_by, position);
    } else {
      const auto& entry = server.endpoint->entry;
      roster.servers.push_back({entry.id, entry.started_ms});
    }
  }
  std::sort(roster.servers.begin(), roster.servers.end(), Precedes);
  return roster;
}

}  // namespace

GroupRoster MakeRoster(const GroupClient& group, const ServerAnswers& asked) {
  return MakeRosterOf(
      group, [&](const DepartedServer& server) { return PositionCovering(server, asked); });
}

std::vector<ServerIncarnation> LeastRosterServers(const GroupClient& group) {
  const auto after_exit = [](const DepartedServer& server) { return server.position_after_exit; };
  return MakeRosterOf(group, after_exit).servers;
}

GroupRoster AddKnownServers(GroupRoster recorded, const GroupClient& group) {
  const ServerAnswers none;
  const auto known = MakeRosterOf(group, [&](const DepartedServer& server) {
    const auto position = PositionCovering(server, none);
    return position <= recorded.covered_by ? position : std::nullopt;
  });
  auto& servers = recorded.servers;
  servers.insert(servers.end(), known.servers.begin(), known.servers.end());
  std::sort(servers.begin(), servers.end(), Precedes);
  servers.erase(std::unique(servers.begin(), servers.end()), servers.end());
  return recorded;
}

bool IsSupported(const GroupRoster& roster,
                 const EndpointId& primary,
                 const ServerStatuses& statuses) {
  const auto leader = statuses.find(primary);
  return leader != statuses.end() && leader->second.is_primary &&
         std::all_of(statuses.begin(), statuses.end(),
                     [&](const auto& entry) { return entry.second.term <= leader->second.term; }) &&
         (!roster.covered_by ||
          std::any_of(statuses.begin(), statuses.end(), [&](const auto& entry) {
            return !entry.second.is_primary && entry.second.received >= *roster.covered_by;
          }));
}

}  // namespace cardamom
