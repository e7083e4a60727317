#include "directory/table_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kReadTimeout{1000};
// Longest wait for changes in one call. TCP keep-alive detects a connection that is lost during the
// wait.
constexpr Millis kFollowWait{20'000};
constexpr Millis kMinRetryDelay{150};
constexpr Millis kMaxRetryDelay{400};
// Most doublings of the retry delay while the store remains unavailable.
constexpr int kMaxDelayDoublings = 1;
constexpr std::size_t kMaxRemovedRows = 1000;

}  // namespace

TableFollower::TableFollower(GatewayContext& context, std::string name)
    : m_context(context), m_name(std::move(name)) {}

void TableFollower::Start(TablePort table) {
  m_table = std::move(table);
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Run(); });
}

Millis TableFollower::RetryDelay() {
  static thread_local std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<std::int64_t> pause(kMinRetryDelay.count(), kMaxRetryDelay.count());
  return Millis(pause(random)) * (1 << std::min(m_failures / 4, kMaxDelayDoublings));
}

void TableFollower::SetUpToDate(bool up_to_date, const std::string& detail) {
  m_failures = up_to_date ? 0 : m_failures + 1;
  const bool lost = m_up_to_date && !up_to_date;
  if (up_to_date) {
    m_last_response_at = Clock::now();
  }
  m_up_to_date = up_to_date;
  m_context.metrics.CountStoreCall(up_to_date ? "answered" : "failed");
  if (m_on_store_call) {
    m_on_store_call(up_to_date, detail);
  }
  if (lost) {
    m_changed.NotifyAll();
  }
}

asio::awaitable<bool> TableFollower::Refresh(const TablePort& table, TimePoint deadline) {
  auto all = co_await table.read(m_name, deadline);
  if (!all) {
    SetUpToDate(false, all.error().detail);
    co_return false;
  }
  SetUpToDate(true, m_name + " read");
  AdoptAll(std::move(*all));
  co_return true;
}

asio::awaitable<void> TableFollower::Run() {
  while (!m_stopped) {
    const bool read = co_await Refresh(m_table, Clock::now() + kReadTimeout);
    if (read) {
      co_await FollowChanges();
    }
    if (!read || !m_adopted_last_read) {
      // A source that is behind this follower is not asked again at once.
      co_await Sleep(RetryDelay());
    }
  }
}

asio::awaitable<void> TableFollower::FollowChanges() {
  while (!m_stopped) {
    const auto after = m_position;
    const auto changes = co_await m_table.follow(m_name, after, kFollowWait);
    if (!changes) {
      SetUpToDate(false, changes.error().detail);
      co_await Sleep(RetryDelay());
      co_return;
    }
    if (changes->history_gone) {
      m_context.metrics.CountStoreCall("history_gone");
      co_return;
    }
    SetUpToDate(true, m_name + " followed");
    if (CompareToHeld(changes->position, after) != StoreOrder::kNotOlder) {
      // The store numbered the changes in another era than `after`.
      co_return;
    }
    if (after.era == m_position.era) {
      AdoptChanges(*changes);
      Confirm(changes->confirmed_at);
    }
  }
}

std::string TableFollower::DescribeStep(const StorePosition& next) const {
  return fmt::format(": era {} version {} after era {} version {}", next.era.value(),
                     next.version.value(), m_position.era.value(), m_position.version.value());
}

void TableFollower::AdoptAll(TableSnapshot snapshot) {
  const auto order =
      m_loaded ? CompareToHeld(snapshot.position, m_position) : StoreOrder::kNotOlder;
  m_adopted_last_read = order != StoreOrder::kOlder;
  if (order == StoreOrder::kOlder) {
    m_context.events.Emit(EventCode::kStoreAnswerIgnored,
                          {.detail = m_name + DescribeStep(snapshot.position)});
    return;
  }
  if (order == StoreOrder::kRestored) {
    m_confirmed_at.reset();
    m_context.events.Emit(EventCode::kStoreRestored,
                          {.detail = m_name + DescribeStep(snapshot.position)});
    m_restored_at = snapshot.position.version;
    m_removed_rows.clear();
  }
  if (!m_loaded || order == StoreOrder::kRestored) {
    m_history_from = snapshot.position.version;
    m_era_observed_at = Clock::now();
  }
  std::map<std::string, TableRow> rows;
  for (auto& row : snapshot.rows) {
    auto key = row.key;
    m_removed_rows.erase(key);
    rows[std::move(key)] = std::move(row);
  }
  for (const auto& [key, row] : m_rows) {
    if (!rows.contains(key) && order != StoreOrder::kRestored) {
      m_removed_rows[key] = snapshot.position.version;
    }
  }
  m_rows = std::move(rows);
  m_position = snapshot.position;
  m_loaded = true;
  m_context.metrics.SetStoreEra(m_position.era);
  PruneRemovedRows();
  if (order == StoreOrder::kRestored && m_on_restore) {
    m_on_restore();
  }
  if (m_on_change) {
    m_on_change();
  }
  m_changed.NotifyAll();
  Confirm(snapshot.confirmed_at);
}

void TableFollower::Confirm(std::optional<BootTime> confirmed_at) {
  if (!confirmed_at || (m_confirmed_at && *confirmed_at <= *m_confirmed_at)) {
    return;
  }
  m_confirmed_at = confirmed_at;
  if (m_on_confirmed) {
    m_on_confirmed(*confirmed_at);
  }
  m_changed.NotifyAll();
}

void TableFollower::AdoptChanges(const TableSnapshot& changes) {
  bool changed = false;
  for (const auto& row : changes.rows) {
    const auto present = m_rows.find(row.key);
    if (present != m_rows.end() && present->second.version >= row.version) {
      continue;
    }
    changed = true;
    if (row.gone) {
      m_rows.erase(row.key);
      m_removed_rows[row.key] = std::max(row.version, StoreVersion(m_position.version.value() + 1));
    } else {
      m_removed_rows.erase(row.key);
      m_rows[row.key] = row;
    }
  }
  m_position = std::max(m_position, changes.position);
  PruneRemovedRows();
  if (changed) {
    if (m_on_change) {
      m_on_change();
    }
    m_changed.NotifyAll();
  }
}

void TableFollower::PruneRemovedRows() {
  while (m_removed_rows.size() > kMaxRemovedRows) {
    const auto oldest =
        std::min_element(m_removed_rows.begin(), m_removed_rows.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    m_history_from = std::max(m_history_from, oldest->second);
    m_removed_rows.erase(oldest);
  }
}

Outcome<TableSnapshot> TableFollower::Snapshot() const {
  if (!m_loaded || !m_up_to_date) {
    return Error{ResultCode::kPlatformUnavailable, m_name + " is not in step", Ran::kNo};
  }
  return LatestSnapshot();
}

TableSnapshot TableFollower::LatestSnapshot() const {
  TableSnapshot snapshot;
  snapshot.position = m_position;
  for (const auto& [key, row] : m_rows) {
    snapshot.rows.push_back(row);
  }
  return snapshot;
}

asio::awaitable<Outcome<TableSnapshot>> TableFollower::WaitForChanges(StorePosition after,
                                                                      Millis wait,
                                                                      bool or_confirmed) {
  const auto gather = [this, after] {
    TableSnapshot changes;
    for (const auto& [key, row] : m_rows) {
      if (row.version > after.version) {
        changes.rows.push_back(row);
      }
    }
    for (const auto& [key, version] : m_removed_rows) {
      if (version > after.version) {
        changes.rows.push_back({key, "", version, true});
      }
    }
    return changes;
  };
  const std::function<bool()> ready = [this, after, gather, or_confirmed,
                                       confirmed_before = m_confirmed_at] {
    return !m_up_to_date || (or_confirmed && m_confirmed_at != confirmed_before) ||
           after.era != m_position.era || !gather().rows.empty();
  };
  co_await m_changed.WaitUntil(ready, Clock::now() + wait);
  if (!m_loaded || !m_up_to_date) {
    co_return Error{ResultCode::kPlatformUnavailable, m_name + " is not in step", Ran::kNo};
  }
  if (after.era > m_position.era) {
    co_return Error{ResultCode::kPlatformUnavailable, m_name + " is from an earlier era", Ran::kNo};
  }
  if (after.era < m_position.era || after.version < m_history_from) {
    TableSnapshot gone;
    gone.position = m_position;
    gone.history_gone = true;
    co_return gone;
  }
  auto changes = gather();
  changes.position = m_position;
  co_return changes;
}

}  // namespace cardamom
