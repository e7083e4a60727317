#include "membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

#include <xxhash.h>

namespace cardamom {
namespace {

// Weighted rendezvous hashing: the VM with the lowest cost is ranked first. The weight is the
// square of the capacity, so that a VM of twice the capacity is first for four times as many keys:
// the fixed overhead of a VM takes a larger part of a small VM's capacity.
double RendezvousCost(const VmEntry& vm, std::string_view key) {
  const auto seed = XXH3_64bits(key.data(), key.size());
  const auto hash = XXH3_64bits_withSeed(vm.id.value().data(), vm.id.value().size(), seed);
  const auto uniform = (static_cast<double>(hash) + 1) /
                       (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
  return -std::log(uniform) / (vm.capacity * vm.capacity);
}

}  // namespace

std::vector<VmEntry> RankVms(const std::vector<VmEntry>& vms, std::string_view key) {
  std::vector<std::pair<double, const VmEntry*>> weighted;
  weighted.reserve(vms.size());
  for (const auto& vm : vms) {
    if (!vm.leaving && IsValidCapacity(vm.capacity)) {
      weighted.emplace_back(RendezvousCost(vm, key), &vm);
    }
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return std::pair(a.first, a.second->id) < std::pair(b.first, b.second->id);
  });
  std::vector<VmEntry> ranked;
  ranked.reserve(weighted.size());
  for (const auto& [cost, vm] : weighted) {
    ranked.push_back(*vm);
  }
  return ranked;
}

std::vector<VmEntry> ChooseHomes(const std::vector<VmEntry>& vms,
                                 std::string_view key,
                                 std::size_t count) {
  const auto ranked = RankVms(vms, key);
  std::map<FailureDomain, std::size_t> vms_per_domain;
  std::vector<std::pair<std::size_t, std::size_t>> order;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    order.emplace_back(vms_per_domain[ranked[i].domain]++, i);
  }
  std::sort(order.begin(), order.end());
  std::vector<VmEntry> homes;
  for (const auto& [round, i] : order) {
    if (homes.size() < count) {
      homes.push_back(ranked[i]);
    }
  }
  return homes;
}

std::vector<VmEntry> ChooseRelays(const std::vector<VmEntry>& vms,
                                  const FailureDomain& domain,
                                  std::size_t count) {
  std::vector<VmEntry> local;
  for (const auto& vm : vms) {
    if (vm.domain == domain) {
      local.push_back(vm);
    }
  }
  auto ranked = RankVms(local, "relay/" + domain.value());
  ranked.resize(std::min(count, ranked.size()));
  return ranked;
}

}  // namespace cardamom
