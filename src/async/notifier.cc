#include "async/notifier.h"

#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamom {

asio::awaitable<bool> Notifier::WaitUntil(std::function<bool()> predicate, TimePoint deadline) {
  auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
  for (;;) {
    timer->expires_at(deadline);
    std::list<Timer>::iterator place;
    {
      const std::lock_guard lock(m_mutex);
      place = m_waiters.insert(m_waiters.end(), timer);
    }
    // The waiter is registered before the predicate is evaluated, and a cancel is posted to this
    // coroutine's strand, so that no change between the two is missed.
    const bool holds = predicate();
    if (!holds && Clock::now() < deadline) {
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    {
      const std::lock_guard lock(m_mutex);
      m_waiters.erase(place);
    }
    if (holds) {
      co_return true;
    }
    if (Clock::now() >= deadline) {
      co_return predicate();
    }
  }
}

void Notifier::NotifyAll() {
  std::vector<Timer> waiters;
  {
    const std::lock_guard lock(m_mutex);
    waiters.assign(m_waiters.begin(), m_waiters.end());
  }
  for (const auto& timer : waiters) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

std::size_t Notifier::waiting() const {
  const std::lock_guard lock(m_mutex);
  return m_waiters.size();
}

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace cardamom
