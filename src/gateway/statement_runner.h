// Executes statements on the servers of a group and decides whether a failed attempt is retried.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/group_client.h"
#include "gateway/statement_attempt.h"
#include "gateway/statement_batch.h"
#include "gateway/statement_outcome.h"
#include "gateway/statement_task.h"

namespace cardamom {

// The link that a transaction holds from its first statement to its end.
struct TransactionPin {
  std::shared_ptr<GroupClient> group;
  GroupClient::EndpointPtr endpoint;
  LinkPool::Lease lease;
  bool at_primary = false;
  // A statement that may write has been sent.
  bool may_have_written = false;

  bool IsOpen() const { return static_cast<bool>(lease); }
};

// Not thread safe: all use is on the thread of `context`, which must outlive the runner.
class StatementRunner {
 public:
  explicit StatementRunner(GatewayContext& context) : m_context(context) {}

  // Runs a read outside a transaction. A read changes nothing, so it may be repeated after any
  // refusal. Errors: kBusy.
  asio::awaitable<Reply> Read(std::shared_ptr<GroupClient> group, StatementTask task);

  // Runs a write outside a transaction, at most once. Errors: kBusy guarantees that nothing took
  // effect; it is returned only if nothing was sent or the server answered that the write did not
  // run. Otherwise kInDoubt.
  asio::awaitable<Reply> Write(std::shared_ptr<GroupClient> group, StatementTask task);

  // Opens a transaction with its first statement, which may be its commit. On success `pin` is
  // open, unless the statement was the commit. Errors: kBusy; `pin` is closed then and nothing took
  // effect.
  asio::awaitable<Reply> RunFirst(std::shared_ptr<GroupClient> group,
                                  StatementTask task,
                                  bool read_only,
                                  TransactionPin& pin);

  // Runs a later statement of a transaction. Errors: kAborted; the transaction is rolled back and
  // the pin closed then. Precondition: pin.IsOpen().
  asio::awaitable<Reply> RunNext(StatementTask task, TransactionPin& pin);

  // Commits. The pin is closed afterwards. Errors: kAborted if it is certain that nothing was
  // committed, kInDoubt otherwise. Precondition: pin.IsOpen().
  asio::awaitable<Reply> Commit(StatementTask task, TransactionPin& pin);

  // Rolls back and returns the link to its pool, or closes the link if the server does not confirm
  // the rollback within 300 ms. Precondition: pin.IsOpen().
  asio::awaitable<void> Rollback(TransactionPin& pin);

 private:
  // As Rollback. Returns whether the link is confirmed, so that the reply before was that to the
  // statement sent last.
  asio::awaitable<bool> RollbackAndConfirm(TransactionPin& pin);
  // Ends the transaction of a failed statement, and sets the reason of `attempt`. Everything that
  // ran in the transaction is rolled back. Returns whether a write may have run outside it.
  asio::awaitable<bool> EndAfterFailure(StatementAttempt& attempt, TransactionPin& pin);
  // The position that a replica must have applied to answer a read of the task; nullopt if only the
  // primary may answer or no position could be determined in time.
  asio::awaitable<std::optional<Position>> NeededPosition(GroupClient& group,
                                                          const StatementTask& task);
  // One attempt at `endpoint`: a read, a write, and a transaction with its first statement. `after`
  // is the position that a replica must have applied; nullopt at the primary.
  asio::awaitable<StatementAttempt> ReadAt(GroupClient& group,
                                           GroupClient::EndpointPtr endpoint,
                                           std::optional<Position> after,
                                           const StatementTask& task,
                                           TimePoint deadline);
  asio::awaitable<StatementAttempt> WriteAt(GroupClient& group,
                                            GroupClient::EndpointPtr endpoint,
                                            const StatementTask& task);
  asio::awaitable<StatementAttempt> OpenAt(GroupClient& group,
                                           GroupClient::EndpointPtr endpoint,
                                           std::optional<Position> after,
                                           const StatementTask& task,
                                           bool read_only,
                                           TimePoint deadline,
                                           TransactionPin& pin);
  // Sends the setup requests of `batch` alone and removes them from it. Returns nullopt once the
  // link holds the session values and prepared statement of the caller's statement. Otherwise
  // returns the reason why not, and the link is closed: a statement behind a refused value would
  // run with the value of before.
  asio::awaitable<std::optional<std::string>> SetUpLink(GroupClient& group,
                                                        GroupClient::EndpointPtr endpoint,
                                                        StatementBatch& batch,
                                                        LinkPool::Lease& lease,
                                                        TimePoint deadline);
  // Runs a statement of the open transaction: the first one, a later one or the commit. A read at
  // a replica is refused unless the replica has applied `after`, also if the begin was not run.
  asio::awaitable<StatementAttempt> RunInTransaction(const StatementTask& task,
                                                     TransactionPin& pin,
                                                     std::optional<Position> after = {});
  // Waits until the acknowledgement of a commit may be passed on, see AcknowledgementGate::PassOn.
  asio::awaitable<bool> PassOn(GroupClient& group,
                               const StatementTask& task,
                               const StatementAttempt& answered);
  // Waits until a commit that is sent now can be expected to be acknowledged to the caller: none is
  // held back, and this proxy has a lease or knows a possible witness. Returns false if that does
  // not hold by `deadline`.
  static asio::awaitable<bool> WaitUntilCommitsPass(std::shared_ptr<GroupClient> group,
                                                    TimePoint deadline);
  // Runs `batch` on the pin's link. The result holds the reply to the caller's statement, if the
  // batch has one.
  asio::awaitable<StatementAttempt> RunBatch(const StatementTask& task,
                                             StatementBatch batch,
                                             TransactionPin& pin);

  GatewayContext& m_context;
  StatementOutcome m_outcome{m_context};
};

}  // namespace cardamom
