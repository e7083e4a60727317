// The endpoint stand-in: one database server behind the endpoint contract.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>

#include "async/notifier.h"
#include "http/connection_pool.h"
#include "http/http_server.h"
#include "standin/endpoint_faults.h"
#include "standin/replica_state.h"

namespace cardamom {

struct EndpointServerOptions {
  Address listen;
  EndpointId endpoint;
  std::size_t slots = 5;
  std::size_t max_connections = 80;
  Millis connect_cost{10};
  std::chrono::microseconds service_time{0};
  // A primary answers an empty pull after this time.
  Millis pull_wait{50};
};

// Thread safe. One mutex guards everything but the HTTP server.
class EndpointServer {
 public:
  static Outcome<std::unique_ptr<EndpointServer>> Create(asio::io_context& context,
                                                         const EndpointServerOptions& options);

  const Address& address() const { return m_http->address(); }

 private:
  using Response = asio::awaitable<HttpResponse>;

  EndpointServer(asio::io_context& context, const EndpointServerOptions& options);

  Response Handle(HttpRequest request);
  Response Route(const HttpRequest& request);
  Response HandleState(const HttpRequest& request);
  Response HandleRead(const HttpRequest& request);
  Response HandleWrite(const HttpRequest& request);
  Response HandleKey(const HttpRequest& request);
  Response HandleBegin(const HttpRequest& request);
  Response HandleExecute(const HttpRequest& request);
  Response HandleCommit(const HttpRequest& request);
  HttpResponse HandleRollback(const HttpRequest& request);
  HttpResponse HandleFence(const HttpRequest& request);
  HttpResponse HandlePromote(const HttpRequest& request);
  HttpResponse HandleFollow(const HttpRequest& request);
  Response HandleLog(const HttpRequest& request);
  HttpResponse HandleFaults(const HttpRequest& request);
  HttpResponse HandleStatistics();

  void OnClose(std::uint64_t connection_id);
  // Charges the cost of a fresh connection; false when there are too many.
  asio::awaitable<bool> Admit(std::uint64_t connection_id);
  asio::awaitable<bool> TakeSlot(TimePoint deadline);
  void GiveSlot();
  asio::awaitable<bool> TakeWriter(std::uint64_t connection_id, TimePoint deadline);
  void GiveWriter();
  asio::awaitable<void> Serve();
  // Loses the answer if a fault says so.
  HttpResponse Deliver(HttpResponse response);
  bool IsCut(const HttpRequest& request) const;
  // When a replica that hears nothing more has not heard from its primary for `limit`.
  TimePoint ContactLimitPassesAt(Millis limit) const;
  ServerState CurrentState() const;
  // Requires m_mutex. Error for a request of `term`, or nothing when this server is its primary.
  std::optional<HttpResponse> RefuseUnlessPrimary(Term term) const;
  // Requires m_mutex. Whether `connection_id` holds an open transaction.
  bool OwnsTransaction(std::uint64_t connection_id) const;

  void StartPull(const FollowRequest& request);
  asio::awaitable<void> PullLoop(FollowRequest request, std::uint64_t generation);
  // One pull; returns whether the loop goes on.
  asio::awaitable<bool> PullOnce(const FollowRequest& request,
                                 std::uint64_t generation,
                                 ConnectionPool& source);
  asio::awaitable<void> ApplyLater(LogIndex index, Millis lag);

  asio::io_context& m_context;
  const EndpointServerOptions m_options;
  const std::string m_instance;
  mutable std::mutex m_mutex;
  ReplicaState m_replica;
  EndpointFaults m_faults;
  std::set<std::uint64_t> m_connections;
  std::size_t m_peak_connections = 0;
  std::size_t m_refused_connections = 0;
  std::size_t m_busy_slots = 0;
  std::size_t m_waiting_slots = 0;
  std::size_t m_peak_waiting_slots = 0;
  bool m_writer_busy = false;
  std::uint64_t m_transaction_owner = 0;
  std::uint64_t m_pull_generation = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  TimePoint m_primary_contact = Clock::now();
  Notifier m_changed;
  Notifier m_slot_free;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace cardamom
