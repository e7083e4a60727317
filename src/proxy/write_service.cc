#include "proxy/write_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kMinRetryDelay{10};
constexpr Millis kMaxRetryDelay{200};

// Exponential back-off by the number of attempts.
Millis RetryDelay(int attempts) {
  return std::min(kMaxRetryDelay, kMinRetryDelay * (1 << std::min(attempts, 6)));
}

Error MakeFinalError(const Error& error, bool may_have_run) {
  if (!may_have_run) {
    return {error.code, error.detail, Ran::kNo};
  }
  return {ResultCode::kOutcomeUnknown, error.detail, Ran::kUnknown};
}

}  // namespace

std::string FingerprintOf(const SqlStatement& statement) {
  const auto text = EncodeJson(statement);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

asio::awaitable<Outcome<WriteResult>> WriteService::Write(std::shared_ptr<Group> group,
                                                          WriteCommand command,
                                                          TimePoint deadline) {
  if (group->OldestCommitWait() > Millis(m_context.settings.stall_limit_ms)) {
    co_return Error{ResultCode::kReplicationStalled, "earlier writes wait for replicas"};
  }
  WriteRequest request;
  request.key = std::move(command.key);
  request.fingerprint = FingerprintOf(command.statement);
  request.statement = std::move(command.statement);
  co_return co_await RunWithRetries(*group, std::move(request), deadline);
}

asio::awaitable<Outcome<WriteResult>> WriteService::RunWithRetries(Group& group,
                                                                   WriteRequest request,
                                                                   TimePoint deadline) {
  Progress progress;
  group.OnFirstAttempt();
  for (;;) {
    const auto term = group.WithView([](const GroupView& view) { return view.term(); });
    auto result = co_await Attempt(group, request, progress, deadline);
    if (result) {
      co_return result;
    }
    const auto error = result.error();
    ++progress.attempts;
    const auto decision = DecideRetry(error, {true, deadline, Clock::now()});
    // A write that waits for another primary adds no load to the one that failed, so only retries
    // that do not wait for one consume the retry budget.
    const bool may_retry = decision == RetryDecision::kWaitForPrimary ||
                           (decision == RetryDecision::kRetry && group.TryConsumeRetryToken());
    if (!may_retry) {
      if (error.code == ResultCode::kKeyConflict) {
        co_return error;
      }
      co_return MakeFinalError(error, progress.may_have_run);
    }
    m_context.metrics.CountRetry(InfoOf(error.code).name.data());
    if (decision == RetryDecision::kRetry) {
      // Observing a greater term, and so another primary, ends the delay.
      const auto replaced = [term](const GroupView& view) { return view.term() > term; };
      const auto pause_ends = std::min(deadline, Clock::now() + RetryDelay(progress.attempts));
      if (!co_await group.WaitFor(replaced, pause_ends)) {
        co_await group.Refresh();
      }
    }
  }
}

asio::awaitable<Outcome<WriteResult>> WriteService::Attempt(Group& group,
                                                            const WriteRequest& request,
                                                            Progress& progress,
                                                            TimePoint deadline) {
  const auto primary = co_await group.WaitForPrimary(progress.min_term, deadline);
  if (!primary) {
    co_return primary.error();
  }
  auto permit = co_await primary->endpoint->admission->Acquire(Priority::kWrite, deadline);
  if (!permit) {
    co_return permit.error();
  }
  auto attempt_request = request;
  attempt_request.term = primary->term;
  const auto timeout = Millis(m_context.settings.attempt_timeout_ms);
  const auto request_sent_at = Clock::now();
  const auto attempt_deadline = std::min(deadline, request_sent_at + timeout);
  attempt_request.wait_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, ToMillis(attempt_deadline - Clock::now()).count()));
  const auto answer =
      co_await SendUntilTermChanges(group, *primary, std::move(attempt_request), attempt_deadline);
  if (!answer) {
    const auto& error = answer.error();
    progress.may_have_run = progress.may_have_run || error.ran != Ran::kNo;
    if (error.code == ResultCode::kNotPrimary) {
      progress.min_term = Term(primary->term.value() + 1);
      co_await group.Refresh();
    } else if (IsConnectionFailure(error)) {
      group.ObserveFailure(*primary->endpoint, error, request_sent_at);
    } else if (error.code == ResultCode::kOverloaded) {
      permit->OnOverload();
    }
    co_return error;
  }
  permit->OnSuccess();
  progress.may_have_run = true;
  group.ObserveHeld(primary->endpoint->spec.id, answer->position);
  {
    // Ends the admission to the endpoint before the wait for replicas, so that another request can
    // run there meanwhile.
    const auto released_permit = std::move(*permit);
  }
  switch (co_await group.WaitForCommit(answer->position, deadline)) {
    case Group::CommitState::kCommitted:
      co_return WriteResult{answer->result, answer->position, answer->replayed};
    case Group::CommitState::kTermChanged:
      m_context.events.Emit(
          EventCode::kWriteWaited,
          {.group = group.id(), .term = answer->position.term, .index = answer->position.index});
      co_return Error{ResultCode::kNotPrimary, "the primary was replaced", Ran::kUnknown};
    case Group::CommitState::kDeadline:
      break;
  }
  co_return Error{ResultCode::kOutcomeUnknown, "replicas did not confirm in time", Ran::kUnknown};
}

asio::awaitable<Outcome<WriteAnswer>> WriteService::SendUntilTermChanges(
    Group& group,
    const Group::Primary& primary,
    WriteRequest request,
    TimePoint deadline) {
  // The request runs in a coroutine of its own, so that a suspended primary does not delay the
  // attempt at its successor. An answer that arrives too late is ignored; after the deadline its
  // connection is closed.
  auto answer = std::make_shared<std::optional<Outcome<WriteAnswer>>>();
  auto mutex = std::make_shared<std::mutex>();
  const auto client = primary.endpoint->client;
  const auto kept_group = group.shared_from_this();
  Spawn(m_context.io, [=]() mutable -> asio::awaitable<void> {
    auto result = co_await client->Write(std::move(request), deadline);
    {
      const std::lock_guard lock(*mutex);
      *answer = std::move(result);
    }
    kept_group->NotifyChanged();
  });
  const auto term = primary.term;
  const auto done = [&](const GroupView& view) {
    const std::lock_guard lock(*mutex);
    return answer->has_value() || view.term() > term;
  };
  co_await group.WaitFor(done, deadline + kMinRetryDelay);
  const std::lock_guard lock(*mutex);
  if (answer->has_value()) {
    co_return **answer;
  }
  co_return Error{ResultCode::kNotPrimary, "the primary was replaced before it answered",
                  Ran::kUnknown};
}

asio::awaitable<Outcome<WriteResult>> WriteService::ResolveCommit(std::shared_ptr<Group> group,
                                                                  IdempotencyKey key,
                                                                  TimePoint deadline) {
  // Only the first to store the key takes effect: this write, which aborts the commit, or the
  // commit itself, which may still be in progress.
  WriteRequest request;
  request.key = key;
  request.fingerprint = kAbortFingerprint;
  request.statement.sql = "SELECT 1";
  const auto abort_result = co_await RunWithRetries(*group, std::move(request), deadline);
  if (abort_result) {
    co_return Error{ResultCode::kTransactionAborted, "the commit did not take effect", Ran::kNo};
  }
  if (abort_result.error().code != ResultCode::kKeyConflict) {
    co_return Error{ResultCode::kOutcomeUnknown, abort_result.error().detail, Ran::kUnknown};
  }
  const auto stored = co_await LookUpOutcome(group, std::move(key), deadline);
  if (!stored || !stored->found) {
    co_return Error{ResultCode::kOutcomeUnknown, "the outcome cannot be read", Ran::kUnknown};
  }
  if (co_await group->WaitForCommit(stored->position, deadline) != Group::CommitState::kCommitted) {
    co_return Error{ResultCode::kOutcomeUnknown, "replicas did not confirm in time", Ran::kUnknown};
  }
  co_return WriteResult{stored->result, stored->position, true};
}

asio::awaitable<Outcome<KeyAnswer>> WriteService::LookUpOutcome(std::shared_ptr<Group> group,
                                                                IdempotencyKey key,
                                                                TimePoint deadline) {
  const auto primary = co_await group->WaitForPrimary(Term(), deadline);
  if (!primary) {
    co_return primary.error();
  }
  KeyRequest request{primary->term, std::move(key)};
  auto answer = co_await primary->endpoint->client->LookUpKey(std::move(request), deadline);
  if (answer && answer->found) {
    group->ObserveHeld(primary->endpoint->spec.id, answer->position);
    const auto state = co_await group->WaitForCommit(answer->position, deadline);
    if (state != Group::CommitState::kCommitted) {
      co_return Error{ResultCode::kOutcomeUnknown, "the outcome is not confirmed yet",
                      Ran::kUnknown};
    }
  }
  co_return answer;
}

}  // namespace cardamom
