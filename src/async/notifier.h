// Wakes coroutines that wait for a condition over shared state.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <mutex>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"

namespace cardamom {

namespace asio = boost::asio;

// Thread safe. The notifier must outlive every wait on it. Its lock is a leaf in the lock order: no
// predicate runs under it.
class Notifier {
 public:
  // Waits until `predicate` holds or `deadline` passes; returns whether it held. The predicate
  // takes its own locks and is evaluated again after each NotifyAll.
  //
  // Precondition: the calling coroutine runs on a strand.
  asio::awaitable<bool> WaitUntil(std::function<bool()> predicate, TimePoint deadline);

  // Makes every waiting coroutine evaluate its predicate again. Call it after the state changed and
  // its lock was released.
  void NotifyAll();

  // Number of coroutines that wait.
  std::size_t waiting() const;

 private:
  using Timer = std::shared_ptr<asio::steady_timer>;

  mutable std::mutex m_mutex;
  std::list<Timer> m_waiters;
};

// Suspends the calling coroutine for `duration`.
asio::awaitable<void> Sleep(Duration duration);

}  // namespace cardamom
