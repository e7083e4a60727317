#include "proxy/transaction_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamom {
namespace {

std::uint32_t RemainingMs(TimePoint deadline) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, ToMillis(deadline - Clock::now()).count()));
}

}  // namespace

asio::awaitable<Outcome<TransactionId>> TransactionService::Begin(std::shared_ptr<Group> group,
                                                                  TimePoint deadline) {
  Term min_term;
  for (;;) {
    const auto primary =
        co_await group->WaitForPrimary(min_term, deadline, Group::WorkKind::kTransaction);
    if (!primary) {
      co_return primary.error();
    }
    TransactionRequest request;
    request.term = primary->term;
    request.wait_ms = RemainingMs(deadline);
    const auto timeout = Millis(m_context.settings.attempt_timeout_ms);
    const auto request_sent_at = Clock::now();
    auto begin_result = co_await primary->endpoint->client->Begin(
        std::move(request), std::min(deadline, request_sent_at + timeout));
    if (begin_result) {
      const auto id = NewTransactionId(VmId(m_context.settings.vm_id));
      auto entry = std::make_shared<Entry>();
      entry->group = group;
      entry->term = primary->term;
      entry->transaction = std::move(*begin_result);
      entry->last_use = Clock::now();
      const std::lock_guard lock(m_mutex);
      m_entries.emplace(id, std::move(entry));
      co_return id;
    }
    // No statement of the caller has been sent yet, so a begin may be repeated.
    if (begin_result.error().code == ResultCode::kNotPrimary) {
      min_term = Term(primary->term.value() + 1);
    }
    if (IsConnectionFailure(begin_result.error())) {
      group->ObserveFailure(*primary->endpoint, begin_result.error(), request_sent_at);
    }
    const auto decision = DecideRetry(begin_result.error(), {true, deadline, Clock::now()});
    const bool may_retry = decision == RetryDecision::kWaitForPrimary ||
                           (decision == RetryDecision::kRetry && group->TryConsumeRetryToken());
    if (!may_retry) {
      co_return Error{begin_result.error().code, begin_result.error().detail, Ran::kNo};
    }
    co_await group->Refresh();
  }
}

Outcome<TransactionService::EntryPtr> TransactionService::Acquire(const TransactionId& id) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_entries.find(id);
  if (it == m_entries.end()) {
    return Error{ResultCode::kUnknownTransaction, "no open transaction of that id"};
  }
  if (it->second->busy) {
    return Error{ResultCode::kTransactionBusy, "another request of the transaction is running"};
  }
  it->second->busy = true;
  return it->second;
}

void TransactionService::Release(const EntryPtr& entry) {
  const std::lock_guard lock(m_mutex);
  entry->busy = false;
  entry->last_use = Clock::now();
}

void TransactionService::Remove(const TransactionId& id) {
  EntryPtr dropped;
  const std::lock_guard lock(m_mutex);
  const auto it = m_entries.find(id);
  if (it != m_entries.end()) {
    dropped = std::move(it->second);
    m_entries.erase(it);
  }
}

asio::awaitable<Outcome<StatementResult>> TransactionService::Execute(TransactionId id,
                                                                      SqlStatement statement,
                                                                      TimePoint deadline) {
  const auto entry = Acquire(id);
  if (!entry) {
    co_return entry.error();
  }
  TransactionRequest request;
  request.term = (*entry)->term;
  request.wait_ms = RemainingMs(deadline);
  (*entry)->encoded_statements += EncodeJson(statement);
  request.statement = std::move(statement);
  auto result = co_await (*entry)->transaction->Execute(std::move(request), deadline);
  if (result || result.error().code == ResultCode::kStatementFailed) {
    Release(*entry);
    co_return result;
  }
  Remove(id);
  co_return Error{ResultCode::kTransactionAborted, result.error().detail, Ran::kNo};
}

asio::awaitable<Outcome<TransactionService::CommitResult>>
TransactionService::CommitAndConfirm(TransactionId id, IdempotencyKey key, TimePoint deadline) {
  auto acquired = Acquire(id);
  if (!acquired) {
    co_return acquired.error();
  }
  const auto entry = std::move(*acquired);
  const auto group = entry->group;
  WriteRequest request;
  request.term = entry->term;
  request.key = key;
  request.fingerprint = FingerprintOf(SqlStatement{entry->encoded_statements, {}});
  const auto timeout = Millis(m_context.settings.attempt_timeout_ms);
  const auto answer = co_await entry->transaction->Commit(
      std::move(request), std::min(deadline, Clock::now() + timeout));
  // Returns the connection to the pool if the endpoint confirmed the commit, and closes it
  // otherwise.
  Remove(id);
  entry->transaction.reset();
  if (!answer && answer.error().ran == Ran::kNo) {
    const bool conflict = answer.error().code == ResultCode::kKeyConflict;
    co_return Error{conflict ? ResultCode::kKeyConflict : ResultCode::kTransactionAborted,
                    answer.error().detail, Ran::kNo};
  }
  if (answer) {
    group->ObserveHeld(group->WithView([](const GroupView& view) { return view.primary(); })
                           .value_or(EndpointId()),
                       answer->position);
    const auto state = co_await group->WaitForCommit(answer->position, deadline);
    if (state == Group::CommitState::kCommitted) {
      co_return CommitResult{group->id(), {answer->result, answer->position, answer->replayed}};
    }
  }
  auto resolved = co_await m_write_service.ResolveCommit(group, std::move(key), deadline);
  if (!resolved) {
    co_return resolved.error();
  }
  co_return CommitResult{group->id(), std::move(*resolved)};
}

asio::awaitable<Outcome<void>> TransactionService::Rollback(TransactionId id, TimePoint deadline) {
  const auto entry = Acquire(id);
  if (!entry) {
    co_return entry.error();
  }
  // The answer is ignored: unless the endpoint confirmed the rollback, the connection is closed,
  // and the endpoint rolls back when its connection closes.
  co_await (*entry)->transaction->Rollback(deadline);
  Remove(id);
  co_return Outcome<void>();
}

void TransactionService::CloseIdle(Duration limit) {
  const auto now = Clock::now();
  std::vector<EntryPtr> closed;
  {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_entries, [&](const auto& item) {
      const auto& entry = item.second;
      if (entry->busy || now - entry->last_use < limit) {
        return false;
      }
      closed.push_back(entry);
      return true;
    });
  }
  for (const auto& entry : closed) {
    m_context.events.Emit(EventCode::kTransactionAbandoned, {.group = entry->group->id()});
  }
}

std::size_t TransactionService::open_count() const {
  const std::lock_guard lock(m_mutex);
  return m_entries.size();
}

}  // namespace cardamom
