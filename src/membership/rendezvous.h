// Ranks VMs for a key by rendezvous hashing.
#pragma once

#include <string_view>
#include <vector>

#include "membership/vm_entry.h"

namespace cardamom {

// Greatest capacity, in processors, that counts as valid.
inline constexpr double kMaxCapacity = 1024;
// Whether `capacity`, which another writer may have set, can be ranked: a positive number up to
// kMaxCapacity. A VM with any other capacity gets no role. Pure and thread safe.
inline bool IsValidCapacity(double capacity) {
  return capacity > 0 && capacity <= kMaxCapacity;
}

// All of `vms` except leaving ones and those without a valid capacity, best first for `key`. Every
// process with the same list computes the same order. Adding, removing or changing one VM keeps the
// order of the others. A VM with a greater capacity is first for more keys. Pure and thread safe.
std::vector<VmEntry> RankVms(const std::vector<VmEntry>& vms, std::string_view key);

// The best `count` VMs for `key`, spread over failure domains: a domain gets another VM only after
// every other domain has as many in the set, or has no more VMs. Pure and thread safe.
std::vector<VmEntry> ChooseHomes(const std::vector<VmEntry>& vms,
                                 std::string_view key,
                                 std::size_t count);

// The relays of `domain`: its `count` VMs that read the platform on behalf of the others. Pure and
// thread safe.
std::vector<VmEntry> ChooseRelays(const std::vector<VmEntry>& vms,
                                  const FailureDomain& domain,
                                  std::size_t count);

}  // namespace cardamom
