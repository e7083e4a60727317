#include "http/connection_pool.h"

#include <utility>

namespace cardamom {

ConnectionPool::Lease::Lease(std::shared_ptr<ConnectionPool> pool,
                             std::unique_ptr<HttpConnection> connection)
    : m_pool(std::move(pool)), m_connection(std::move(connection)) {}

ConnectionPool::Lease::~Lease() {
  if (m_pool != nullptr) {
    const bool reusable = !m_discard && m_connection->IsUsable();
    m_pool->Return(std::move(m_connection), reusable);
  }
}

ConnectionPool::ConnectionPool(asio::io_context& context, Address peer, std::size_t max_connections)
    : m_context(context), m_peer(std::move(peer)), m_max_connections(max_connections) {}

std::optional<ConnectionPool::ConnectionSlot> ConnectionPool::TryTakeSlot() {
  const std::lock_guard lock(m_mutex);
  if (!m_idle_connections.empty()) {
    ConnectionSlot slot{std::move(m_idle_connections.back())};
    m_idle_connections.pop_back();
    return slot;
  }
  if (m_open_connections < m_max_connections) {
    ++m_open_connections;
    return ConnectionSlot{};
  }
  return std::nullopt;
}

asio::awaitable<Outcome<ConnectionPool::Lease>> ConnectionPool::Acquire(TimePoint deadline) {
  auto slot = TryTakeSlot();
  if (!slot) {
    co_await m_connection_returned.WaitUntil(
        [&] {
          slot = TryTakeSlot();
          return slot.has_value();
        },
        deadline);
  }
  if (!slot) {
    co_return Error{ResultCode::kOverloaded, "no connection to " + m_peer.ToString()};
  }
  if (slot->idle_connection != nullptr) {
    co_return Lease(shared_from_this(), std::move(slot->idle_connection));
  }
  ++m_on_demand_connects;
  co_return co_await OpenConnection(deadline);
}

asio::awaitable<Outcome<ConnectionPool::Lease>> ConnectionPool::OpenConnection(TimePoint deadline) {
  Lease lease(shared_from_this(), std::make_unique<HttpConnection>(m_context, m_peer));
  auto connected = co_await lease.connection().Connect(deadline);
  if (connected && m_connect_hook) {
    connected = co_await m_connect_hook(lease.connection(), deadline);
  }
  if (!connected) {
    lease.Discard();
    // Connecting and the connect hook execute no work of a caller.
    co_return Error{connected.error().code, connected.error().detail, Ran::kNo};
  }
  co_return std::move(lease);
}

asio::awaitable<Outcome<HttpResponse>> ConnectionPool::Send(HttpRequest request,
                                                            TimePoint deadline) {
  auto lease = co_await Acquire(deadline);
  if (!lease) {
    co_return lease.error();
  }
  co_return co_await lease->connection().Send(std::move(request), deadline);
}

asio::awaitable<void> ConnectionPool::Warm(std::size_t count, TimePoint deadline) {
  for (;;) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_open_connections >= std::min(count, m_max_connections)) {
        co_return;
      }
      ++m_open_connections;
    }
    const auto lease = co_await OpenConnection(deadline);
    if (!lease) {
      co_return;
    }
  }
}

void ConnectionPool::SetMaxConnections(std::size_t max_connections) {
  const std::lock_guard lock(m_mutex);
  m_max_connections = max_connections;
  while (m_open_connections > m_max_connections && !m_idle_connections.empty()) {
    m_idle_connections.pop_back();
    --m_open_connections;
  }
}

std::size_t ConnectionPool::open_connections() const {
  const std::lock_guard lock(m_mutex);
  return m_open_connections;
}

void ConnectionPool::Return(std::unique_ptr<HttpConnection> connection, bool reusable) {
  {
    const std::lock_guard lock(m_mutex);
    if (reusable && m_open_connections <= m_max_connections) {
      m_idle_connections.push_back(std::move(connection));
    } else {
      --m_open_connections;
    }
  }
  m_connection_returned.NotifyAll();
}

}  // namespace cardamom
