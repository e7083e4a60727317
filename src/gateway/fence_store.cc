#include "gateway/fence_store.h"

#include <utility>

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
  const auto key = FenceRowKey(group, loaded.era);
  for (const auto& row : rows->rows) {
    if (row.key == key) {
      const auto decoded = DecodeJson<FenceRow>(row.value);
      loaded.row = decoded ? *decoded : loaded.row;
      loaded.version = row.version;
    }
  }
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
