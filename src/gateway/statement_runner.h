// Carries statements to the servers of a group and decides what follows a failed attempt.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/group_client.h"
#include "gateway/statement_batch.h"
#include "gateway/statement_task.h"

namespace cardamom {

// A transaction's link. A transaction holds one from its first statement to its end.
struct TransactionPin {
  std::shared_ptr<GroupClient> group;
  GroupClient::EndpointPtr endpoint;
  LinkPool::Lease lease;
  bool at_primary = false;
  bool wrote = false;

  bool IsOpen() const { return static_cast<bool>(lease); }
};

// Not thread safe: all use is on the thread of the context.
class StatementRunner {
 public:
  explicit StatementRunner(GatewayContext& context) : m_context(context) {}

  // Runs a read outside a transaction. Every refusal is a promise: a read keeps nothing.
  asio::awaitable<Reply> Read(std::shared_ptr<GroupClient> group, StatementTask task);

  // Runs a write outside a transaction, at most once: a refusal is a promise only if nothing was
  // sent or the server said that it did not run.
  asio::awaitable<Reply> Write(std::shared_ptr<GroupClient> group, StatementTask task);

  // Opens a transaction with its first statement, which may be its commit. On success `pin` is
  // open; after a refusal it is not and nothing is kept.
  asio::awaitable<Reply> RunFirst(std::shared_ptr<GroupClient> group,
                                  StatementTask task,
                                  bool read_only,
                                  TransactionPin& pin);

  // Runs a later statement of a transaction. After an error the pin is closed and rolled back.
  // Precondition: pin.IsOpen().
  asio::awaitable<Reply> RunNext(StatementTask task, TransactionPin& pin);

  // Commits. The pin is closed afterwards. Precondition: pin.IsOpen().
  asio::awaitable<Reply> Commit(StatementTask task, TransactionPin& pin);

  // Rolls back and gives the link back, or closes it. Precondition: pin.IsOpen().
  asio::awaitable<void> Rollback(TransactionPin& pin);

 private:
  struct Attempt;

  // The position that a read of the task needs at a replica; nothing if none is known in time.
  asio::awaitable<std::optional<Position>> NeededPosition(GroupClient& group,
                                                          const StatementTask& task);
  asio::awaitable<Attempt> ReadAt(GroupClient& group,
                                  GroupClient::EndpointPtr endpoint,
                                  std::optional<Position> after,
                                  const StatementTask& task,
                                  TimePoint deadline);
  asio::awaitable<Attempt> WriteAt(GroupClient& group,
                                   GroupClient::EndpointPtr endpoint,
                                   const StatementTask& task);
  asio::awaitable<Attempt> OpenAt(GroupClient& group,
                                  GroupClient::EndpointPtr endpoint,
                                  std::optional<Position> after,
                                  const StatementTask& task,
                                  bool read_only,
                                  TimePoint deadline,
                                  TransactionPin& pin);
  // Runs `batch` on the pin's link and returns the reply to its main statement.
  asio::awaitable<Attempt> RunBatch(const StatementTask& task,
                                    StatementBatch batch,
                                    TransactionPin& pin);
  Reply Refuse(const GroupClient& group, const StatementTask& task, const std::string& reason);
  Reply Unknown(const GroupClient& group, const StatementTask& task, const std::string& reason);
  void LogAnswer(const GroupClient& group,
                 const StatementTask& task,
                 const Endpoint& endpoint,
                 std::optional<Position> after,
                 const Reply& reply);

  GatewayContext& m_context;
};

}  // namespace cardamom
