// Opens the sessions of callers, keeps track of them and ends them before the proxy stops.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <variant>

#include "gateway/caller_session.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context. `context` and `directory` must outlive
// the object.
class SessionRegistry {
 public:
  SessionRegistry(GatewayContext& context, Directory& directory, PathFinder find_path);

  // A session, or the reason why none was opened.
  using OpenResult = std::variant<std::shared_ptr<CallerSession>, ReplyError>;
  // Opens a session. Waits up to 1.5 s for the first configuration. Errors: kBusy if none has been
  // loaded in that time, kUnknownDatabase, and those of KeyGate::RefuseSession.
  asio::awaitable<OpenResult> Open(DatabaseName database, ApiKey key = {});
  // Removes a session whose connection has ended and rolls back its transaction.
  asio::awaitable<void> Close(std::shared_ptr<CallerSession> session);

  // Starts the rollback of transactions that have been idle for too long; see
  // CallerSession::ExpireTransaction. Does not wait for it.
  void ExpireTransactions();

  // From now on every session is to be closed as soon as it has no operation open. The connection
  // handler reads closing() and closes it.
  void StartClosing() { m_closing = true; }
  bool closing() const { return m_closing; }
  // Makes all sessions, including later ones, answer statements received from now on by `latest`.
  void SetLatestAnswer(TimePoint latest);
  // Makes all sessions, including later ones, refuse new work with an error that guarantees that
  // nothing took effect.
  void RefuseNewWork();
  // As above, for statements of transactions that are open now. Starts the rollback of those in
  // which no statement runs, and does not wait for it. To be called repeatedly, since the others
  // are left out. Precondition: RefuseNewWork was called.
  void RefuseTransactions();

  // Number of open sessions.
  std::size_t open_count() const { return m_sessions.size(); }
  // Number of sessions with a statement in progress or an open or failed transaction.
  std::size_t active_count() const;

 private:
  // Starts `operation` on each session with an open transaction and no statement in progress.
  void SpawnInTransactions(asio::awaitable<void> (CallerSession::*operation)());

  GatewayContext& m_context;
  Directory& m_directory;
  const PathFinder m_find_path;
  KeyGate m_keys;
  std::list<std::shared_ptr<CallerSession>> m_sessions;
  bool m_closing = false;
  bool m_refusing = false;
  std::optional<TimePoint> m_latest_answer;
};

}  // namespace cardamom
