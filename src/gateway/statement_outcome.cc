#include "gateway/statement_outcome.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace cardamom {
namespace {

// Retry delay that is suggested to a refused caller; the second one if the primary has been
// unavailable for longer than a takeover takes. Jitter of up to half the delay is added, so that
// callers do not retry all at once.
constexpr Millis kRetryHint{150};
constexpr Millis kRetryHintNoPrimary{1000};

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

Reply StatementOutcome::MakeRefusal(const GroupClient& group,
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

Reply StatementOutcome::MakeUnknownReply(const GroupClient& group,
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

void StatementOutcome::LogAnswer(const GroupClient& group,
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
