#include "fleet/remote_path.h"

#include <fmt/format.h>

#include "fleet/peer_codec.h"

namespace cardamom {
namespace {

using ForwardStatus = ForwardResult::Status;

constexpr Millis kRollbackTimeout{300};
// Delay after which a refused caller is told to retry.
constexpr Millis kRetryHint{150};

ForwardTimes TimesOf(const StatementTask& task) {
  return {task.received_at, task.first_byte_at, task.deadline};
}

std::string_view NameOf(ForwardStatus status) {
  switch (status) {
    case ForwardStatus::kAnswered:
      return "answered";
    case ForwardStatus::kNotRun:
      return "not run";
    case ForwardStatus::kUnknown:
      return "unknown";
  }
  return "";
}

std::string DescribePosition(const ForwardResult& result) {
  const auto& position = result.reply.position;
  return result.status == ForwardStatus::kAnswered && position
             ? fmt::format(" at {}.{}", position->term.value(), position->index.value())
             : "";
}

void LogForwarding(GatewayContext& context,
                   const GroupId& group,
                   const StatementTask& task,
                   const ForwardResult& result) {
  const auto elapsed = Clock::now() - task.received_at;
  context.events.Emit(
      EventCode::kStatementForwarded,
      {.group = group,
       .request = task.statement.id.value(),
       .detail = fmt::format("to {}: {}{}{}{} in {} ms", result.home, NameOf(result.status),
                             result.reason.empty() ? "" : ", ", result.reason,
                             DescribePosition(result), ToMillis(elapsed).count())});
  if (result.status != ForwardStatus::kAnswered) {
    context.metrics.CountStatement(result.status == ForwardStatus::kNotRun ? "refused" : "unknown",
                                   elapsed);
  }
}

Reply Refusal(StatementError code, const ForwardResult& result, SessionState state) {
  return ErrorReply(code, fmt::format("{}; retry after {} ms", result.reason, kRetryHint.count()),
                    state);
}

// The reply of a home to a commit. The home counts the commit among those that it has passed on,
// but a takeover may reach this proxy and not the home.
asio::awaitable<Reply> PassOn(GatewayContext& context,
                              GroupId group,
                              StatementTask task,
                              Reply reply) {
  if (!reply.ok() || !reply.position) {
    co_return reply;
  }
  const AcknowledgedCommit commit{{}, *reply.position};
  const bool passed = co_await context.acknowledgements.Of(group).PassOn(commit, task.deadline);
  if (passed) {
    co_return reply;
  }
  const auto elapsed = Clock::now() - task.received_at;
  context.events.Emit(
      EventCode::kOutcomeUnknown,
      {.group = group,
       .request = task.statement.id.value(),
       .detail = fmt::format("the primary was replaced, answer of a home at {}.{} after {} ms",
                             reply.position->term.value(), reply.position->index.value(),
                             ToMillis(elapsed).count())});
  co_return ErrorReply(StatementError::kInDoubt, "the primary was replaced", SessionState::kIdle);
}

class RemoteTransaction : public OpenTransaction {
 public:
  RemoteTransaction(GatewayContext& context,
                    HomeClient& homes,
                    GroupId group,
                    std::string home,
                    std::string id,
                    bool wrote)
      : m_context(context),
        m_homes(homes),
        m_group(std::move(group)),
        m_home(std::move(home)),
        m_id(std::move(id)),
        m_wrote(wrote) {}

  asio::awaitable<Reply> RunNext(StatementTask task) override {
    m_wrote = m_wrote || AccessOf(task.statement, task.caller) == Access::kWrite;
    auto result = co_await Call(PeerOperation::kNextInTransaction, task);
    if (result.status == ForwardStatus::kAnswered) {
      if (result.reply.transaction.empty()) {
        m_id.clear();
      }
      co_return FromMessage(std::move(result.reply));
    }
    // A transaction without its commit has no effect, whether or not the statement ran.
    co_await Rollback();
    co_return Refusal(StatementError::kAborted, result, SessionState::kFailed);
  }

  asio::awaitable<Reply> Commit(StatementTask task) override {
    auto result = co_await Call(PeerOperation::kCommit, task);
    m_id.clear();
    if (result.status == ForwardStatus::kAnswered) {
      auto reply = FromMessage(std::move(result.reply));
      if (!m_wrote) {
        co_return reply;
      }
      co_return co_await PassOn(m_context, m_group, task, std::move(reply));
    }
    if (result.status == ForwardStatus::kNotRun || !m_wrote) {
      co_return Refusal(StatementError::kAborted, result, SessionState::kIdle);
    }
    co_return ErrorReply(StatementError::kInDoubt, result.reason, SessionState::kIdle);
  }

  asio::awaitable<void> Rollback() override {
    PeerStatement message;
    message.operation = static_cast<int>(PeerOperation::kRollback);
    message.group = m_group.value();
    message.transaction = std::exchange(m_id, {});
    const auto now = Clock::now();
    const ForwardTimes times{now, BootClock::now(), now + kRollbackTimeout};
    co_await m_homes.ForwardToHome(m_home, std::move(message), times, true);
  }

  bool IsOpen() const override { return !m_id.empty(); }
  bool may_have_written() const override { return m_wrote; }
  const GroupId& group() const override { return m_group; }
  std::string holder() const override { return m_home; }

 private:
  asio::awaitable<ForwardResult> Call(PeerOperation operation, const StatementTask& task) {
    auto message = ToMessage(operation, m_group, task);
    message.transaction = m_id;
    const auto times = TimesOf(task);
    auto result = co_await m_homes.ForwardToHome(m_home, std::move(message), times, false);
    LogForwarding(m_context, m_group, task, result);
    co_return result;
  }

  GatewayContext& m_context;
  HomeClient& m_homes;
  const GroupId m_group;
  const std::string m_home;
  std::string m_id;
  bool m_wrote;
};

}  // namespace

bool RemotePath::MayFallBackToLocal(const ForwardResult& result) const {
  return m_local && result.status == ForwardStatus::kNotRun;
}

asio::awaitable<Reply> RemotePath::Read(StatementTask task) {
  const auto times = TimesOf(task);
  auto message = ToMessage(PeerOperation::kRead, m_group, task);
  const ForwardOptions options{.may_repeat = true, .may_wait = !m_local};
  auto result =
      co_await m_homes.Forward(m_group, m_max_connections, std::move(message), times, options);
  if (MayFallBackToLocal(result)) {
    co_return co_await m_local->Read(std::move(task));
  }
  LogForwarding(m_context, m_group, task, result);
  if (result.status == ForwardStatus::kAnswered) {
    co_return FromMessage(std::move(result.reply));
  }
  co_return Refusal(StatementError::kBusy, result, SessionState::kIdle);
}

asio::awaitable<Reply> RemotePath::Write(StatementTask task) {
  const auto times = TimesOf(task);
  auto message = ToMessage(PeerOperation::kWrite, m_group, task);
  const ForwardOptions options{.may_wait = !m_local};
  auto result =
      co_await m_homes.Forward(m_group, m_max_connections, std::move(message), times, options);
  if (MayFallBackToLocal(result)) {
    co_return co_await m_local->Write(std::move(task));
  }
  LogForwarding(m_context, m_group, task, result);
  switch (result.status) {
    case ForwardStatus::kAnswered: {
      auto reply = FromMessage(std::move(result.reply));
      co_return co_await PassOn(m_context, m_group, task, std::move(reply));
    }
    case ForwardStatus::kNotRun:
      co_return Refusal(StatementError::kBusy, result, SessionState::kIdle);
    case ForwardStatus::kUnknown:
      break;
  }
  co_return ErrorReply(StatementError::kInDoubt, result.reason, SessionState::kIdle);
}

asio::awaitable<StatementPath::BeginResult> RemotePath::RunFirst(StatementTask task,
                                                                 bool read_only) {
  auto message = ToMessage(PeerOperation::kFirstInTransaction, m_group, task);
  message.read_only = read_only;
  const auto times = TimesOf(task);
  const ForwardOptions options{.may_wait = !m_local};
  auto result =
      co_await m_homes.Forward(m_group, m_max_connections, std::move(message), times, options);
  if (MayFallBackToLocal(result)) {
    co_return co_await m_local->RunFirst(std::move(task), read_only);
  }
  LogForwarding(m_context, m_group, task, result);
  BeginResult begun;
  if (result.status == ForwardStatus::kAnswered) {
    const auto transaction = result.reply.transaction;
    begun.reply = FromMessage(std::move(result.reply));
    if (!transaction.empty()) {
      const bool wrote = AccessOf(task.statement, task.caller) == Access::kWrite;
      begun.transaction = std::make_unique<RemoteTransaction>(m_context, m_homes, m_group,
                                                              result.home, transaction, wrote);
    }
    co_return begun;
  }
  // A statement that ran at the home is never committed, so nothing takes effect.
  const bool commits = task.statement.kind == StatementKind::kCommit;
  begun.reply =
      Refusal(StatementError::kBusy, result, commits ? SessionState::kIdle : SessionState::kFailed);
  co_return begun;
}

}  // namespace cardamom
