// A bounded pool of client connections to one address.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "async/notifier.h"
#include "http/http_connection.h"

namespace cardamom {

// Thread safe. Must be owned by a std::shared_ptr. A connection whose last request failed is closed
// and never reused. The pool's lock is a leaf in the lock order.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  // Owns one connection; returns it to the pool, or closes it, on destruction. Not thread safe.
  class Lease {
   public:
    Lease(std::shared_ptr<ConnectionPool> pool, std::unique_ptr<HttpConnection> connection);
    ~Lease();
    Lease(Lease&&) noexcept = default;
    Lease& operator=(Lease&&) noexcept = delete;
    HttpConnection& connection() { return *m_connection; }
    // Closes the connection on destruction instead of returning it to the pool.
    void Discard() { m_discard = true; }

   private:
    std::shared_ptr<ConnectionPool> m_pool;
    std::unique_ptr<HttpConnection> m_connection;
    bool m_discard = false;
  };

  // Prepares a new connection before its first use, for example with a handshake request.
  using ConnectHook = std::function<asio::awaitable<Outcome<void>>(HttpConnection&, TimePoint)>;

  // `context` must outlive the pool.
  ConnectionPool(asio::io_context& context, Address peer, std::size_t max_connections);

  // Precondition: called before the first Acquire, Send or Warm.
  void set_connect_hook(ConnectHook hook) { m_connect_hook = std::move(hook); }

  // Takes an idle connection, opens one if fewer than the maximum are open, or waits until one is
  // returned. Errors: kOverloaded if none is free before `deadline`, those of
  // HttpConnection::Connect and those of the connect hook, always with Ran::kNo. Precondition: the
  // calling coroutine runs on a strand.
  asio::awaitable<Outcome<Lease>> Acquire(TimePoint deadline);

  // Acquires a connection and sends `request`. Precondition: as Acquire. Errors: as Acquire and
  // HttpConnection::Send.
  asio::awaitable<Outcome<HttpResponse>> Send(HttpRequest request, TimePoint deadline);

  // Opens connections until min(`count`, maximum) are open, counting those in use. Stops at the
  // first error.
  asio::awaitable<void> Warm(std::size_t count, TimePoint deadline);

  // Changes the maximum. Connections above it are closed: idle ones at once, others when returned.
  void SetMaxConnections(std::size_t max_connections);

  // Number of connections that are in use, idle or being opened.
  std::size_t open_connections() const;
  // Number of connections that Acquire had to open since creation.
  std::uint64_t on_demand_connects() const { return m_on_demand_connects; }
  const Address& peer() const { return m_peer; }

 private:
  struct ConnectionSlot {
    std::unique_ptr<HttpConnection> idle_connection;
  };

  // Takes an idle connection or, with `idle_connection` null, the right to open one. Returns
  // nullopt if there is neither.
  std::optional<ConnectionSlot> TryTakeSlot();
  asio::awaitable<Outcome<Lease>> OpenConnection(TimePoint deadline);
  void Return(std::unique_ptr<HttpConnection> connection, bool reusable);

  asio::io_context& m_context;
  const Address m_peer;
  ConnectHook m_connect_hook;
  mutable std::mutex m_mutex;
  std::size_t m_max_connections;
  std::size_t m_open_connections = 0;
  std::vector<std::unique_ptr<HttpConnection>> m_idle_connections;
  Notifier m_connection_returned;
  std::atomic<std::uint64_t> m_on_demand_connects = 0;
};

}  // namespace cardamom
