#include "gateway/session_registry.h"

#include <algorithm>

#include "async/spawn.h"

namespace cardamom {
namespace {

// Callers give up if a session is not open within 2 s.
constexpr Millis kOpenTimeout{1500};

}  // namespace

SessionRegistry::SessionRegistry(GatewayContext& context,
                                 Directory& directory,
                                 PathFinder find_path)
    : m_context(context),
      m_directory(directory),
      m_find_path(std::move(find_path)),
      m_keys(context, directory) {}

asio::awaitable<SessionRegistry::OpenResult> SessionRegistry::Open(DatabaseName database,
                                                                   ApiKey key) {
  const auto deadline = Clock::now() + kOpenTimeout;
  if (!m_directory.IsLoaded() && !co_await m_directory.WaitUntilLoaded(deadline)) {
    co_return ReplyError{StatementError::kBusy, "the configuration is not known yet"};
  }
  const auto* route = m_directory.FindRoute(database);
  if (route != nullptr && !route->is_public && m_context.settings.revoke_ms > 0 &&
      !m_directory.confirmed_at()) {
    // A process that has just started has no proof yet that its configuration is current.
    co_await m_directory.WaitUntilConfirmed(deadline);
    route = m_directory.FindRoute(database);
  }
  if (route == nullptr) {
    m_context.events.Emit(EventCode::kDatabaseUnknown,
                          {.detail = database.value() + " is not in version " +
                                     std::to_string(m_directory.configuration().version)});
    co_return ReplyError{StatementError::kUnknownDatabase, database.value()};
  }
  if (auto refusal = m_keys.RefuseSession(*route, key)) {
    co_return std::move(*refusal);
  }
  auto session = std::make_shared<CallerSession>(m_context, m_directory, m_keys, m_find_path,
                                                 std::move(database), std::move(key));
  if (m_latest_answer) {
    session->SetLatestAnswer(*m_latest_answer);
  }
  if (m_refusing) {
    session->RefuseNewWork();
  }
  m_sessions.push_back(session);
  m_context.metrics.SetSessions(m_sessions.size());
  co_return session;
}

asio::awaitable<void> SessionRegistry::Close(std::shared_ptr<CallerSession> session) {
  m_sessions.remove(session);
  m_context.metrics.SetSessions(m_sessions.size());
  co_await session->End();
}

void SessionRegistry::ExpireTransactions() {
  SpawnInTransactions(&CallerSession::ExpireTransaction);
}

void SessionRegistry::SpawnInTransactions(asio::awaitable<void> (CallerSession::*operation)()) {
  for (const auto& session : m_sessions) {
    if (!session->busy() && session->state() == SessionState::kInTransaction) {
      Spawn(m_context.io, [session, operation]() -> asio::awaitable<void> {
        co_await ((*session).*operation)();
      });
    }
  }
}

void SessionRegistry::SetLatestAnswer(TimePoint latest) {
  m_latest_answer = latest;
  for (const auto& session : m_sessions) {
    session->SetLatestAnswer(latest);
  }
}

void SessionRegistry::RefuseNewWork() {
  m_refusing = true;
  for (const auto& session : m_sessions) {
    session->RefuseNewWork();
  }
}

void SessionRegistry::RefuseTransactions() {
  for (const auto& session : m_sessions) {
    session->RefuseTransaction();
  }
  SpawnInTransactions(&CallerSession::RollBackRefused);
}

std::size_t SessionRegistry::active_count() const {
  return static_cast<std::size_t>(
      std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& session) {
        return session->busy() || session->state() != SessionState::kIdle;
      }));
}

}  // namespace cardamom
