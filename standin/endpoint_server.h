// The endpoint stand-in: a database server for tests that implements the endpoint contract.
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
#include "standin/replication_state.h"

namespace cardamom {

struct EndpointServerOptions {
  Address listen_address;
  EndpointId endpoint;
  // Maximum number of statements that run at the same time.
  std::size_t slots = 5;
  // Connections with control requests only (state, fence, promote, follow, log) do not count.
  std::size_t max_connections = 80;
  // Delay of the first request on a connection.
  Millis connect_delay{10};
  // Duration of each statement.
  std::chrono::microseconds service_time{0};
  // Time after which a primary answers a pull for which it has no entries.
  Millis max_pull_wait{50};
};

// Thread safe. One mutex guards everything but the HTTP server.
class EndpointServer {
 public:
  // Listens at once. Errors: kListenFailed. `context` must outlive the server and must not run
  // after the server is destroyed.
  static Outcome<std::unique_ptr<EndpointServer>> Create(asio::io_context& context,
                                                         const EndpointServerOptions& options);

  // The address in use, with the port that the kernel chose.
  const Address& address() const { return m_http->address(); }

 private:
  using AsyncResponse = asio::awaitable<HttpResponse>;

  EndpointServer(asio::io_context& context, const EndpointServerOptions& options);

  AsyncResponse Handle(HttpRequest request);
  AsyncResponse Route(const HttpRequest& request);
  AsyncResponse HandleState(const HttpRequest& request);
  AsyncResponse HandleRead(const HttpRequest& request);
  AsyncResponse HandleWrite(const HttpRequest& request);
  AsyncResponse HandleKey(const HttpRequest& request);
  AsyncResponse HandleBegin(const HttpRequest& request);
  AsyncResponse HandleExecute(const HttpRequest& request);
  AsyncResponse HandleCommit(const HttpRequest& request);
  HttpResponse HandleRollback(const HttpRequest& request);
  HttpResponse HandleFence(const HttpRequest& request);
  HttpResponse HandlePromote(const HttpRequest& request);
  HttpResponse HandleFollow(const HttpRequest& request);
  AsyncResponse HandleLog(const HttpRequest& request);
  HttpResponse HandleFaults(const HttpRequest& request);
  HttpResponse HandleStatistics();

  void OnClose(std::uint64_t connection_id);
  // Counts a new connection and delays its first request by `connect_delay`. Returns false if
  // `max_connections` are open already.
  asio::awaitable<bool> AdmitConnection(std::uint64_t connection_id);
  // Waits for a free slot; returns false if `deadline` passed first.
  asio::awaitable<bool> AcquireSlot(TimePoint deadline);
  void ReleaseSlot();
  // Waits for the writer, which only one write or transaction holds at a time; returns false if
  // `deadline` passed first.
  asio::awaitable<bool> AcquireWriter(std::uint64_t connection_id, TimePoint deadline);
  void ReleaseWriter();
  // Waits for the service time of one statement.
  asio::awaitable<void> SimulateServiceTime();
  // Drops the response and decrements the fault `lose_answers` if it is above 0.
  HttpResponse ApplyLostAnswerFault(HttpResponse response);
  // Whether the sender of `request` is listed in the fault `cut`.
  bool IsSenderPartitioned(const HttpRequest& request) const;
  // Time at which a replica reaches `limit` without contact with its primary, unless contact
  // resumes. TimePoint::max() on a primary and for a limit of 0.
  TimePoint ContactDeadline(Millis limit) const;
  // Requires m_mutex.
  ServerState CurrentState() const;
  // Requires m_mutex. The error response to a request of `term`, or nothing if this server is
  // primary of that term.
  std::optional<HttpResponse> RefuseUnlessPrimary(Term term) const;
  // Requires m_mutex. Whether `connection_id` holds an open transaction.
  bool OwnsTransaction(std::uint64_t connection_id) const;

  // Requires m_mutex. Starts a loop that pulls the log; an earlier loop ends.
  void StartPull(const FollowRequest& request);
  asio::awaitable<void> PullLoop(FollowRequest request, std::uint64_t generation);
  // Sends one pull; returns whether the loop continues.
  asio::awaitable<bool> PullOnce(const FollowRequest& request,
                                 std::uint64_t generation,
                                 ConnectionPool& source);
  // Makes entries up to `index` visible to reads after `lag`.
  asio::awaitable<void> ApplyLater(LogIndex index, Millis lag);

  asio::io_context& m_context;
  const EndpointServerOptions m_options;
  const std::string m_instance;
  mutable std::mutex m_mutex;
  ReplicationState m_replication;
  EndpointFaults m_faults;
  std::set<std::uint64_t> m_connections;
  std::size_t m_peak_connections = 0;
  std::size_t m_refused_connections = 0;
  std::size_t m_busy_slots = 0;
  std::size_t m_slot_waiters = 0;
  std::size_t m_peak_slot_waiters = 0;
  bool m_writer_busy = false;
  // Connection that holds the writer, or 0.
  std::uint64_t m_writer_connection_id = 0;
  // Generation of the current pull loop; loops of earlier generations end.
  std::uint64_t m_pull_generation = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  TimePoint m_last_primary_contact = Clock::now();
  Notifier m_state_changed;
  Notifier m_capacity_freed;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace cardamom
