// Waits for room in a memory account.
#pragma once

#include <cstddef>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "limits/memory_account.h"

namespace cardamom {

// Grows `charge` to `bytes`. While its account has no room, holders that make no progress are shed,
// until `give_up_at` or until `is_over` returns true. Returns whether the charge was grown.
// `charge` must outlive the call. Not thread safe.
boost::asio::awaitable<bool> WaitForRoom(MemoryCharge& charge,
                                         std::size_t bytes,
                                         TimePoint give_up_at,
                                         std::function<bool()> is_over);

}  // namespace cardamom
