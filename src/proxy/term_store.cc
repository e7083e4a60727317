#include "proxy/term_store.h"

#include <utility>

namespace cardamom {
namespace {

constexpr Millis kConflictPause{5};

}  // namespace

std::string TermRowKey(const GroupId& group) {
  return "term/" + group.value();
}

TermStore::TermStore(PlatformClient& platform, GroupId group)
    : m_platform(platform), m_group(std::move(group)) {}

TermRow TermStore::cached_row() const {
  const std::lock_guard lock(m_mutex);
  return m_cached_row.row;
}

void TermStore::UpdateCache(const VersionedRow& loaded) {
  const std::lock_guard lock(m_mutex);
  if (CompareToHeld(loaded.position, m_cached_row.position) != StoreOrder::kOlder) {
    m_cached_row = loaded;
  }
}

void TermStore::MergeCached(VersionedRow& loaded) const {
  const std::lock_guard lock(m_mutex);
  const bool restored =
      CompareToHeld(loaded.position, m_cached_row.position) == StoreOrder::kRestored;
  if (restored) {
    loaded.row.Merge(m_cached_row.row);
  }
}

asio::awaitable<Outcome<TermStore::VersionedRow>> TermStore::Load(TimePoint deadline) {
  TableReadRequest request;
  request.keys.push_back(TermRowKey(m_group));
  const auto answer = co_await m_platform.Read(std::move(request), deadline);
  if (!answer) {
    co_return answer.error();
  }
  if (answer->rows.size() != 1) {
    co_return Error{ResultCode::kPlatformUnavailable, "the answer has no row"};
  }
  VersionedRow loaded;
  loaded.position = {answer->era, StoreVersion(answer->rows.front().version)};
  if (loaded.position.version != StoreVersion()) {
    auto row = DecodeJson<TermRow>(answer->rows.front().value);
    if (!row) {
      co_return Error{ResultCode::kPlatformUnavailable, "the term row cannot be read"};
    }
    loaded.row = std::move(*row);
  }
  MergeCached(loaded);
  co_return loaded;
}

asio::awaitable<Outcome<TermRow>> TermStore::Refresh(TimePoint deadline) {
  auto loaded = co_await Load(deadline);
  if (!loaded) {
    co_return loaded.error();
  }
  UpdateCache(*loaded);
  co_return loaded->row;
}

asio::awaitable<Outcome<TermRow>> TermStore::Update(std::function<bool(TermRow&)> update,
                                                    TimePoint deadline) {
  for (;;) {
    auto loaded = co_await Load(deadline);
    if (!loaded) {
      co_return loaded.error();
    }
    if (!update(loaded->row)) {
      UpdateCache(*loaded);
      co_return loaded->row;
    }
    TransactRequest request;
    request.expect.push_back({TermRowKey(m_group), loaded->position.version.value()});
    request.puts.push_back({TermRowKey(m_group), EncodeJson(loaded->row)});
    const auto answer = co_await m_platform.Transact(std::move(request), deadline);
    if (answer && answer->applied && answer->era == loaded->position.era) {
      if (!answer->rows.empty()) {
        loaded->position.version = StoreVersion(answer->rows.front().version);
      }
      UpdateCache(*loaded);
      co_return loaded->row;
    }
    if (Clock::now() >= deadline) {
      co_return Error{ResultCode::kPlatformUnavailable, "the term row did not change in time"};
    }
    co_await Sleep(kConflictPause);
  }
}

}  // namespace cardamom
