// Client of one endpoint, over the HTTP interface of docs/ENDPOINT-CONTRACT.md.
#pragma once

#include <memory>
#include <string>

#include "endpoint/endpoint_messages.h"
#include "http/connection_pool.h"

namespace cardamom {

// Sends the requests of endpoint_messages.h, one method for each path. Thread safe. Errors: the
// ResultCode that the server reports, kTransport, kConnectionRefused, kOverloaded (no free
// connection) or kBadAnswer; `ran` of the error shows whether the work may have been executed.
// Precondition of all operations: the calling coroutine runs on a strand.
class EndpointClient {
 public:
  // `sender` is the name of this process, which the header Cardamom-From carries.
  // `max_connections` does not count the connections of GetState, Fence, Promote and Follow.
  // `context` must outlive this object.
  EndpointClient(asio::io_context& context,
                 const Address& address,
                 std::string sender,
                 std::size_t max_connections);

  asio::awaitable<Outcome<ServerState>> GetState(StateRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ReadAnswer>> Read(ReadRequest request, TimePoint deadline);
  asio::awaitable<Outcome<WriteAnswer>> Write(WriteRequest request, TimePoint deadline);
  asio::awaitable<Outcome<KeyAnswer>> LookUpKey(KeyRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ServerState>> Fence(FenceRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ServerState>> Promote(PromoteRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ServerState>> Follow(FollowRequest request, TimePoint deadline);

  // A connection that holds an open transaction. Destroying it before Commit or Rollback has
  // succeeded closes the connection, which rolls the transaction back. Not thread safe: one
  // operation at a time.
  class Transaction {
   public:
    Transaction(ConnectionPool::Lease lease, std::string sender);
    asio::awaitable<Outcome<StatementResult>> Execute(TransactionRequest request,
                                                      TimePoint deadline);
    asio::awaitable<Outcome<WriteAnswer>> Commit(WriteRequest request, TimePoint deadline);
    asio::awaitable<Outcome<StatementResult>> Rollback(TimePoint deadline);

   private:
    ConnectionPool::Lease m_lease;
    std::string m_sender;
    bool m_ended = false;

   public:
    ~Transaction();
    Transaction(Transaction&&) noexcept;
    Transaction& operator=(Transaction&&) = delete;
  };

  // Opens a transaction on a connection of its own. Errors: as above, always with Ran::kNo.
  asio::awaitable<Outcome<std::unique_ptr<Transaction>>> Begin(TransactionRequest request,
                                                               TimePoint deadline);

  // The pool of all connections but those of GetState, Fence, Promote and Follow.
  ConnectionPool& work_pool() { return *m_work_pool; }

 private:
  std::string m_sender;
  std::shared_ptr<ConnectionPool> m_work_pool;
  std::shared_ptr<ConnectionPool> m_control_pool;
};

}  // namespace cardamom
