// One caller's session: its values, prepared statements and transaction.
#pragma once

#include <memory>

#include "gateway/directory.h"
#include "gateway/statement_path.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context, one statement at a time.
class CallerSession {
 public:
  CallerSession(GatewayContext& context,
                const Directory& directory,
                const PathFinder& find_path,
                DatabaseName database);

  // Answers one statement.
  asio::awaitable<Reply> Execute(Statement statement);

  // Rolls back what is open. Call it when the caller's connection has ended.
  asio::awaitable<void> End();

  // Rolls back a transaction that has been idle for longer than the configuration allows, or any
  // idle one if `all`. Does nothing while a statement runs.
  asio::awaitable<void> ExpireTransaction(bool all);

  // Makes the session refuse new work outside open transactions.
  void RefuseNewWork() { m_refusing = true; }

  SessionState state() const { return m_state; }
  bool busy() const { return m_busy; }

 private:
  asio::awaitable<Reply> Dispatch(const Statement& statement);
  Reply Begin(const Statement& statement);
  asio::awaitable<Reply> RunOutside(const Statement& statement);
  asio::awaitable<Reply> RunInside(const Statement& statement);
  asio::awaitable<Reply> Commit(const Statement& statement);
  asio::awaitable<Reply> Rollback();
  // Statements that the proxy answers by itself; nothing for the others.
  std::optional<Reply> AnswerLocally(const Statement& statement);
  StatementTask TaskFor(const Statement& statement, const Route& route) const;
  void NoteCommit(const GroupId& group, const Reply& reply);
  // The transaction holds a link.
  bool IsPinned() const { return m_transaction && m_transaction->IsOpen(); }

  GatewayContext& m_context;
  const Directory& m_directory;
  const PathFinder& m_find_path;
  const DatabaseName m_database;
  CallerState m_caller;
  SessionState m_state = SessionState::kIdle;
  bool m_read_only = false;
  // The route at the start of the transaction stays in force until its end.
  Route m_route;
  std::unique_ptr<OpenTransaction> m_transaction;
  bool m_busy = false;
  bool m_refusing = false;
  TimePoint m_received;
  BootTime m_first_byte;
  BootTime m_begun_at;
  TimePoint m_last_used;
};

}  // namespace cardamom
