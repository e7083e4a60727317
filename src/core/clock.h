// Time types. Decisions get the time passed in; only adapters read the clock.
#pragma once

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

inline std::int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace cardamom
