#include "failover/fence_row.h"

namespace cardamom {

std::optional<GroupRoster> FindLatestRoster(const std::vector<FenceRow>& rows) {
  std::optional<GroupRoster> reserved;
  for (const auto& row : rows) {
    if (row.roster) {
      auto roster = *row.roster;
      if (reserved) {
        roster.servers.insert(roster.servers.end(), reserved->servers.begin(),
                              reserved->servers.end());
      }
      return roster;
    }
    if (row.reserved && !reserved) {
      reserved = GroupRoster{row.reserved->servers, std::nullopt};
    }
  }
  return reserved;
}

}  // namespace cardamom
