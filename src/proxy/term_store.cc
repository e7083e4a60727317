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

TermRow TermStore::cached() const {
  const std::lock_guard lock(m_mutex);
  return m_seen.row;
}

void TermStore::Keep(const Versioned& seen) {
  const std::lock_guard lock(m_mutex);
  if (seen.version >= m_seen.version) {
    m_seen = seen;
  }
}

asio::awaitable<Outcome<TermStore::Versioned>> TermStore::Load(TimePoint deadline) {
  TableReadRequest request;
  request.keys.push_back(TermRowKey(m_group));
  const auto answer = co_await m_platform.Read(std::move(request), deadline);
  if (!answer) {
    co_return answer.error();
  }
  if (answer->rows.size() != 1) {
    co_return Error{ResultCode::kPlatformUnavailable, "the answer has no row"};
  }
  Versioned seen;
  seen.version = answer->rows.front().version;
  if (seen.version != 0) {
    auto row = DecodeJson<TermRow>(answer->rows.front().value);
    if (!row) {
      co_return Error{ResultCode::kPlatformUnavailable, "the term row cannot be read"};
    }
    seen.row = std::move(*row);
  }
  Keep(seen);
  co_return seen;
}

asio::awaitable<Outcome<TermRow>> TermStore::Refresh(TimePoint deadline) {
  auto seen = co_await Load(deadline);
  if (!seen) {
    co_return seen.error();
  }
  co_return seen->row;
}

asio::awaitable<Outcome<TermRow>> TermStore::Change(std::function<bool(TermRow&)> change,
                                                    TimePoint deadline) {
  for (;;) {
    auto seen = co_await Load(deadline);
    if (!seen) {
      co_return seen.error();
    }
    if (!change(seen->row)) {
      co_return seen->row;
    }
    TransactRequest request;
    request.expect.push_back({TermRowKey(m_group), seen->version});
    request.puts.push_back({TermRowKey(m_group), EncodeJson(seen->row)});
    const auto answer = co_await m_platform.Transact(std::move(request), deadline);
    if (answer && answer->applied) {
      Keep({seen->row, answer->rows.empty() ? seen->version : answer->rows.front().version});
      co_return seen->row;
    }
    if (Clock::now() >= deadline) {
      co_return Error{ResultCode::kPlatformUnavailable, "the term row did not change in time"};
    }
    co_await Sleep(kConflictPause);
  }
}

}  // namespace cardamom
