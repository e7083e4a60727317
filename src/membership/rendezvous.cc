#include "membership/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include <xxhash.h>

namespace cardamom {
namespace {

std::uint64_t Weight(const VmId& vm, std::string_view name) {
  const auto seed = XXH3_64bits(name.data(), name.size());
  return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
}

}  // namespace

std::vector<VmEntry> RankVms(const std::vector<VmEntry>& vms, std::string_view name) {
  std::vector<std::pair<std::uint64_t, const VmEntry*>> weighted;
  weighted.reserve(vms.size());
  for (const auto& vm : vms) {
    if (!vm.leaving) {
      weighted.emplace_back(Weight(vm.id, name), &vm);
    }
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return std::pair(b.first, a.second->id) < std::pair(a.first, b.second->id);
  });
  std::vector<VmEntry> ranked;
  ranked.reserve(weighted.size());
  for (const auto& [weight, vm] : weighted) {
    ranked.push_back(*vm);
  }
  return ranked;
}

std::vector<VmEntry> HomeSet(const std::vector<VmEntry>& vms,
                             std::string_view name,
                             std::size_t count) {
  const auto ranked = RankVms(vms, name);
  std::map<FailureDomain, std::size_t> used;
  std::vector<std::pair<std::size_t, std::size_t>> order;
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    order.emplace_back(used[ranked[i].domain]++, i);
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

std::vector<VmEntry> Relays(const std::vector<VmEntry>& vms,
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
