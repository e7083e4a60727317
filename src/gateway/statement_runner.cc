#include "gateway/statement_runner.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

#include "async/notifier.h"
#include "async/spawn.h"

namespace cardamom {

namespace {

// A read is retried at another server after this fraction of its time limit without an answer.
constexpr double kReadAttemptFraction = 0.45;
// A statement waits for a primary for this fraction of its time limit. It is refused after that, so
// that the caller still has time to retry.
constexpr double kPrimaryWaitFraction = 0.6;
constexpr int kMaxAttempts = 4;
constexpr Millis kRollbackTimeout{300};
// Delay before a retry at a server whose queue was full, multiplied by the number of attempts so
// far.
constexpr Millis kBusyPause{30};
constexpr int kMaxBusyRetries = 2;
// A statement is not sent if the reply is expected only after the deadline: kReserveFactor times
// the server's expected latency is reserved, but at most this fraction of the statement's time
// limit.
constexpr double kMaxReservedFraction = 0.4;
constexpr int kReserveFactor = 2;
// A commit that has had no answer for this long is reported as overdue.
constexpr Millis kCommitOverdue{600};
// Retry delay that is suggested to a refused caller; the second one if the primary has been
// unavailable for longer than a takeover takes. Jitter of up to half the delay is added, so that
// callers do not retry all at once.
constexpr Millis kRetryHint{150};
constexpr Millis kRetryHintNoPrimary{1000};

// A request of the proxy itself, without a caller's statement.
EndpointRequest OwnRequest(EndpointOperation operation) {
  EndpointRequest request;
  request.operation = operation;
  return request;
}

// The time at which `part` of the statement's time limit has passed.
TimePoint FractionDeadline(const StatementTask& task, double part) {
  const auto span = std::chrono::duration_cast<Duration>((task.deadline - task.received_at) * part);
  return std::min(task.deadline, task.received_at + span);
}

// Until when a statement may be queued for `endpoint` and still be sent.
TimePoint LatestSendTime(const StatementTask& task, const Endpoint& endpoint, TimePoint deadline) {
  const auto expected = endpoint.latency.ExpectedLatency(Clock::now()) * kReserveFactor;
  const auto max_reserved = std::chrono::duration_cast<Duration>(
      (task.deadline - task.received_at) * kMaxReservedFraction);
  return std::min(deadline, task.deadline - std::min(expected, max_reserved));
}

// The suggested retry delay. The jitter is a hash of the request id.
Millis RetryHint(const GroupClient& group, const StatementTask& task) {
  const auto limit = group.PrimaryWaitDeadline();
  const auto least = limit && Clock::now() >= *limit ? kRetryHintNoPrimary : kRetryHint;
  const auto& id = task.statement.id.value();
  const auto spread = static_cast<std::uint64_t>(least.count()) / 2;
  return least + Millis(static_cast<std::int64_t>(XXH3_64bits(id.data(), id.size()) % spread));
}

std::string ToText(const std::optional<Position>& position) {
  return position ? fmt::format("{}.{}", position->term.value(), position->index.value()) : "-";
}

}  // namespace

// The result of one attempt to run a statement at one server.
struct StatementRunner::Attempt {
  enum class Status {
    // `reply` is the server's reply to the statement.
    kAnswered,
    // The statement did not run or had no effect.
    kNotRun,
    // The statement may have run.
    kUnknown,
  };
  Status status = Status::kNotRun;
  Reply reply;
  std::string reason;
  // The server refused the statement because its queue was full.
  bool busy = false;
};

asio::awaitable<std::optional<Position>> StatementRunner::NeededPosition(
    GroupClient& group,
    const StatementTask& task) {
  if (task.route.consistency == Consistency::kPrimary) {
    co_return std::nullopt;
  }
  const auto not_before = task.first_byte_at - task.route.max_staleness;
  auto needed =
      co_await group.DetermineWatermark(not_before, FractionDeadline(task, kPrimaryWaitFraction));
  if (needed && task.route.consistency == Consistency::kReadYourWrites && task.caller.committed &&
      task.caller.committed_in == group.id()) {
    needed = std::max(*needed, *task.caller.committed);
  }
  co_return needed;
}

asio::awaitable<StatementRunner::Attempt> StatementRunner::ReadAt(GroupClient& group,
                                                                  GroupClient::EndpointPtr endpoint,
                                                                  std::optional<Position> after,
                                                                  const StatementTask& task,
                                                                  TimePoint deadline) {
  Attempt attempt;
  const OutstandingCount counted(endpoint);
  // Reads that only the primary may answer have priority over reads that a replica may answer.
  const auto priority =
      task.route.consistency == Consistency::kPrimary ? Priority::kWrite : Priority::kRead;
  const auto latest = LatestSendTime(task, *endpoint, deadline);
  auto permit = co_await endpoint->admission->Acquire(priority, latest);
  if (!permit) {
    attempt.reason = permit.error().detail;
    co_return attempt;
  }
  auto lease = co_await endpoint->pool->Acquire(task.caller.values, LinkUse::kStatement, latest);
  if (!lease) {
    attempt.reason = lease.error().detail;
    group.OnLinkFailure(endpoint, lease.error());
    co_return attempt;
  }
  const bool at_primary = !after.has_value();
  auto batch = BuildSetupBatch(**lease, task.caller, &task.statement, false);
  if (at_primary) {
    // A replaced primary still answers reads, but refuses transactions that may write. The read is
    // therefore wrapped in such a transaction.
    batch.begin_index = batch.requests.size();
    batch.requests.push_back(OwnRequest(EndpointOperation::kBegin));
  }
  batch.statement_index = batch.requests.size();
  auto main = ToRequest(task.statement, task.caller);
  main.min_position = after;
  batch.requests.push_back(std::move(main));
  if (at_primary) {
    batch.requests.push_back(OwnRequest(EndpointOperation::kRollback));
  }
  const auto asked_at = BootClock::now();
  const auto sent_at = Clock::now();
  auto answer = co_await (*lease)->link->Run(batch.requests, deadline);
  const auto now = Clock::now();
  if (answer.failure) {
    lease->Discard();
    endpoint->latency.OnFailure(now - sent_at, now);
    group.OnStatementFailure(endpoint, *answer.failure);
    attempt.reason = answer.failure->detail;
    co_return attempt;
  }
  if (!UpdateLinkState(batch, answer, **lease)) {
    lease->Discard();
    attempt.reason = "the session's values were refused";
    co_return attempt;
  }
  if (batch.begin_index) {
    const auto& begun = answer.replies[*batch.begin_index].reply;
    if (!begun.ok()) {
      // The read after the refused begin ran on a log that may be stale: its answer is discarded.
      lease->Discard();
      attempt.reason = fmt::format("begin: {}", ToString(begun.error->code));
      if (begun.error->code == StatementError::kReadOnly) {
        group.OnNotPrimary(endpoint);
      }
      co_return attempt;
    }
    if (begun.position) {
      group.OnPrimaryAnswer(endpoint, asked_at, *begun.position);
    }
  }
  auto& reply = answer.replies[*batch.statement_index].reply;
  if (answer.replies.back().reply.state != SessionState::kIdle) {
    lease->Discard();
  }
  if (reply.ok()) {
    permit->OnSuccess();
    endpoint->latency.OnResponse(now - sent_at, now);
    if (!at_primary && reply.position) {
      group.OnReplicaAnswer(endpoint, *reply.position);
    }
    attempt.status = Attempt::Status::kAnswered;
    attempt.reply = std::move(reply);
    attempt.reply.state = SessionState::kIdle;
    co_return attempt;
  }
  attempt.reason = std::string(ToString(reply.error->code));
  if (reply.error->code == StatementError::kLagging && after) {
    group.OnReplicaBehind(endpoint, *after);
  } else if (reply.error->code == StatementError::kReadOnly && at_primary) {
    group.OnNotPrimary(endpoint);
  } else if (reply.error->code == StatementError::kUnknownStatement) {
    lease->Discard();
  } else {
    if (reply.error->code == StatementError::kBusy) {
      permit->OnOverload();
      attempt.busy = true;
    }
    endpoint->latency.OnFailure(Millis(200), now);
  }
  co_return attempt;
}

asio::awaitable<Reply> StatementRunner::Read(std::shared_ptr<GroupClient> group,
                                             StatementTask task) {
  std::vector<EndpointId> tried;
  std::string reason = "no server";
  const auto needed = co_await NeededPosition(*group, task);
  for (int i = 0; i < kMaxAttempts && Clock::now() < task.deadline; ++i) {
    GroupClient::EndpointPtr endpoint;
    std::size_t choices = 1;
    if (needed) {
      const auto servers = group->ServersForRead(needed, tried);
      choices = servers.size();
      // Servers with a free link are preferred to those whose link would have to be waited for.
      const auto free = std::find_if(servers.begin(), servers.end(), [](const auto& server) {
        return server->pool->CanAcquireAtOnce();
      });
      endpoint = free != servers.end() ? *free : servers.empty() ? nullptr : servers.front();
    } else {
      endpoint = co_await group->WaitForPrimary(FractionDeadline(task, kPrimaryWaitFraction));
    }
    if (!endpoint) {
      break;
    }
    const bool at_primary = group->primary_id() == endpoint->entry.id;
    const auto after = at_primary ? std::nullopt : needed;
    // The primary gets all the remaining time if no other server is eligible: abandoning its answer
    // would only waste the work it has done.
    const bool is_last = at_primary && (!needed || choices == 1);
    const auto deadline =
        is_last ? task.deadline
                : std::min(task.deadline, Clock::now() + std::chrono::duration_cast<Duration>(
                                                             (task.deadline - task.received_at) *
                                                             kReadAttemptFraction));
    auto attempt = co_await ReadAt(*group, endpoint, after, task, deadline);
    if (attempt.status == Attempt::Status::kAnswered) {
      m_context.metrics.CountRead(at_primary ? "primary" : "replica");
      LogAnswer(*group, task, *endpoint, after, attempt.reply);
      co_return attempt.reply;
    }
    reason = fmt::format("{} at {}", attempt.reason, endpoint->entry.id.value());
    if (attempt.busy && is_last) {
      if (i >= kMaxBusyRetries) {
        break;
      }
      co_await Sleep(kBusyPause * (i + 1));
    } else if (needed) {
      tried.push_back(endpoint->entry.id);
    }
  }
  co_return MakeRefusal(*group, task, reason);
}

asio::awaitable<StatementRunner::Attempt> StatementRunner::WriteAt(
    GroupClient& group,
    GroupClient::EndpointPtr endpoint,
    const StatementTask& task) {
  Attempt attempt;
  const OutstandingCount counted(endpoint);
  auto permit = co_await endpoint->admission->Acquire(Priority::kWrite,
                                                      FractionDeadline(task, kPrimaryWaitFraction));
  if (!permit) {
    attempt.reason = permit.error().detail;
    co_return attempt;
  }
  auto lease = co_await endpoint->pool->Acquire(task.caller.values, LinkUse::kStatement,
                                                FractionDeadline(task, kPrimaryWaitFraction));
  if (!lease) {
    attempt.reason = lease.error().detail;
    group.OnLinkFailure(endpoint, lease.error());
    co_return attempt;
  }
  auto batch = BuildSetupBatch(**lease, task.caller, &task.statement, false);
  if (!batch.requests.empty()) {
    // The setup requests are sent on their own: a write in the same batch would run with wrong
    // session values if one of them were refused.
    const auto prepared = co_await (*lease)->link->Run(batch.requests, task.deadline);
    if (prepared.failure || !UpdateLinkState(batch, prepared, **lease)) {
      lease->Discard();
      if (prepared.failure) {
        group.OnLinkFailure(endpoint, *prepared.failure);
      }
      attempt.reason = "the session's values were not taken";
      co_return attempt;
    }
  }
  std::vector<EndpointRequest> requests{ToRequest(task.statement, task.caller)};
  const auto asked_at = BootClock::now();
  const auto sent_at = Clock::now();
  const auto answer = co_await (*lease)->link->Run(std::move(requests), task.deadline);
  const auto now = Clock::now();
  if (answer.failure) {
    lease->Discard();
    endpoint->latency.OnFailure(now - sent_at, now);
    group.OnStatementFailure(endpoint, *answer.failure);
    if (now - sent_at > kCommitOverdue) {
      group.OnCommitOverdue(sent_at);
    }
    attempt.status =
        answer.failure->ran == Ran::kNo ? Attempt::Status::kNotRun : Attempt::Status::kUnknown;
    attempt.reason = answer.failure->detail;
    co_return attempt;
  }
  const auto& reply = answer.replies.front().reply;
  if (!reply.ok() && GuaranteesNotRun(reply.error->code)) {
    attempt.reason = std::string(ToString(reply.error->code));
    if (reply.error->code == StatementError::kReadOnly) {
      group.OnNotPrimary(endpoint);
    } else if (reply.error->code == StatementError::kUnknownStatement) {
      lease->Discard();
    } else if (reply.error->code == StatementError::kBusy) {
      permit->OnOverload();
      attempt.busy = true;
    }
    co_return attempt;
  }
  if (reply.ok() && reply.position) {
    permit->OnSuccess();
    endpoint->latency.OnResponse(now - sent_at, now);
    group.OnPrimaryAnswer(endpoint, asked_at, *reply.position);
    group.OnCommitAcknowledged(*reply.position);
  }
  attempt.status = reply.ok() ? Attempt::Status::kAnswered : Attempt::Status::kUnknown;
  attempt.reason = reply.ok() ? "" : std::string(ToString(reply.error->code));
  attempt.reply = reply;
  attempt.reply.state = SessionState::kIdle;
  co_return attempt;
}

asio::awaitable<Reply> StatementRunner::Write(std::shared_ptr<GroupClient> group,
                                              StatementTask task) {
  std::string reason = "no primary";
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto endpoint =
        co_await group->WaitForPrimary(FractionDeadline(task, kPrimaryWaitFraction));
    if (!endpoint) {
      break;
    }
    auto attempt = co_await WriteAt(*group, endpoint, task);
    switch (attempt.status) {
      case Attempt::Status::kAnswered:
        LogAnswer(*group, task, *endpoint, std::nullopt, attempt.reply);
        co_return attempt.reply;
      case Attempt::Status::kUnknown:
        co_return MakeUnknownReply(*group, task, attempt.reason);
      case Attempt::Status::kNotRun:
        reason = fmt::format("{} at {}", attempt.reason, endpoint->entry.id.value());
        break;
    }
    if (attempt.busy) {
      if (i >= kMaxBusyRetries) {
        break;
      }
      co_await Sleep(kBusyPause * (i + 1));
    }
    if (Clock::now() >= FractionDeadline(task, kPrimaryWaitFraction)) {
      break;
    }
  }
  co_return MakeRefusal(*group, task, reason);
}

asio::awaitable<StatementRunner::Attempt> StatementRunner::RunBatch(const StatementTask& task,
                                                                    StatementBatch batch,
                                                                    TransactionPin& pin) {
  Attempt attempt;
  const auto asked_at = BootClock::now();
  const auto sent_at = Clock::now();
  const auto answer = co_await pin.lease->link->Run(batch.requests, task.deadline);
  const auto now = Clock::now();
  if (answer.failure) {
    pin.lease.Discard();
    pin.endpoint->latency.OnFailure(now - sent_at, now);
    pin.group->OnStatementFailure(pin.endpoint, *answer.failure);
    attempt.status =
        answer.failure->ran == Ran::kNo ? Attempt::Status::kNotRun : Attempt::Status::kUnknown;
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
  attempt.status = Attempt::Status::kAnswered;
  if (!batch.statement_index) {
    co_return attempt;
  }
  attempt.reply = answer.replies[*batch.statement_index].reply;
  if (attempt.reply.ok()) {
    pin.endpoint->latency.OnResponse(now - sent_at, now);
    if (!pin.at_primary && attempt.reply.position) {
      pin.group->OnReplicaAnswer(pin.endpoint, *attempt.reply.position);
    }
  } else if (attempt.reply.error->code == StatementError::kReadOnly && pin.at_primary) {
    pin.group->OnNotPrimary(pin.endpoint);
  }
  co_return attempt;
}

asio::awaitable<StatementRunner::Attempt> StatementRunner::OpenAt(GroupClient& group,
                                                                  GroupClient::EndpointPtr endpoint,
                                                                  std::optional<Position> after,
                                                                  const StatementTask& task,
                                                                  bool read_only,
                                                                  TimePoint deadline,
                                                                  TransactionPin& pin) {
  Attempt attempt;
  auto permit = co_await endpoint->admission->Acquire(Priority::kWrite, deadline);
  if (!permit) {
    attempt.reason = permit.error().detail;
    co_return attempt;
  }
  auto lease = co_await endpoint->pool->Acquire(task.caller.values, LinkUse::kStatement, deadline);
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
  if (attempt.status != Attempt::Status::kAnswered) {
    co_return attempt;
  }
  // The statement is sent only after the begin has succeeded. In the same batch as a refused begin
  // it would run outside any transaction.
  auto first = BuildSetupBatch(*pin.lease, task.caller, &task.statement, true);
  first.statement_index = first.requests.size();
  first.requests.push_back(ToRequest(task.statement, task.caller));
  pin.may_have_written = AccessOf(task.statement, task.caller) == Access::kWrite;
  attempt = co_await RunBatch(task, std::move(first), pin);
  if (attempt.status == Attempt::Status::kAnswered && !attempt.reply.ok() &&
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
      const auto free = std::find_if(servers.begin(), servers.end(), [](const auto& server) {
        return server->pool->CanAcquireAtOnce();
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
    if (attempt.status == Attempt::Status::kAnswered && attempt.reply.ok()) {
      LogAnswer(*group, task, *endpoint, after, attempt.reply);
      if (commits) {
        pin.lease.Release();
      }
      co_return attempt.reply;
    }
    if (attempt.status == Attempt::Status::kAnswered) {
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
    } else if (attempt.status != Attempt::Status::kNotRun) {
      break;
    }
  }
  auto refusal = MakeRefusal(*group, task, reason);
  refusal.state = commits ? SessionState::kIdle : SessionState::kFailed;
  co_return refusal;
}

asio::awaitable<Reply> StatementRunner::RunNext(StatementTask task, TransactionPin& pin) {
  const OutstandingCount counted(pin.endpoint);
  auto batch = BuildSetupBatch(*pin.lease, task.caller, &task.statement, true);
  batch.statement_index = batch.requests.size();
  batch.requests.push_back(ToRequest(task.statement, task.caller));
  if (AccessOf(task.statement, task.caller) == Access::kWrite) {
    pin.may_have_written = true;
  }
  const auto endpoint = pin.endpoint;
  auto attempt = co_await RunBatch(task, std::move(batch), pin);
  if (attempt.status == Attempt::Status::kAnswered && attempt.reply.ok()) {
    LogAnswer(*pin.group, task, *endpoint, std::nullopt, attempt.reply);
    co_return attempt.reply;
  }
  if (pin.IsOpen()) {
    co_await Rollback(pin);
  }
  // Without a commit the transaction has no effect, whether or not the statement ran.
  const auto reason = attempt.status == Attempt::Status::kAnswered
                          ? std::string(ToString(attempt.reply.error->code))
                          : attempt.reason;
  auto reply = MakeRefusal(*pin.group, task, reason + " at " + endpoint->entry.id.value());
  reply.error->code = StatementError::kAborted;
  reply.state = SessionState::kFailed;
  co_return reply;
}

asio::awaitable<Reply> StatementRunner::Commit(StatementTask task, TransactionPin& pin) {
  const auto endpoint = pin.endpoint;
  const OutstandingCount counted(endpoint);
  StatementBatch batch;
  batch.values_after = pin.lease->values;
  batch.prepared_after = pin.lease->prepared;
  batch.statement_index = 0;
  batch.requests.push_back(ToRequest(task.statement, task.caller));
  const auto asked_at = BootClock::now();
  const auto sent_at = Clock::now();
  auto attempt = co_await RunBatch(task, std::move(batch), pin);
  if (attempt.status == Attempt::Status::kAnswered && attempt.reply.ok()) {
    if (pin.may_have_written && attempt.reply.position) {
      pin.group->OnPrimaryAnswer(endpoint, asked_at, *attempt.reply.position);
      pin.group->OnCommitAcknowledged(*attempt.reply.position);
    }
    if (attempt.reply.state == SessionState::kIdle) {
      pin.lease.Release();
    } else {
      pin.lease.Discard();
    }
    attempt.reply.state = SessionState::kIdle;
    LogAnswer(*pin.group, task, *endpoint, std::nullopt, attempt.reply);
    co_return attempt.reply;
  }
  const bool refused =
      attempt.status == Attempt::Status::kAnswered && GuaranteesNotRun(attempt.reply.error->code);
  if (attempt.status == Attempt::Status::kAnswered) {
    attempt.reason = std::string(ToString(attempt.reply.error->code));
  }
  if (Clock::now() - sent_at > kCommitOverdue) {
    pin.group->OnCommitOverdue(sent_at);
  }
  if (pin.IsOpen()) {
    co_await Rollback(pin);
  }
  if (refused || !pin.may_have_written || attempt.status == Attempt::Status::kNotRun) {
    auto reply =
        MakeRefusal(*pin.group, task, attempt.reason + " at " + endpoint->entry.id.value());
    reply.error->code = StatementError::kAborted;
    co_return reply;
  }
  co_return MakeUnknownReply(*pin.group, task, attempt.reason);
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

Reply StatementRunner::MakeRefusal(const GroupClient& group,
                                   const StatementTask& task,
                                   const std::string& reason) {
  const auto waited = ToMillis(Clock::now() - task.received_at);
  m_context.metrics.CountStatement("refused", Clock::now() - task.received_at);
  m_context.events.Emit(
      EventCode::kStatementRefused,
      {.group = group.id(),
       .request = task.statement.id.value(),
       .detail = fmt::format("{} after {} ms; primary {}; {}", reason, waited.count(),
                             group.primary_id() ? group.primary_id()->value() : "unknown",
                             group.health().failing_since ? "failing" : "well")});
  return ErrorReply(StatementError::kBusy,
                    fmt::format("{}; retry after {} ms", reason, RetryHint(group, task).count()),
                    SessionState::kIdle);
}

Reply StatementRunner::MakeUnknownReply(const GroupClient& group,
                                        const StatementTask& task,
                                        const std::string& reason) {
  m_context.metrics.CountStatement("unknown", Clock::now() - task.received_at);
  m_context.events.Emit(EventCode::kOutcomeUnknown,
                        {.group = group.id(),
                         .request = task.statement.id.value(),
                         .detail = fmt::format("{} after {} ms", reason,
                                               ToMillis(Clock::now() - task.received_at).count())});
  return ErrorReply(StatementError::kInDoubt, reason, SessionState::kIdle);
}

void StatementRunner::LogAnswer(const GroupClient& group,
                                const StatementTask& task,
                                const Endpoint& endpoint,
                                std::optional<Position> after,
                                const Reply& reply) {
  const auto taken = Clock::now() - task.received_at;
  m_context.metrics.CountStatement("answered", taken);
  m_context.events.Emit(EventCode::kStatementAnswered,
                        {.group = group.id(),
                         .endpoint = endpoint.entry.id,
                         .request = task.statement.id.value(),
                         .detail = fmt::format("after {} at {} in {} ms", ToText(after),
                                               ToText(reply.position), ToMillis(taken).count())});
}

}  // namespace cardamom
