#include "failover/fence_row.h"

#include <algorithm>

#include "failover/acknowledgement_hold.h"
#include "failover/acknowledgement_lease.h"

namespace cardamom {
FenceRow MarkNoticePosted(FenceRow row, std::int64_t now_ms) {
  row.open = false;
  row.settled_at_ms = now_ms + kAcknowledgementLease.count();
  row.leases_end_at_ms = row.settled_at_ms;
  return row;
}

bool HaveLeasesEnded(const FenceRow& row, std::int64_t now_ms) {
  // A proxy holds acknowledgements back for kLongestHold from when it was asked or read the notice.
  const auto held_until =
      row.leases_end_at_ms + (kLongestHold - kAcknowledgementLease - kHoldBeforeMark).count();
  // By then an order has been carried out, and a proxy has read the next notice or has no lease.
  const auto carried_out_at =
      now_ms + (kTokenValidity + std::max<Millis>(kPromotionTime, kAcknowledgementLease)).count();
  return row.leases_end_at_ms > 0 && now_ms >= row.leases_end_at_ms && carried_out_at < held_until;
}

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
