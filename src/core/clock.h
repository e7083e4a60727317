// Time types. Decision logic takes the time as an argument; only I/O code reads the clock.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace cardamom {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;

inline Millis ToMillis(Duration duration) {
  return std::chrono::duration_cast<Millis>(duration);
}

// A steady clock that keeps counting while the machine is suspended. Used for the age of data.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // Name required by the standard's clock requirements.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept {
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
  }
};
using BootTime = BootClock::time_point;

// Milliseconds since the Unix epoch by the system clock. Thread safe.
inline std::int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace cardamom
