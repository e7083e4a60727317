// Interfaces that execute a session's statements on the servers of one group, either directly or
// through a home proxy.
#pragma once

#include <functional>
#include <memory>

#include "directory/configuration.h"
#include "gateway/statement_task.h"

namespace cardamom {

// A transaction that holds a link from its first statement to its end. Not thread safe: all use is
// on the thread of the context, one statement at a time.
class OpenTransaction {
 public:
  OpenTransaction() = default;
  virtual ~OpenTransaction() = default;
  OpenTransaction(const OpenTransaction&) = delete;
  OpenTransaction& operator=(const OpenTransaction&) = delete;

  // Runs a statement after the first one. An error closes the transaction and rolls it back.
  // Precondition: IsOpen().
  virtual asio::awaitable<Reply> RunNext(StatementTask task) = 0;
  // Commits. The transaction is closed afterwards. Errors: kAborted if it is certain that nothing
  // was committed, kInDoubt otherwise. Precondition: IsOpen().
  virtual asio::awaitable<Reply> Commit(StatementTask task) = 0;
  // Rolls back and closes. Precondition: IsOpen().
  virtual asio::awaitable<void> Rollback() = 0;

  // Whether the transaction can take another statement, a commit or a rollback.
  virtual bool IsOpen() const = 0;
  // Whether a statement that may write has been sent.
  virtual bool may_have_written() const = 0;
  // The group in which the transaction runs.
  virtual const GroupId& group() const = 0;
  // Id of the server or home proxy that holds the transaction, for events.
  virtual std::string holder() const = 0;
};

// Executes statements outside transactions and opens transactions. Not thread safe: all use is on
// the thread of the context.
class StatementPath {
 public:
  StatementPath() = default;
  virtual ~StatementPath() = default;
  StatementPath(const StatementPath&) = delete;
  StatementPath& operator=(const StatementPath&) = delete;

  // Runs a read outside a transaction. A read changes nothing, so it may be repeated after any
  // refusal. Errors: kBusy.
  virtual asio::awaitable<Reply> Read(StatementTask task) = 0;
  // Runs a write outside a transaction, at most once. Errors: kBusy guarantees that nothing took
  // effect; it is returned only if nothing was sent or the server answered that the write did not
  // run. Otherwise kInDoubt.
  virtual asio::awaitable<Reply> Write(StatementTask task) = 0;
  // The result of RunFirst.
  struct BeginResult {
    Reply reply;
    // Set if the transaction stays open.
    std::unique_ptr<OpenTransaction> transaction;
  };
  // Opens a transaction with its first statement, which may be its commit. Errors: kBusy; no
  // transaction is open then and nothing took effect.
  virtual asio::awaitable<BeginResult> RunFirst(StatementTask task, bool read_only) = 0;
};

// Returns the path to the group of a route, or nullptr if none is available yet.
using PathFinder = std::function<std::shared_ptr<StatementPath>(const Route& route)>;

}  // namespace cardamom
