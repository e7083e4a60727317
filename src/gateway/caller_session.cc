#include "gateway/caller_session.h"

#include <algorithm>

#include <fmt/format.h>

namespace cardamom {
namespace {

constexpr const char* kStoppingReason = "this proxy is stopping";

}  // namespace

CallerSession::CallerSession(GatewayContext& context,
                             const Directory& directory,
                             KeyGate& keys,
                             const PathFinder& find_path,
                             DatabaseName database,
                             ApiKey key)
    : m_context(context),
      m_directory(directory),
      m_keys(keys),
      m_find_path(find_path),
      m_database(std::move(database)),
      m_key(std::move(key)) {}

StatementTask CallerSession::TaskFor(const Statement& statement, const Route& route) const {
  // Within a transaction the allowed staleness of reads is measured from its start.
  const auto first_byte = m_state == SessionState::kInTransaction ? m_begun_at : m_first_byte_at;
  const auto deadline = m_received_at + route.statement_timeout;
  return {statement,     m_caller,   route,
          m_received_at, first_byte, std::min(deadline, m_latest_answer.value_or(deadline)),
          m_organisation};
}

asio::awaitable<Reply> CallerSession::Execute(Statement statement) {
  m_busy = true;
  m_received_at = Clock::now();
  m_first_byte_at = BootClock::now();
  auto reply = co_await Dispatch(statement);
  m_in_doubt = reply.state == SessionState::kFailed &&
               (m_in_doubt || (reply.error && reply.error->code == StatementError::kInDoubt));
  m_state = reply.state;
  m_last_used = Clock::now();
  m_busy = false;
  co_return reply;
}

asio::awaitable<Reply> CallerSession::Dispatch(const Statement& statement) {
  if (statement.kind == StatementKind::kRollback) {
    co_return co_await Rollback();
  }
  if (m_state == SessionState::kFailed) {
    if (statement.kind == StatementKind::kCommit) {
      co_await End();
      co_return m_in_doubt
          ? ErrorReply(StatementError::kInDoubt, "a statement may have taken effect",
                       SessionState::kIdle)
          : ErrorReply(StatementError::kAborted, "the transaction failed and is rolled back",
                       SessionState::kIdle);
    }
    co_return ErrorReply(StatementError::kMalformed, "the transaction failed",
                         SessionState::kFailed);
  }
  if (auto refusal = CheckKey()) {
    if (m_state == SessionState::kInTransaction) {
      co_return co_await RefuseInTransaction(statement.kind, std::move(*refusal));
    }
    co_return ErrorReply(refusal->code, std::move(refusal->text), SessionState::kIdle);
  }
  if (auto local = AnswerLocally(statement)) {
    co_return std::move(*local);
  }
  if (m_refusing_transaction && m_state == SessionState::kInTransaction) {
    ReplyError stopping{StatementError::kAborted, kStoppingReason};
    co_return co_await RefuseInTransaction(statement.kind, std::move(stopping));
  }
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      co_return Begin(statement);
    case StatementKind::kCommit:
      co_return co_await Commit(statement);
    default:
      break;
  }
  if (m_state == SessionState::kInTransaction) {
    co_return co_await RunInTransaction(statement);
  }
  co_return co_await RunOutsideTransaction(statement);
}

std::optional<ReplyError> CallerSession::CheckKey() {
  const bool in_transaction = m_state == SessionState::kInTransaction;
  const auto* route = m_directory.FindRoute(m_database);
  if (route == nullptr && !in_transaction) {
    // The statement is refused because of its database.
    m_organisation = {};
    return std::nullopt;
  }
  const auto& checked = route == nullptr ? m_route : *route;
  auto admission = in_transaction
                       ? m_keys.AdmitInTransaction(checked, m_key, m_first_byte_at, m_organisation)
                       : m_keys.Admit(checked, m_key, m_first_byte_at);
  if (!admission.refusal) {
    m_organisation = std::move(admission.organisation);
  }
  return std::move(admission.refusal);
}

std::optional<Reply> CallerSession::AnswerLocally(const Statement& statement) {
  switch (statement.kind) {
    case StatementKind::kSetValue:
    case StatementKind::kPrepare:
      return Store(statement);
    case StatementKind::kDeallocate:
      if (const auto held = m_caller.prepared.find(statement.name);
          held != m_caller.prepared.end()) {
        Charge(held->first.size() + held->second.shape.size(), std::nullopt);
        m_caller.prepared.erase(held);
      }
      return EmptyReply(m_state);
    case StatementKind::kExecute:
      if (!m_caller.prepared.contains(statement.name)) {
        const auto state =
            m_state == SessionState::kIdle ? SessionState::kIdle : SessionState::kFailed;
        return ErrorReply(StatementError::kUnknownStatement, statement.name, state);
      }
      return std::nullopt;
    default:
      return std::nullopt;
  }
}

Reply CallerSession::Begin(const Statement& statement) {
  if (m_state == SessionState::kInTransaction) {
    return ErrorReply(StatementError::kMalformed, "a transaction is open",
                      SessionState::kInTransaction);
  }
  if (m_refusing) {
    return ErrorReply(StatementError::kAborted, kStoppingReason, SessionState::kIdle);
  }
  const auto* route = m_directory.FindRoute(m_database);
  if (route == nullptr) {
    return ErrorReply(StatementError::kUnknownDatabase, m_database.value(), SessionState::kIdle);
  }
  m_route = *route;
  m_read_only = statement.kind == StatementKind::kBeginReadOnly;
  m_begun_at = m_first_byte_at;
  return EmptyReply(SessionState::kInTransaction);
}

asio::awaitable<Reply> CallerSession::RunOutsideTransaction(const Statement& statement) {
  const auto* route = m_directory.FindRoute(m_database);
  if (route == nullptr) {
    co_return ErrorReply(StatementError::kUnknownDatabase, m_database.value(), SessionState::kIdle);
  }
  if (m_refusing) {
    co_return ErrorReply(StatementError::kAborted, kStoppingReason, SessionState::kIdle);
  }
  const auto path = m_find_path(*route);
  if (!path) {
    co_return ErrorReply(StatementError::kBusy, "the group is not known yet", SessionState::kIdle);
  }
  const auto task = TaskFor(statement, *route);
  if (AccessOf(statement, m_caller) == Access::kRead) {
    co_return co_await path->Read(task);
  }
  const auto group = route->group;
  auto reply = co_await path->Write(task);
  RecordCommit(group, reply);
  co_return reply;
}

asio::awaitable<Reply> CallerSession::RunInTransaction(const Statement& statement) {
  const auto task = TaskFor(statement, m_route);
  if (HoldsLink()) {
    co_return co_await m_transaction->RunNext(task);
  }
  const auto path = m_find_path(m_route);
  if (!path) {
    co_return ErrorReply(StatementError::kBusy, "the group is not known yet",
                         SessionState::kFailed);
  }
  auto begun = co_await path->RunFirst(task, m_read_only);
  m_transaction = std::move(begun.transaction);
  co_return begun.reply;
}

asio::awaitable<Reply> CallerSession::Commit(const Statement& statement) {
  if (m_state != SessionState::kInTransaction) {
    co_return ErrorReply(StatementError::kMalformed, "no transaction is open", SessionState::kIdle);
  }
  if (!HoldsLink()) {
    co_return co_await RunInTransaction(statement);
  }
  const auto group = m_transaction->group();
  const bool wrote = m_transaction->may_have_written();
  auto reply = co_await m_transaction->Commit(TaskFor(statement, m_route));
  m_transaction.reset();
  if (wrote) {
    RecordCommit(group, reply);
  }
  co_return reply;
}

asio::awaitable<Reply> CallerSession::Rollback() {
  co_await End();
  co_return EmptyReply(SessionState::kIdle);
}

asio::awaitable<Reply> CallerSession::Refuse(StatementKind kind, std::string reason) {
  if (m_state == SessionState::kIdle) {
    co_return ErrorReply(StatementError::kBusy, std::move(reason), SessionState::kIdle);
  }
  m_busy = true;
  ReplyError refused{StatementError::kAborted, std::move(reason)};
  auto reply = co_await RefuseInTransaction(kind, std::move(refused));
  m_state = reply.state;
  m_busy = false;
  co_return reply;
}

void CallerSession::BoundState(std::unique_ptr<MemoryCharge> charge,
                               std::size_t max_bytes,
                               std::size_t max_names) {
  m_charge = std::move(charge);
  m_max_state_bytes = max_bytes;
  m_max_names = max_names;
}

bool CallerSession::Charge(std::optional<std::size_t> old_bytes,
                           std::optional<std::size_t> new_bytes) {
  if (!m_charge) {
    return true;
  }
  // An entry of a map with two strings.
  constexpr std::size_t kEntryBytes = 160;
  const auto freed = old_bytes ? *old_bytes + kEntryBytes : 0;
  const auto taken = new_bytes ? *new_bytes + kEntryBytes : 0;
  const auto names = m_caller.values.size() + m_caller.prepared.size() + (old_bytes ? 0 : 1);
  const auto bytes = m_charge->bytes() - freed + taken;
  const bool grows = taken > freed;
  return !(grows && (bytes > m_max_state_bytes || names > m_max_names)) &&
         m_charge->TryResize(bytes);
}

Reply CallerSession::Store(const Statement& statement) {
  const bool is_value = statement.kind == StatementKind::kSetValue;
  std::optional<std::size_t> old_bytes;
  if (const auto value = m_caller.values.find(statement.name);
      is_value && value != m_caller.values.end()) {
    old_bytes = value->first.size() + value->second.size();
  }
  if (const auto prepared = m_caller.prepared.find(statement.name);
      !is_value && prepared != m_caller.prepared.end()) {
    old_bytes = prepared->first.size() + prepared->second.shape.size();
  }
  if (!Charge(old_bytes, statement.name.size() + statement.value.size())) {
    const auto state = m_state == SessionState::kIdle ? SessionState::kIdle : SessionState::kFailed;
    return ErrorReply(
        state == SessionState::kIdle ? StatementError::kBusy : StatementError::kAborted,
        "the session holds too many values or prepared statements", state);
  }
  if (is_value) {
    m_caller.values[statement.name] = statement.value;
  } else {
    m_caller.prepared[statement.name] = {statement.access, statement.value};
  }
  return EmptyReply(m_state);
}

asio::awaitable<Reply> CallerSession::RefuseInTransaction(StatementKind kind, ReplyError error) {
  co_await End();
  const bool ended = kind == StatementKind::kCommit;
  co_return ErrorReply(error.code, std::move(error.text),
                       ended ? SessionState::kIdle : SessionState::kFailed);
}

void CallerSession::RecordCommit(const GroupId& group, const Reply& reply) {
  if (!reply.ok() || !reply.position) {
    return;
  }
  m_caller.committed = reply.position;
  m_caller.committed_in = group;
}

asio::awaitable<void> CallerSession::End() {
  // Moved out before the wait, so that code that runs during the rollback finds no transaction.
  const auto transaction = std::move(m_transaction);
  if (transaction && transaction->IsOpen()) {
    co_await transaction->Rollback();
  }
}

asio::awaitable<void> CallerSession::ExpireTransaction() {
  if (m_busy || !HoldsLink()) {
    co_return;
  }
  const auto idle = Clock::now() - m_last_used;
  if (idle < m_directory.configuration().transaction_idle_limit) {
    co_return;
  }
  LogAbandoned(fmt::format("idle for {} ms", ToMillis(idle).count()));
  m_state = SessionState::kFailed;
  co_await End();
}

asio::awaitable<void> CallerSession::RollBackRefused() {
  if (m_busy || !HoldsLink()) {
    co_return;
  }
  LogAbandoned(kStoppingReason);
  co_await End();
}

void CallerSession::LogAbandoned(const std::string& reason) {
  m_context.events.Emit(EventCode::kTransactionAbandoned,
                        {.group = m_transaction->group(),
                         .endpoint = EndpointId(m_transaction->holder()),
                         .detail = reason});
}

}  // namespace cardamom
