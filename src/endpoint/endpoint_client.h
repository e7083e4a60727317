// Adapter to one endpoint, over the contract of docs/ENDPOINT-CONTRACT.md.
#pragma once

#include <memory>
#include <string>

#include "endpoint/endpoint_messages.h"
#include "http/connection_pool.h"

namespace cardamom {

// Thread safe. Every operation fails with a ResultCode of the server, kTransport or kBadAnswer;
// `ran` of the error says whether work may have taken place.
class EndpointClient {
 public:
  // `from` names this process towards the endpoint.
  EndpointClient(asio::io_context& context,
                 const Address& address,
                 std::string from,
                 std::size_t max_connections);

  asio::awaitable<Outcome<ServerState>> State(StateRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ReadAnswer>> Read(ReadRequest request, TimePoint deadline);
  asio::awaitable<Outcome<WriteAnswer>> Write(WriteRequest request, TimePoint deadline);
  asio::awaitable<Outcome<KeyAnswer>> Key(KeyRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ServerState>> Fence(FenceRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ServerState>> Promote(PromoteRequest request, TimePoint deadline);
  asio::awaitable<Outcome<ServerState>> Follow(FollowRequest request, TimePoint deadline);

  // A connection that holds an open transaction. Destroying it without End closes the connection,
  // which rolls the transaction back.
  class Transaction {
   public:
    Transaction(ConnectionPool::Lease lease, std::string from);
    asio::awaitable<Outcome<StatementResult>> Execute(TransactionRequest request,
                                                      TimePoint deadline);
    asio::awaitable<Outcome<WriteAnswer>> Commit(WriteRequest request, TimePoint deadline);
    asio::awaitable<Outcome<StatementResult>> Rollback(TimePoint deadline);

   private:
    ConnectionPool::Lease m_lease;
    std::string m_from;
    bool m_ended = false;

   public:
    ~Transaction();
    Transaction(Transaction&&) noexcept;
    Transaction& operator=(Transaction&&) = delete;
  };

  asio::awaitable<Outcome<std::unique_ptr<Transaction>>> Begin(TransactionRequest request,
                                                               TimePoint deadline);

  ConnectionPool& work_pool() { return *m_work; }

 private:
  std::string m_from;
  std::shared_ptr<ConnectionPool> m_work;
  std::shared_ptr<ConnectionPool> m_control;
};

}  // namespace cardamom
