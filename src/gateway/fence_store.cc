#include "gateway/fence_store.h"

#include <map>
#include <utility>
#include <vector>

namespace cardamom {
namespace {

constexpr const char* kFenceTable = "fences";

}  // namespace

asio::awaitable<Outcome<LoadedFenceRow>> FenceStore::Load(GroupId group, TimePoint deadline) const {
  const auto rows = co_await m_table.read(kFenceTable, deadline);
  if (!rows) {
    co_return rows.error();
  }
  LoadedFenceRow loaded;
  loaded.era = rows->position.era;
  loaded.now_ms = rows->now_ms;
  loaded.row = InitialFenceRow(loaded.era);
  std::map<std::string, const TableRow*> by_key;
  for (const auto& row : rows->rows) {
    by_key[row.key] = &row;
  }
  if (const auto it = by_key.find(FenceRowKey(group, loaded.era)); it != by_key.end()) {
    const auto decoded = DecodeJson<FenceRow>(it->second->value);
    loaded.row = decoded ? *decoded : loaded.row;
    loaded.version = it->second->version;
  }
  std::vector<FenceRow> latest_first{loaded.row};
  for (auto era = loaded.era.value(); !loaded.row.roster && era > 0; --era) {
    const auto it = by_key.find(FenceRowKey(group, StoreEra(era - 1)));
    if (it == by_key.end()) {
      continue;
    }
    if (const auto earlier = DecodeJson<FenceRow>(it->second->value)) {
      latest_first.push_back(*earlier);
    }
  }
  loaded.roster = FindLatestRoster(latest_first);
  co_return loaded;
}

asio::awaitable<Outcome<bool>> FenceStore::Replace(GroupId group,
                                                   LoadedFenceRow loaded,
                                                   FenceRow row,
                                                   TimePoint deadline) const {
  TableWrite write{kFenceTable, FenceRowKey(group, loaded.era), loaded.version, EncodeJson(row)};
  const auto written = co_await m_table.write(std::move(write), deadline);
  if (!written) {
    co_return written.error();
  }
  co_return written->applied && written->era == loaded.era;
}

}  // namespace cardamom
