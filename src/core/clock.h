// Time types. Decisions get the time passed in; only adapters read the clock.
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

// A steady clock that also counts the time for which the machine was suspended; ages of data are
// measured on it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name that the standard asks of a clock.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept {
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
  }
};
using BootTime = BootClock::time_point;

inline std::int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace cardamom
