#include "gateway/statement_runner.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/notifier.h"
#include "gateway/commit_witness.h"
#include "gateway/link_check.h"
#include "gateway/statement_limits.h"

namespace cardamom {
namespace {

constexpr Millis kLeasePollInterval{25};

}  // namespace

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

asio::awaitable<std::optional<std::string>> StatementRunner::SetUpLink(
    GroupClient& group,
    GroupClient::EndpointPtr endpoint,
    StatementBatch& batch,
    LinkPool::Lease& lease,
    TimePoint deadline) {
  const auto sent_at = Clock::now();
  const auto answer = co_await lease->link->Run(batch.requests, deadline);
  if (answer.failure) {
    lease.Discard();
    const auto now = Clock::now();
    endpoint->latency.OnFailure(now - sent_at, now);
    group.OnStatementFailure(endpoint, *answer.failure);
    co_return fmt::format("setting the session's values: {}", answer.failure->detail);
  }
  if (!UpdateLinkState(batch, answer, *lease)) {
    lease.Discard();
    co_return "the session's values were refused";
  }
  batch.requests.clear();
  batch.changes_values = false;
  batch.clears_prepared = false;
  batch.prepares.reset();
  co_return std::nullopt;
}

asio::awaitable<StatementAttempt> StatementRunner::ReadAt(GroupClient& group,
                                                          GroupClient::EndpointPtr endpoint,
                                                          std::optional<Position> after,
                                                          const StatementTask& task,
                                                          TimePoint deadline) {
  StatementAttempt attempt;
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
  auto lease = co_await endpoint->pool->Acquire(task.organisation, task.caller.values,
                                                LinkUse::kStatement, latest);
  if (!lease) {
    attempt.reason = lease.error().detail;
    group.OnLinkFailure(endpoint, lease.error());
    co_return attempt;
  }
  const bool at_primary = !after.has_value();
  auto batch = BuildSetupBatch(**lease, task.caller, &task.statement, false);
  if (batch.changes_values) {
    auto refusal = co_await SetUpLink(group, endpoint, batch, *lease, deadline);
    if (refusal) {
      attempt.reason = std::move(*refusal);
      co_return attempt;
    }
  }
  if (at_primary) {
    // A replaced primary still answers reads, but refuses transactions that may write. The read is
    // therefore wrapped in such a transaction.
    batch.begin_index = batch.requests.size();
    batch.requests.push_back(OwnRequest(EndpointOperation::kBegin));
  }
  batch.statement_index = batch.requests.size();
  auto main = ToRequest(task.statement, task.caller, batch);
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
  }
  auto& reply = answer.replies[*batch.statement_index].reply;
  const bool lacks_name = !reply.ok() && reply.error->code == StatementError::kUnknownStatement;
  if (answer.replies.back().reply.state != SessionState::kIdle || lacks_name) {
    lease->Discard();
  } else if (IsAnyAmbiguous(answer)) {
    ConfirmInBackground(m_context.io, std::move(*lease));
  }
  if (reply.ok()) {
    if (at_primary && reply.position) {
      // Not the position of the begin: its reply may be that of an earlier one.
      group.OnPrimaryAnswer(endpoint, asked_at, *reply.position);
    }
    permit->OnSuccess();
    endpoint->latency.OnResponse(now - sent_at, now);
    if (!at_primary && reply.position) {
      group.OnReplicaAnswer(endpoint, *reply.position);
    }
    attempt.status = StatementAttempt::Status::kAnswered;
    attempt.reply = std::move(reply);
    attempt.reply.state = SessionState::kIdle;
    co_return attempt;
  }
  attempt.reason = std::string(ToString(reply.error->code));
  if (reply.error->code == StatementError::kLagging && after) {
    group.OnReplicaBehind(endpoint, *after);
  } else if (reply.error->code == StatementError::kReadOnly && at_primary) {
    group.OnNotPrimary(endpoint);
  } else if (!lacks_name) {
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
    if (attempt.status == StatementAttempt::Status::kAnswered) {
      m_context.metrics.CountRead(at_primary ? "primary" : "replica");
      m_outcome.LogAnswer(*group, task, *endpoint, after, attempt.reply);
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
  co_return m_outcome.MakeRefusal(*group, task, reason);
}

asio::awaitable<StatementAttempt> StatementRunner::WriteAt(GroupClient& group,
                                                           GroupClient::EndpointPtr endpoint,
                                                           const StatementTask& task) {
  StatementAttempt attempt;
  const OutstandingCount counted(endpoint);
  auto permit = co_await endpoint->admission->Acquire(Priority::kWrite,
                                                      FractionDeadline(task, kPrimaryWaitFraction));
  if (!permit) {
    attempt.reason = permit.error().detail;
    co_return attempt;
  }
  auto lease =
      co_await endpoint->pool->Acquire(task.organisation, task.caller.values, LinkUse::kStatement,
                                       FractionDeadline(task, kPrimaryWaitFraction));
  if (!lease) {
    attempt.reason = lease.error().detail;
    group.OnLinkFailure(endpoint, lease.error());
    co_return attempt;
  }
  auto batch = BuildSetupBatch(**lease, task.caller, &task.statement, false);
  if (!batch.requests.empty()) {
    // A write is not sent together with the preparation of its statement either: it might take
    // effect although the preparation was answered with an error.
    auto refusal = co_await SetUpLink(group, endpoint, batch, *lease, task.deadline);
    if (refusal) {
      attempt.reason = std::move(*refusal);
      co_return attempt;
    }
  }
  std::vector<EndpointRequest> requests{ToRequest(task.statement, task.caller, batch)};
  attempt.known_before = endpoint->last_position;
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
    attempt.status = answer.failure->ran == Ran::kNo ? StatementAttempt::Status::kNotRun
                                                     : StatementAttempt::Status::kUnknown;
    attempt.reason = answer.failure->detail;
    co_return attempt;
  }
  const auto& reply = answer.replies.front().reply;
  if (reply.state != SessionState::kIdle) {
    lease->Discard();
  }
  const bool confirmed = !answer.replies.front().is_ambiguous ||
                         co_await ConfirmLink(*lease, Clock::now() + kConfirmTimeout);
  if (!reply.ok() && GuaranteesNotRun(reply.error->code) && confirmed) {
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
  }
  attempt.status =
      reply.ok() ? StatementAttempt::Status::kAnswered : StatementAttempt::Status::kUnknown;
  attempt.reason = reply.ok() ? "" : std::string(ToString(reply.error->code));
  attempt.reply = reply;
  attempt.reply.state = SessionState::kIdle;
  co_return attempt;
}

asio::awaitable<bool> StatementRunner::PassOn(GroupClient& group,
                                              const StatementTask& task,
                                              const StatementAttempt& answered) {
  if (!answered.reply.position) {
    // Nothing could confirm it once the hold has ended.
    co_return group.acknowledgements().HasLease() &&
        !group.acknowledgements().hold().IsHeld(BootClock::now());
  }
  const auto& known = answered.known_before;
  const AcknowledgedCommit commit{{known.term, LogIndex(known.index.value() + 1)},
                                  *answered.reply.position};
  const AcknowledgementGate::FindWitness find_witness =
      [this, self = group.shared_from_this()](Position position,
                                              TimePoint deadline) -> asio::awaitable<bool> {
    const bool is_witnessed = co_await IsWitnessed(m_context, self, position, deadline);
    m_context.metrics.CountUnleasedCommit(is_witnessed);
    co_return is_witnessed;
  };
  const bool passed = co_await group.acknowledgements().PassOn(commit, task.deadline, find_witness);
  if (passed) {
    group.OnCommitAcknowledged(commit.at_most);
  }
  co_return passed;
}

asio::awaitable<bool> StatementRunner::WaitUntilCommitsPass(std::shared_ptr<GroupClient> group,
                                                            TimePoint deadline) {
  const bool open = co_await group->acknowledgements().WaitUntilOpen(deadline);
  bool passes = MayPassOnCommits(*group);
  while (open && !passes && Clock::now() < deadline) {
    co_await Sleep(kLeasePollInterval);
    passes = MayPassOnCommits(*group);
  }
  co_return open&& passes;
}

asio::awaitable<Reply> StatementRunner::Write(std::shared_ptr<GroupClient> group,
                                              StatementTask task) {
  std::string reason = "no primary";
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto send_by = FractionDeadline(task, kPrimaryWaitFraction);
    const bool open = co_await WaitUntilCommitsPass(group, send_by);
    if (!open) {
      break;
    }
    const auto endpoint = co_await group->WaitForPrimary(send_by);
    if (!endpoint) {
      break;
    }
    auto attempt = co_await WriteAt(*group, endpoint, task);
    if (attempt.status == StatementAttempt::Status::kAnswered &&
        !co_await PassOn(*group, task, attempt)) {
      attempt.status = StatementAttempt::Status::kUnknown;
      attempt.reason = "the primary was replaced";
    }
    switch (attempt.status) {
      case StatementAttempt::Status::kAnswered:
        m_outcome.LogAnswer(*group, task, *endpoint, std::nullopt, attempt.reply);
        co_return attempt.reply;
      case StatementAttempt::Status::kUnknown:
        co_return m_outcome.MakeUnknownReply(*group, task, attempt.reason);
      case StatementAttempt::Status::kNotRun:
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
  co_return m_outcome.MakeRefusal(*group, task, reason);
}

}  // namespace cardamom
