// Number of connections to one endpoint that one proxy may hold.
#pragma once

#include <algorithm>
#include <cstddef>

namespace cardamom {

// Share of each home proxy in a set of `homes`. `spare` further shares stay free, because more
// than `homes` proxies may act as homes while their VM lists differ. All shares and the spare
// ones stay within `connections`, unless that would leave less than the minimum of 1 each.
// Precondition: `homes` > 0. Pure and thread safe.
inline std::size_t ConnectionShare(std::size_t connections, std::size_t homes, std::size_t spare) {
  return std::max<std::size_t>(1, connections / (homes + spare));
}

}  // namespace cardamom
