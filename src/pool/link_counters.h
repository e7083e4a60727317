// Numbers about the links of a proxy, for metrics.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace cardamom {

// What happened in the pools of a proxy. Not thread safe.
struct LinkCounters {
  // Links that were closed to open one for another organisation.
  std::uint64_t replaced = 0;
  // Statements that waited for a link, and the time that they waited.
  std::uint64_t waits = 0;
  Duration waited{};
};

// Links by state. A value type.
struct LinkStates {
  std::size_t in_use = 0;
  std::size_t idle = 0;
  std::size_t opening = 0;
};

}  // namespace cardamom
