#include "http/connection_pool.h"

#include <utility>

namespace cardamom {

ConnectionPool::Lease::Lease(std::shared_ptr<ConnectionPool> pool,
                             std::unique_ptr<HttpConnection> connection)
    : m_pool(std::move(pool)), m_connection(std::move(connection)) {}

ConnectionPool::Lease::~Lease() {
  if (m_pool != nullptr) {
    const bool reusable = !m_discard && m_connection->IsUsable();
    m_pool->GiveBack(std::move(m_connection), reusable);
  }
}

ConnectionPool::ConnectionPool(asio::io_context& context, Address peer, std::size_t max_connections)
    : m_context(context), m_peer(std::move(peer)), m_max(max_connections) {}

std::optional<ConnectionPool::Reservation> ConnectionPool::TryReserve() {
  const std::lock_guard lock(m_mutex);
  if (!m_idle.empty()) {
    Reservation reservation{std::move(m_idle.back())};
    m_idle.pop_back();
    return reservation;
  }
  if (m_open < m_max) {
    ++m_open;
    return Reservation{};
  }
  return std::nullopt;
}

asio::awaitable<Outcome<ConnectionPool::Lease>> ConnectionPool::Acquire(TimePoint deadline) {
  auto reservation = TryReserve();
  if (!reservation) {
    co_await m_returned.WaitUntil(
        [&] {
          reservation = TryReserve();
          return reservation.has_value();
        },
        deadline);
  }
  if (!reservation) {
    co_return Error{ResultCode::kOverloaded, "no connection to " + m_peer.ToString()};
  }
  if (reservation->idle != nullptr) {
    co_return Lease(shared_from_this(), std::move(reservation->idle));
  }
  ++m_connects_on_request;
  co_return co_await Open(deadline);
}

asio::awaitable<Outcome<ConnectionPool::Lease>> ConnectionPool::Open(TimePoint deadline) {
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
      if (m_open >= std::min(count, m_max)) {
        co_return;
      }
      ++m_open;
    }
    const auto lease = co_await Open(deadline);
    if (!lease) {
      co_return;
    }
  }
}

void ConnectionPool::SetMax(std::size_t max_connections) {
  const std::lock_guard lock(m_mutex);
  m_max = max_connections;
  while (m_open > m_max && !m_idle.empty()) {
    m_idle.pop_back();
    --m_open;
  }
}

std::size_t ConnectionPool::open() const {
  const std::lock_guard lock(m_mutex);
  return m_open;
}

void ConnectionPool::GiveBack(std::unique_ptr<HttpConnection> connection, bool reusable) {
  {
    const std::lock_guard lock(m_mutex);
    if (reusable && m_open <= m_max) {
      m_idle.push_back(std::move(connection));
    } else {
      --m_open;
    }
  }
  m_returned.NotifyAll();
}

}  // namespace cardamom
