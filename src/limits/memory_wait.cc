#include "limits/memory_wait.h"

#include "async/notifier.h"

namespace cardamom {
namespace {

constexpr Millis kPollInterval{20};

}  // namespace

boost::asio::awaitable<bool> WaitForRoom(MemoryCharge& charge,
                                         std::size_t bytes,
                                         TimePoint give_up_at,
                                         std::function<bool()> is_over) {
  while (!is_over()) {
    if (charge.TryResize(bytes)) {
      co_return true;
    }
    if (Clock::now() >= give_up_at) {
      co_return false;
    }
    charge.account().ShedLargest(Clock::now());
    co_await Sleep(kPollInterval);
  }
  co_return false;
}

}  // namespace cardamom
