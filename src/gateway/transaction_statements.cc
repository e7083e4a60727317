// The statements of transactions of StatementRunner.
#include <algorithm>

#include <fmt/format.h>

#include "async/notifier.h"
#include "gateway/statement_limits.h"
#include "gateway/statement_runner.h"

namespace cardamom {
namespace {

constexpr Millis kRollbackTimeout{300};

}  // namespace

asio::awaitable<StatementAttempt> StatementRunner::RunInTransaction(const StatementTask& task,
                                                                    TransactionPin& pin) {
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
    if (pin.at_primary && begun.position) {
      pin.group->OnPrimaryAnswer(pin.endpoint, asked_at, *begun.position);
    }
  }
  attempt.status = StatementAttempt::Status::kAnswered;
  if (!batch.statement_index) {
    co_return attempt;
  }
  attempt.reply = answer.replies[*batch.statement_index].reply;
  if (attempt.reply.ok()) {
    pin.endpoint->latency.OnResponse(now - sent_at, now);
    if (attempt.reply.position) {
      auto& last_position = pin.endpoint->last_position;
      last_position = std::max(last_position, *attempt.reply.position);
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
  attempt = co_await RunInTransaction(task, pin);
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
      m_outcome.LogAnswer(*group, task, *endpoint, after, attempt.reply);
      if (commits) {
        pin.lease.Release();
      }
      co_return attempt.reply;
    }
    if (attempt.status == StatementAttempt::Status::kAnswered) {
      attempt.reason = std::string(ToString(attempt.reply.error->code));
    }
    // Nothing was committed: everything that ran is rolled back with the transaction.
    if (pin.IsOpen()) {
      co_await Rollback(pin);
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
  if (pin.IsOpen()) {
    co_await Rollback(pin);
  }
  // Without a commit the transaction has no effect, whether or not the statement ran.
  const auto reason = attempt.status == StatementAttempt::Status::kAnswered
                          ? std::string(ToString(attempt.reply.error->code))
                          : attempt.reason;
  auto reply =
      m_outcome.MakeRefusal(*pin.group, task, reason + " at " + endpoint->entry.id.value());
  reply.error->code = StatementError::kAborted;
  reply.state = SessionState::kFailed;
  co_return reply;
}

asio::awaitable<Reply> StatementRunner::Commit(StatementTask task, TransactionPin& pin) {
  const auto endpoint = pin.endpoint;
  const OutstandingCount counted(endpoint);
  if (pin.may_have_written) {
    const bool open = co_await pin.group->acknowledgements().WaitUntilOpen(
        FractionDeadline(task, kPrimaryWaitFraction));
    if (!open) {
      co_await Rollback(pin);
      auto reply = m_outcome.MakeRefusal(*pin.group, task, "no primary");
      reply.error->code = StatementError::kAborted;
      co_return reply;
    }
  }
  const auto asked_at = BootClock::now();
  auto attempt = co_await RunInTransaction(task, pin);
  if (attempt.status == StatementAttempt::Status::kAnswered && attempt.reply.ok()) {
    if (pin.may_have_written && attempt.reply.position) {
      pin.group->OnPrimaryAnswer(endpoint, asked_at, *attempt.reply.position);
    }
    if (attempt.reply.state == SessionState::kIdle) {
      pin.lease.Release();
    } else {
      pin.lease.Discard();
    }
    if (pin.may_have_written && !co_await PassOn(*pin.group, task, attempt)) {
      co_return m_outcome.MakeUnknownReply(*pin.group, task, "the primary was replaced");
    }
    attempt.reply.state = SessionState::kIdle;
    m_outcome.LogAnswer(*pin.group, task, *endpoint, std::nullopt, attempt.reply);
    co_return attempt.reply;
  }
  const bool refused = attempt.status == StatementAttempt::Status::kAnswered &&
                       GuaranteesNotRun(attempt.reply.error->code);
  if (attempt.status == StatementAttempt::Status::kAnswered) {
    attempt.reason = std::string(ToString(attempt.reply.error->code));
  }
  if (attempt.sent_at && Clock::now() - *attempt.sent_at > kCommitOverdue) {
    pin.group->OnCommitOverdue(*attempt.sent_at);
  }
  if (pin.IsOpen()) {
    co_await Rollback(pin);
  }
  if (refused || !pin.may_have_written || attempt.status == StatementAttempt::Status::kNotRun) {
    auto reply = m_outcome.MakeRefusal(*pin.group, task,
                                       attempt.reason + " at " + endpoint->entry.id.value());
    reply.error->code = StatementError::kAborted;
    co_return reply;
  }
  co_return m_outcome.MakeUnknownReply(*pin.group, task, attempt.reason);
}

asio::awaitable<void> StatementRunner::Rollback(TransactionPin& pin) {
  auto lease = std::move(pin.lease);
  std::vector<EndpointRequest> requests{OwnRequest(EndpointOperation::kRollback)};
  const auto answer =
      co_await lease->link->Run(std::move(requests), Clock::now() + kRollbackTimeout);
  if (answer.failure || !answer.replies.front().reply.ok() ||
      answer.replies.front().reply.state != SessionState::kIdle) {
    lease.Discard();
  }
}

}  // namespace cardamom
