// The store's tables of gateway_fakes.h.
#include "async/notifier.h"
#include "gateway_fakes.h"

namespace cardamom::testing {
namespace {

// Time that the store takes to answer a read.
constexpr Millis kStoreLatency{1};

// The clock by which answers tell how current they are. FakeTable::now_ms is set by tests.
std::int64_t LocalMillis() {
  return std::chrono::duration_cast<Millis>(BootClock::now().time_since_epoch()).count();
}

}  // namespace

TablePort FakeTable::Port() {
  TablePort port;
  port.read = [this](std::string table,
                     TimePoint /*deadline*/) -> asio::awaitable<Outcome<TableSnapshot>> {
    ++calls;
    if (unavailable) {
      co_return Error{ResultCode::kPlatformUnavailable, "away", Ran::kNo};
    }
    co_await Sleep(kStoreLatency);
    TableSnapshot snapshot;
    snapshot.position = Position();
    snapshot.now_ms = now_ms;
    snapshot.complete_at_ms = LocalMillis();
    for (const auto& [key, row] : m_tables[table]) {
      if (!row.gone) {
        snapshot.rows.push_back({key, row.value, StoreVersion(row.version), false});
      }
    }
    co_return snapshot;
  };
  port.follow = [this](std::string table, StorePosition after,
                       Millis wait) -> asio::awaitable<Outcome<TableSnapshot>> {
    ++calls;
    const auto deadline = Clock::now() + wait;
    TableSnapshot changes;
    while (!unavailable && changes.rows.empty() && Clock::now() < deadline) {
      if (after.version.value() > m_version) {
        changes.history_gone = true;
        break;
      }
      for (const auto& [key, row] : m_tables[table]) {
        if (row.version > after.version.value()) {
          changes.rows.push_back({key, row.value, StoreVersion(row.version), row.gone});
        }
      }
      if (changes.rows.empty()) {
        co_await Sleep(Millis(5));
      }
    }
    if (unavailable) {
      co_return Error{ResultCode::kPlatformUnavailable, "away", Ran::kNo};
    }
    changes.position = Position();
    changes.complete_at_ms = LocalMillis();
    co_return changes;
  };
  port.write = [this](TableWrite write,
                      TimePoint /*deadline*/) -> asio::awaitable<Outcome<TableWriteResult>> {
    ++calls;
    if (unavailable) {
      co_return Error{ResultCode::kPlatformUnavailable, "away", Ran::kNo};
    }
    TableWriteResult result;
    result.era = era;
    const auto& row = m_tables[write.table][write.key];
    const auto current = row.gone ? 0 : row.version;
    result.applied = !write.expected || write.expected->value() == current;
    if (result.applied) {
      m_tables[write.table][write.key] = {write.value.value_or(""), ++m_version, !write.value};
    }
    co_return result;
  };
  return port;
}

void FakeTable::Put(const std::string& table, const std::string& key, const std::string& value) {
  m_tables[table][key] = {value, ++m_version};
}

std::string FakeTable::Get(const std::string& table, const std::string& key) const {
  const auto rows = m_tables.find(table);
  if (rows == m_tables.end() || !rows->second.contains(key)) {
    return "";
  }
  return rows->second.at(key).value;
}

FakeTable::Copy FakeTable::TakeCopy() const {
  Copy copy;
  copy.m_tables = m_tables;
  copy.m_version = m_version;
  return copy;
}

void FakeTable::Restore(const Copy& copy) {
  m_tables = copy.m_tables;
  m_version = copy.m_version;
  era = StoreEra(era.value() + 1);
}

}  // namespace cardamom::testing
