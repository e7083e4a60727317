// A caller's session: session values, prepared statements and the current transaction.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway/directory.h"
#include "gateway/key_gate.h"
#include "gateway/statement_path.h"
#include "limits/memory_account.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context, one statement at a time. The references
// passed to the constructor must outlive the session.
class CallerSession {
 public:
  CallerSession(GatewayContext& context,
                const Directory& directory,
                KeyGate& keys,
                const PathFinder& find_path,
                DatabaseName database,
                ApiKey key);

  // Executes one statement and returns its reply. Errors are reported in the reply. Precondition:
  // no other statement of this session is in progress.
  asio::awaitable<Reply> Execute(Statement statement);

  // Refuses a statement that does not run because of a limit. Rolls back an open transaction.
  asio::awaitable<Reply> Refuse(StatementKind kind, std::string reason);

  // Bounds the session values and prepared statements, which are then charged to `charge`.
  // Without this call they have no bound.
  void BoundState(std::unique_ptr<MemoryCharge> charge,
                  std::size_t max_bytes,
                  std::size_t max_names);

  // Rolls back the open transaction, if any. Call it when the caller's connection has ended.
  asio::awaitable<void> End();

  // Rolls back the transaction if it has been idle for at least the configured
  // `transaction_idle_limit`. Later statements of the transaction are refused. Does nothing while a
  // statement runs or while the transaction holds no link.
  asio::awaitable<void> ExpireTransaction();

  // Answers statements received from now on by `latest`, also if their route allows more time.
  void SetLatestAnswer(TimePoint latest) { m_latest_answer = latest; }

  // Refuses new transactions, and statements outside a transaction that need a server, from now on.
  // An open transaction may still finish.
  void RefuseNewWork() { m_refusing = true; }

  // Passes no statement of an open transaction received from now on to a server: the next one is
  // refused with kAborted and rolls the transaction back. A statement in progress continues.
  void RefuseTransaction() { m_refusing_transaction = true; }

  // Rolls back the transaction, whose next statement is going to be refused. Does nothing while a
  // statement runs or while the transaction holds no link. Precondition: RefuseTransaction was
  // called.
  asio::awaitable<void> RollBackRefused();

  // State after the last statement, or kFailed once ExpireTransaction has rolled back the
  // transaction.
  SessionState state() const { return m_state; }
  // Whether a statement is in progress.
  bool busy() const { return m_busy; }

 private:
  asio::awaitable<Reply> Dispatch(const Statement& statement);
  // Resolves the key for a statement. Returns the reason if the statement must not run.
  std::optional<ReplyError> CheckKey();
  Reply Begin(const Statement& statement);
  asio::awaitable<Reply> RunOutsideTransaction(const Statement& statement);
  asio::awaitable<Reply> RunInTransaction(const Statement& statement);
  asio::awaitable<Reply> Commit(const Statement& statement);
  asio::awaitable<Reply> Rollback();
  // Rolls back the open transaction. Returns the reply to the statement of it that was refused.
  asio::awaitable<Reply> RefuseInTransaction(StatementKind kind, ReplyError error);
  // Charges a name with its value in place of one of `old_bytes`; nullopt stands for none. Returns
  // whether the session may hold it.
  bool Charge(std::optional<std::size_t> old_bytes, std::optional<std::size_t> new_bytes);
  // Stores a session value or prepared statement, or refuses it.
  Reply Store(const Statement& statement);
  // The reply to a statement that needs no server; nullopt if the statement needs one.
  std::optional<Reply> AnswerLocally(const Statement& statement);
  StatementTask TaskFor(const Statement& statement, const Route& route) const;
  void RecordCommit(const GroupId& group, const Reply& reply);
  void LogAbandoned(const std::string& reason);
  // Whether the transaction holds a link.
  bool HoldsLink() const { return m_transaction && m_transaction->IsOpen(); }

  GatewayContext& m_context;
  const Directory& m_directory;
  KeyGate& m_keys;
  const PathFinder& m_find_path;
  const DatabaseName m_database;
  const ApiKey m_key;
  CallerState m_caller;
  std::unique_ptr<MemoryCharge> m_charge;
  std::size_t m_max_state_bytes = 0;
  std::size_t m_max_names = 0;
  SessionState m_state = SessionState::kIdle;
  bool m_read_only = false;
  // The transaction's route: the one in force at its start, used until its end.
  Route m_route;
  // The organisation on whose behalf the current statement runs. That of the open transaction, if
  // there is one.
  OrganisationName m_organisation;
  std::unique_ptr<OpenTransaction> m_transaction;
  bool m_busy = false;
  bool m_refusing = false;
  bool m_refusing_transaction = false;
  // A statement of the failed transaction may have taken effect although nothing was committed.
  bool m_in_doubt = false;
  std::optional<TimePoint> m_latest_answer;
  TimePoint m_received_at;
  BootTime m_first_byte_at;
  BootTime m_begun_at;
  TimePoint m_last_used;
};

}  // namespace cardamom
