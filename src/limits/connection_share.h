// How many connections of an endpoint one proxy may hold.
#pragma once

#include <algorithm>
#include <cstddef>

namespace cardamom {

// Share of one place in a home set of `homes` proxies. The shares of all places and of `spare`
// further ones together stay within `connections`: while VM lists differ, two proxies may hold the
// same place. At least 1. Precondition: `homes` > 0. Pure and thread safe.
inline std::size_t ConnectionShare(std::size_t connections, std::size_t homes, std::size_t spare) {
  return std::max<std::size_t>(1, connections / (homes + spare));
}

}  // namespace cardamom
