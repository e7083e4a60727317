// The statements of transactions of StatementRunner.
#include <algorithm>

#include <fmt/format.h>

#include "async/notifier.h"
#include "gateway/link_check.h"
#include "gateway/statement_limits.h"
#include "gateway/statement_runner.h"

namespace cardamom {
namespace {

constexpr Millis kRollbackTimeout{300};
// Reason for a commit that was answered as if it had not ended the transaction.
constexpr const char* kStillOpen = "the transaction is still open";

// Returns whether the server confirmed the rollback; otherwise closes the link.
asio::awaitable<bool> RollbackLink(LinkPool::Lease& lease) {
  std::vector<EndpointRequest> requests{OwnRequest(EndpointOperation::kRollback)};
  const auto answer =
      co_await lease->link->Run(std::move(requests), Clock::now() + kRollbackTimeout);
  const bool confirmed = !answer.failure && answer.replies.front().reply.ok() &&
                         answer.replies.front().reply.state == SessionState::kIdle;
  if (!confirmed) {
    lease.Discard();
  }
  co_return confirmed;
}

}  // namespace

asio::awaitable<StatementAttempt> StatementRunner::RunInTransaction(const StatementTask& task,
                                                                    TransactionPin& pin,
                                                                    std::optional<Position> after) {
  StatementAttempt attempt;
  auto batch = BuildSetupBatch(*pin.lease, task.caller, &task.statement, true);
  if (batch.exceeds_names) {
    attempt.reason = "too many prepared statements in the transaction";
    co_return attempt;
  }
  if (pin.lease->organisation != task.organisation) {
    attempt.reason = "the transaction belongs to another organisation";
    co_return attempt;
  }
  if (batch.changes_values) {
    auto refusal = co_await SetUpLink(*pin.group, pin.endpoint, batch, pin.lease, task.deadline);
    if (refusal) {
      attempt.reason = std::move(*refusal);
      co_return attempt;
    }
  }
  batch.statement_index = batch.requests.size();
  batch.requests.push_back(ToRequest(task.statement, task.caller, batch));
  if (task.statement.kind != StatementKind::kCommit &&
      AccessOf(task.statement, task.caller) == Access::kRead) {
    batch.requests.back().min_position = after;
  }
  co_return co_await RunBatch(task, std::move(batch), pin);
}

asio::awaitable<StatementAttempt> StatementRunner::RunBatch(const StatementTask& task,
                                                            StatementBatch batch,
                                                            TransactionPin& pin) {
  StatementAttempt attempt;
  const auto asked_at = BootClock::now();
  const auto sent_at = Clock::now();
  if (batch.statement_index) {
    attempt.sent_at = sent_at;
  }
  attempt.known_before = pin.endpoint->last_position;
  const auto answer = co_await pin.lease->link->Run(batch.requests, task.deadline);
  const auto now = Clock::now();
  if (answer.failure) {
    pin.lease.Discard();
    pin.endpoint->latency.OnFailure(now - sent_at, now);
    pin.group->OnStatementFailure(pin.endpoint, *answer.failure);
    attempt.status = answer.failure->ran == Ran::kNo ? StatementAttempt::Status::kNotRun
                                                     : StatementAttempt::Status::kUnknown;
    attempt.reason = answer.failure->detail;
    attempt.may_have_run_outside = batch.statement_index &&
                                   answer.failure->code == ResultCode::kUnmatchedAnswer &&
                                   answer.failure->ran != Ran::kNo;
    co_return attempt;
  }
  if (!UpdateLinkState(batch, answer, *pin.lease)) {
    pin.lease.Discard();
    attempt.reason = "the session's values were refused";
    co_return attempt;
  }
  if (batch.begin_index) {
    const auto& begun = answer.replies[*batch.begin_index].reply;
    if (!begun.ok()) {
      attempt.reason = std::string(ToString(begun.error->code));
      pin.lease.Discard();
      if (begun.error->code == StatementError::kReadOnly && pin.at_primary) {
        pin.group->OnNotPrimary(pin.endpoint);
      } else if (begun.error->code == StatementError::kLagging &&
                 batch.requests[*batch.begin_index].min_position) {
        pin.group->OnReplicaBehind(pin.endpoint, *batch.requests[*batch.begin_index].min_position);
      }
      co_return attempt;
    }
  }
  attempt.status = StatementAttempt::Status::kAnswered;
  if (!batch.statement_index) {
    co_return attempt;
  }
  attempt.reply = answer.replies[*batch.statement_index].reply;
  attempt.is_ambiguous = IsAnyAmbiguous(answer);
  if (attempt.reply.ok()) {
    pin.endpoint->latency.OnResponse(now - sent_at, now);
    if (attempt.reply.position) {
      auto& last_position = pin.endpoint->last_position;
      last_position = std::max(last_position, *attempt.reply.position);
    }
    if (pin.at_primary && attempt.reply.position &&
        attempt.reply.state == SessionState::kInTransaction) {
      // A statement of a plain transaction succeeds only at the primary. The reply to the begin may
      // be that of an earlier one, so its position is not used.
      pin.group->OnPrimaryAnswer(pin.endpoint, asked_at, *attempt.reply.position);
    }
    if (!pin.at_primary && attempt.reply.position) {
      pin.group->OnReplicaAnswer(pin.endpoint, *attempt.reply.position);
    }
  } else if (attempt.reply.error->code == StatementError::kReadOnly && pin.at_primary) {
    pin.group->OnNotPrimary(pin.endpoint);
  }
  co_return attempt;
}

asio::awaitable<StatementAttempt> StatementRunner::OpenAt(GroupClient& group,
                                                          GroupClient::EndpointPtr endpoint,
                                                          std::optional<Position> after,
                                                          const StatementTask& task,
                                                          bool read_only,
                                                          TimePoint deadline,
                                                          TransactionPin& pin) {
  StatementAttempt attempt;
  auto permit = co_await endpoint->admission->Acquire(Priority::kWrite, deadline);
  if (!permit) {
    attempt.reason = permit.error().detail;
    co_return attempt;
  }
  auto lease = co_await endpoint->pool->Acquire(task.organisation, task.caller.values,
                                                LinkUse::kStatement, deadline);
  if (!lease) {
    attempt.reason = lease.error().detail;
    group.OnLinkFailure(endpoint, lease.error());
    co_return attempt;
  }
  pin.endpoint = endpoint;
  pin.lease = std::move(*lease);
  pin.at_primary = !after.has_value();
  pin.may_have_written = false;
  auto batch = BuildSetupBatch(*pin.lease, task.caller, nullptr, false);
  batch.begin_index = batch.requests.size();
  auto begin = OwnRequest(read_only && !pin.at_primary ? EndpointOperation::kBeginReadOnly
                                                       : EndpointOperation::kBegin);
  begin.min_position = after;
  batch.requests.push_back(std::move(begin));
  attempt = co_await RunBatch(task, std::move(batch), pin);
  if (attempt.status != StatementAttempt::Status::kAnswered) {
    co_return attempt;
  }
  // The statement is sent only after the begin has succeeded. In the same batch as a refused begin
  // it would run outside any transaction.
  pin.may_have_written = AccessOf(task.statement, task.caller) == Access::kWrite;
  attempt = co_await RunInTransaction(task, pin, after);
  if (attempt.status == StatementAttempt::Status::kAnswered && !attempt.reply.ok() &&
      attempt.reply.error->code == StatementError::kBusy) {
    permit->OnOverload();
    attempt.busy = true;
  }
  co_return attempt;
}

asio::awaitable<Reply> StatementRunner::RunFirst(std::shared_ptr<GroupClient> group,
                                                 StatementTask task,
                                                 bool read_only,
                                                 TransactionPin& pin) {
  pin.group = group;
  std::vector<EndpointId> tried;
  std::string reason = "no server";
  std::optional<Position> needed;
  if (read_only) {
    needed = co_await NeededPosition(*group, task);
  }
  const bool commits = task.statement.kind == StatementKind::kCommit;
  for (int i = 0; i < kMaxAttempts && Clock::now() < task.deadline; ++i) {
    GroupClient::EndpointPtr endpoint;
    if (needed) {
      const auto servers = group->ServersForRead(needed, tried);
      const auto free = std::find_if(servers.begin(), servers.end(), [&](const auto& server) {
        return server->pool->CanAcquireAtOnce(task.organisation);
      });
      endpoint = free != servers.end() ? *free : servers.empty() ? nullptr : servers.front();
    } else {
      endpoint = co_await group->WaitForPrimary(FractionDeadline(task, kPrimaryWaitFraction));
    }
    if (!endpoint) {
      break;
    }
    const bool at_primary = !needed || group->primary_id() == endpoint->entry.id;
    const auto after = at_primary ? std::nullopt : needed;
    auto attempt = co_await OpenAt(*group, endpoint, after, task, read_only,
                                   FractionDeadline(task, kPrimaryWaitFraction), pin);
    if (attempt.status == StatementAttempt::Status::kAnswered && attempt.reply.ok()) {
      if (commits && attempt.reply.state != SessionState::kIdle) {
        pin.lease.Discard();
        co_return m_outcome.MakeUnknownReply(*group, task, kStillOpen);
      }
      m_outcome.LogAnswer(*group, task, *endpoint, after, attempt.reply);
      if (commits) {
        pin.lease.Release();
      }
      co_return attempt.reply;
    }
    const bool ran_outside = co_await EndAfterFailure(attempt, pin);
    if (ran_outside) {
      auto unknown = m_outcome.MakeUnknownReply(*group, task, attempt.reason);
      unknown.state = commits ? SessionState::kIdle : SessionState::kFailed;
      co_return unknown;
    }
    reason = fmt::format("{} at {}", attempt.reason, endpoint->entry.id.value());
    if (attempt.busy && !needed) {
      // The statement did not run and its transaction is rolled back, so both may be retried.
      if (i >= kMaxBusyRetries) {
        break;
      }
      co_await Sleep(kBusyPause * (i + 1));
    } else if (needed) {
      tried.push_back(endpoint->entry.id);
    } else if (attempt.status != StatementAttempt::Status::kNotRun) {
      break;
    }
  }
  auto refusal = m_outcome.MakeRefusal(*group, task, reason);
  refusal.state = commits ? SessionState::kIdle : SessionState::kFailed;
  co_return refusal;
}

asio::awaitable<Reply> StatementRunner::RunNext(StatementTask task, TransactionPin& pin) {
  const OutstandingCount counted(pin.endpoint);
  if (AccessOf(task.statement, task.caller) == Access::kWrite) {
    pin.may_have_written = true;
  }
  const auto endpoint = pin.endpoint;
  auto attempt = co_await RunInTransaction(task, pin);
  if (attempt.status == StatementAttempt::Status::kAnswered && attempt.reply.ok()) {
    m_outcome.LogAnswer(*pin.group, task, *endpoint, std::nullopt, attempt.reply);
    co_return attempt.reply;
  }
  const bool ran_outside = co_await EndAfterFailure(attempt, pin);
  const auto reason = attempt.reason + " at " + endpoint->entry.id.value();
  auto reply = ran_outside ? m_outcome.MakeUnknownReply(*pin.group, task, reason)
                           : m_outcome.MakeRefusal(*pin.group, task, reason);
  if (!ran_outside) {
    // Without a commit the transaction has no effect, whether or not the statement ran.
    reply.error->code = StatementError::kAborted;
  }
  reply.state = SessionState::kFailed;
  co_return reply;
}

asio::awaitable<Reply> StatementRunner::Commit(StatementTask task, TransactionPin& pin) {
  const auto endpoint = pin.endpoint;
  const OutstandingCount counted(endpoint);
  if (pin.may_have_written) {
    const bool open =
        co_await WaitUntilCommitsPass(pin.group, FractionDeadline(task, kPrimaryWaitFraction));
    if (!open) {
      co_await Rollback(pin);
      auto reply = m_outcome.MakeRefusal(*pin.group, task, "no primary");
      reply.error->code = StatementError::kAborted;
      co_return reply;
    }
  }
  const auto asked_at = BootClock::now();
  auto attempt = co_await RunInTransaction(task, pin);
  const bool has_succeeded =
      attempt.status == StatementAttempt::Status::kAnswered && attempt.reply.ok();
  if (has_succeeded && attempt.reply.state != SessionState::kIdle) {
    pin.lease.Discard();
    co_return m_outcome.MakeUnknownReply(*pin.group, task, kStillOpen);
  }
  if (has_succeeded) {
    if (pin.may_have_written && attempt.reply.position) {
      pin.group->OnPrimaryAnswer(endpoint, asked_at, *attempt.reply.position);
    }
    pin.lease.Release();
    if (pin.may_have_written && !co_await PassOn(*pin.group, task, attempt)) {
      co_return m_outcome.MakeUnknownReply(*pin.group, task, "the primary was replaced");
    }
    m_outcome.LogAnswer(*pin.group, task, *endpoint, std::nullopt, attempt.reply);
    co_return attempt.reply;
  }
  bool refused = attempt.status == StatementAttempt::Status::kAnswered &&
                 GuaranteesNotRun(attempt.reply.error->code);
  if (attempt.status == StatementAttempt::Status::kAnswered) {
    attempt.reason = std::string(ToString(attempt.reply.error->code));
  }
  if (attempt.sent_at && Clock::now() - *attempt.sent_at > kCommitOverdue) {
    pin.group->OnCommitOverdue(*attempt.sent_at);
  }
  if (pin.IsOpen()) {
    if (attempt.is_ambiguous) {
      refused = co_await RollbackAndConfirm(pin) && refused;
    } else {
      co_await Rollback(pin);
    }
  }
  if (refused || !pin.may_have_written || attempt.status == StatementAttempt::Status::kNotRun) {
    auto reply = m_outcome.MakeRefusal(*pin.group, task,
                                       attempt.reason + " at " + endpoint->entry.id.value());
    reply.error->code = StatementError::kAborted;
    co_return reply;
  }
  co_return m_outcome.MakeUnknownReply(*pin.group, task, attempt.reason);
}

asio::awaitable<bool> StatementRunner::EndAfterFailure(StatementAttempt& attempt,
                                                       TransactionPin& pin) {
  bool may_have_run_outside = attempt.may_have_run_outside;
  if (attempt.status == StatementAttempt::Status::kAnswered) {
    attempt.reason = std::string(ToString(attempt.reply.error->code));
    // The refusal may be that of the begin, and the statement may have run without a transaction.
    may_have_run_outside = attempt.is_ambiguous && attempt.reply.state == SessionState::kIdle;
  }
  may_have_run_outside = may_have_run_outside && pin.may_have_written;
  if (pin.IsOpen() && may_have_run_outside) {
    may_have_run_outside = !co_await RollbackAndConfirm(pin);
  } else if (pin.IsOpen()) {
    auto lease = std::move(pin.lease);
    if (co_await RollbackLink(lease) && attempt.is_ambiguous) {
      ConfirmInBackground(m_context.io, std::move(lease));
    }
  }
  co_return may_have_run_outside;
}

asio::awaitable<void> StatementRunner::Rollback(TransactionPin& pin) {
  auto lease = std::move(pin.lease);
  co_await RollbackLink(lease);
}

asio::awaitable<bool> StatementRunner::RollbackAndConfirm(TransactionPin& pin) {
  auto lease = std::move(pin.lease);
  if (!co_await RollbackLink(lease)) {
    co_return false;
  }
  co_return co_await ConfirmLink(lease, Clock::now() + kConfirmTimeout);
}

}  // namespace cardamom
