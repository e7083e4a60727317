// Reads and writes the rows of the store that allocate fencing tokens.
#pragma once

#include <optional>
#include <string>

#include "directory/table_port.h"
#include "failover/fence_row.h"

namespace cardamom {

// The fence row of a group as it was read.
struct LoadedFenceRow {
  FenceRow row;
  StoreEra era;
  // 0 if the store holds no row of the group in this era.
  StoreVersion version;
  // The store's clock when the row was read.
  std::int64_t now_ms = 0;
  // What FindLatestRoster finds in this row and those of earlier eras.
  std::optional<GroupRoster> roster;

  // Whether takeovers of an earlier era may have left no trace in `row`.
  bool IsHistoryLost() const { return version == StoreVersion() && era > StoreEra(); }
};

// Not thread safe: all use is on the thread of the gateway.
class FenceStore {
 public:
  explicit FenceStore(TablePort table) : m_table(std::move(table)) {}

  // Reads the row of `group` in the store's present era. Errors: kPlatformUnavailable.
  asio::awaitable<Outcome<LoadedFenceRow>> Load(GroupId group, TimePoint deadline) const;

  // Replaces the row that was read as `loaded` by `row`. Returns false if it has changed since, or
  // the store was restored. Errors: kPlatformUnavailable; the write may have taken effect.
  asio::awaitable<Outcome<bool>> Replace(GroupId group,
                                         LoadedFenceRow loaded,
                                         FenceRow row,
                                         TimePoint deadline) const;

 private:
  TablePort m_table;
};

}  // namespace cardamom
