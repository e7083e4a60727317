// Random walks over takeovers on the platform: two proxies that claim tokens in the store, one of
// which also holds the reserved token, a group whose servers crash and restart, a store that
// becomes unavailable, orders that are answered late, lost or carried out seconds later.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "takeover_fleet.h"
#include "takeover_group.h"
#include "takeover_platform.h"
#include "takeover_proxy.h"
#include "takeover_world.h"

namespace cardamom::takeover_model {

// Not thread safe; one object is one walk.
class Walk {
 public:
  Walk(std::uint64_t seed, Rule off, WalkOptions options);

  // Returns whether every promoted server held all commits that were acknowledged to callers, and
  // no token was allocated twice.
  bool Run();
  // As above; also returns the events of the walk.
  std::vector<std::string> RunTraced();

  int promoted() const { return m_platform.promoted(); }
  int promoted_in_outage() const { return m_promoted_in_outage; }
  std::uint64_t restores() const { return m_store.era().value(); }

 private:
  void RestartFleet();
  bool IsSafe() const { return m_group.safe() && m_store.safe(); }

  World m_world;
  Group m_group;
  Store m_store;
  Fleet m_fleet;
  Platform m_platform;
  std::array<Proxy, 2> m_proxies;
  int m_promoted_in_outage = 0;
};

}  // namespace cardamom::takeover_model
