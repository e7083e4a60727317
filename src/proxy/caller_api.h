// The HTTP interface for callers.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "cardamom/session_token.h"
#include "core/activity_counter.h"
#include "http/http_message.h"
#include "proxy/caller_messages.h"
#include "proxy/config_follower.h"
#include "proxy/group_registry.h"
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
  // Moves the deadlines of requests that arrive from now on to `latest`, unless they are earlier.
  void SetLatestDeadline(TimePoint latest) { m_latest_deadline = latest; }
  // Refuses requests of open transactions too, except rollbacks: with kTransactionAborted, or with
  // kStopping if another proxy owns the transaction. Rolls back own transactions without a request
  // in progress; to be called repeatedly, since the others are left out.
  void RefuseTransactions();
  // Number of requests in progress, including those whose response has not been sent yet.
  std::size_t requests_in_progress() const { return m_requests.count(); }
  // Number of requests in progress plus number of open transactions.
  std::size_t active_count() const {
    return requests_in_progress() + m_transaction_service.open_count();
  }
  // Rolls back the transactions that have been idle for longer than transaction-idle-ms.
  void CloseIdleTransactions() {
    m_transaction_service.CloseIdle(Millis(m_context.settings.transaction_idle_ms));
  }

 private:
  // One request after its path and headers were checked. `transaction` is set for the requests of
  // an open transaction, `group` for all others.
  struct ParsedRequest {
    std::string operation;
    GroupId group;
    TransactionId transaction;
    IdempotencyKey key;
    SessionToken session;
    TimePoint deadline;
  };

  asio::awaitable<HttpResponse> HandleCounted(const HttpRequest& request, bool forwarded);
  Outcome<ParsedRequest> ParseRequest(const HttpRequest& request) const;
  Outcome<void> ParseHeaders(const HttpRequest& request, ParsedRequest& call) const;
  asio::awaitable<HttpResponse> Dispatch(const HttpRequest& request,
                                         ParsedRequest call,
                                         bool forwarded);
  asio::awaitable<HttpResponse> DispatchGroup(const HttpRequest& request,
                                              ParsedRequest call,
                                              bool forwarded);
  asio::awaitable<HttpResponse> Forward(const VmEntry& vm,
                                        const HttpRequest& request,
                                        const ParsedRequest& call);
  asio::awaitable<HttpResponse> ForwardToHome(const GroupRecord& record,
                                              const HttpRequest& request,
                                              const ParsedRequest& call);
  asio::awaitable<HttpResponse> ForwardToOwner(const VmId& owner,
                                               const HttpRequest& request,
                                               const ParsedRequest& call);
  asio::awaitable<Outcome<HttpResponse>> Read(std::shared_ptr<Group> group,
                                              ParsedRequest call,
                                              CallerStatement statement);
  asio::awaitable<Outcome<HttpResponse>> Write(std::shared_ptr<Group> group,
                                               ParsedRequest call,
                                               CallerStatement statement);
  asio::awaitable<Outcome<HttpResponse>> LookUpOutcome(std::shared_ptr<Group> group,
                                                       ParsedRequest call);
  asio::awaitable<Outcome<HttpResponse>> Begin(std::shared_ptr<Group> group, ParsedRequest call);
  asio::awaitable<Outcome<HttpResponse>> RunTransactionRequest(ParsedRequest call,
                                                               const HttpRequest& request);
  // Counts the request, emits an event if it failed, and returns its response.
  HttpResponse FinishRequest(const Outcome<HttpResponse>& result,
                             const ParsedRequest& call,
                             TimePoint start);
  void AddSessionHeader(HttpResponse& response,
                        ParsedRequest& call,
                        const GroupId& group,
                        Position position) const;

  ProxyContext& m_context;
  GroupRegistry& m_groups;
  ConfigFollower& m_config;
  Membership& m_membership;
  PeerClient& m_peers;
  ReadService m_read_service;
  WriteService m_write_service;
  TransactionService m_transaction_service;
  std::atomic<bool> m_refusing{false};
  std::atomic<bool> m_refusing_transactions{false};
  std::atomic<TimePoint> m_latest_deadline{TimePoint::max()};
  const ActivityCounter m_requests;
  std::atomic<std::size_t> m_next_home{0};
};

}  // namespace cardamom
