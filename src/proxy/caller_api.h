// The HTTP interface for callers.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "cardamom/session_token.h"
#include "http/http_message.h"
#include "proxy/caller_messages.h"
#include "proxy/config_follower.h"
#include "proxy/group_table.h"
#include "proxy/read_service.h"
#include "proxy/transaction_service.h"

namespace cardamom {

// Serves the requests of callers, or forwards them to a proxy that can. Thread safe.
class CallerApi {
 public:
  // The arguments must outlive this object.
  CallerApi(ProxyContext& context,
            GroupRegistry& groups,
            ConfigFollower& config,
            Membership& membership,
            PeerClient& peers);

  // Serves one request; errors are returned as problem details. A request that a peer `forwarded`
  // is not forwarded again. Precondition: the calling coroutine runs on a strand.
  asio::awaitable<HttpResponse> Handle(HttpRequest request, bool forwarded);

  // Refuses new work with kStopping from now on; requests of open transactions are still served.
  void RefuseNewWork() { m_refusing = true; }
  bool refusing() const { return m_refusing; }
  // Number of requests in progress plus number of open transactions.
  std::size_t in_progress() const { return m_in_progress + m_transactions.open(); }
  // Rolls back the transactions that have been idle for longer than transaction-idle-ms.
  void CloseIdleTransactions() { m_transactions.CloseIdle(Clock::now()); }

 private:
  // One request after its path and headers were checked. `transaction` is set for the requests of
  // an open transaction, `group` for all others.
  struct Call {
    std::string operation;
    GroupId group;
    TransactionId transaction;
    IdempotencyKey key;
    SessionToken session;
    TimePoint deadline;
  };

  Outcome<Call> ReadCall(const HttpRequest& request) const;
  Outcome<void> ReadHeaders(const HttpRequest& request, Call& call) const;
  asio::awaitable<HttpResponse> Dispatch(const HttpRequest& request, Call call, bool forwarded);
  asio::awaitable<HttpResponse> DispatchGroup(const HttpRequest& request,
                                              Call call,
                                              bool forwarded);
  asio::awaitable<HttpResponse> Forward(const VmEntry& vm,
                                        const HttpRequest& request,
                                        const Call& call);
  asio::awaitable<HttpResponse> ForwardToHome(const GroupRecord& record,
                                              const HttpRequest& request,
                                              const Call& call);
  asio::awaitable<HttpResponse> ForwardToOwner(const VmId& owner,
                                               const HttpRequest& request,
                                               const Call& call);
  asio::awaitable<Outcome<HttpResponse>> Read(std::shared_ptr<Group> group,
                                              Call call,
                                              CallerStatement statement);
  asio::awaitable<Outcome<HttpResponse>> Write(std::shared_ptr<Group> group,
                                               Call call,
                                               CallerStatement statement);
  asio::awaitable<Outcome<HttpResponse>> LookUp(std::shared_ptr<Group> group, Call call);
  asio::awaitable<Outcome<HttpResponse>> Begin(std::shared_ptr<Group> group, Call call);
  asio::awaitable<Outcome<HttpResponse>> RunTransaction(Call call, const HttpRequest& request);
  // Counts the request, emits an event if it failed, and returns its response.
  HttpResponse Finish(const Outcome<HttpResponse>& result, const Call& call, TimePoint start);
  void SetSession(HttpResponse& response,
                  Call& call,
                  const GroupId& group,
                  Position position) const;

  ProxyContext& m_context;
  GroupRegistry& m_groups;
  ConfigFollower& m_config;
  Membership& m_membership;
  PeerClient& m_peers;
  ReadService m_reads;
  WriteService m_writes;
  TransactionService m_transactions;
  std::atomic<bool> m_refusing{false};
  std::atomic<std::size_t> m_in_progress{0};
  std::atomic<std::size_t> m_next_home{0};
};

}  // namespace cardamom
