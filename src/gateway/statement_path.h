// The way of a session's statements to the servers of one group: direct, or through a home proxy.
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

  // Runs a later statement. After an error the transaction is closed and rolled back.
  // Precondition: IsOpen().
  virtual asio::awaitable<Reply> RunNext(StatementTask task) = 0;
  // Commits; the transaction is closed afterwards. Precondition: IsOpen().
  virtual asio::awaitable<Reply> Commit(StatementTask task) = 0;
  // Rolls back and closes. Precondition: IsOpen().
  virtual asio::awaitable<void> Rollback() = 0;

  virtual bool IsOpen() const = 0;
  // A statement that may write has been sent.
  virtual bool wrote() const = 0;
  virtual const GroupId& group() const = 0;
  // The server or proxy that holds it, for the log.
  virtual std::string place() const = 0;
};

// Not thread safe, as above.
class StatementPath {
 public:
  StatementPath() = default;
  virtual ~StatementPath() = default;
  StatementPath(const StatementPath&) = delete;
  StatementPath& operator=(const StatementPath&) = delete;

  // Runs a read outside a transaction. Every refusal is a promise: a read keeps nothing.
  virtual asio::awaitable<Reply> Read(StatementTask task) = 0;
  // Runs a write outside a transaction, at most once: a refusal is a promise only if nothing was
  // sent or the server said that it did not run.
  virtual asio::awaitable<Reply> Write(StatementTask task) = 0;
  // Opens a transaction with its first statement, which may be its commit. After a refusal nothing
  // is kept.
  struct Begun {
    Reply reply;
    // Set if the transaction stays open.
    std::unique_ptr<OpenTransaction> transaction;
  };
  virtual asio::awaitable<Begun> RunFirst(StatementTask task, bool read_only) = 0;
};

// The way to the group of a route, or nullptr while none is known.
using PathFinder = std::function<std::shared_ptr<StatementPath>(const Route& route)>;

}  // namespace cardamom
