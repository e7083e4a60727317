#include "membership/home_plan.h"

#include <algorithm>

namespace cardamom {

HomePlan PlanHomes(std::size_t max_connections,
                   std::size_t vm_count,
                   std::size_t domain_count,
                   const HomePolicy& policy) {
  vm_count = std::max<std::size_t>(vm_count, 1);
  domain_count = std::clamp<std::size_t>(domain_count, 1, vm_count);
  const auto usable =
      max_connections > policy.spare_connections ? max_connections - policy.spare_connections : 1;
  HomePlan plan;
  if (vm_count <= policy.max_vms_all_homes && usable >= vm_count) {
    plan.homes = vm_count;
  } else {
    const auto per_domain = std::clamp<std::size_t>(
        usable / (domain_count * policy.min_links_per_home), 1, policy.max_homes_per_domain);
    plan.homes = std::min(vm_count, domain_count * per_domain);
  }
  plan.links_per_home = std::max<std::size_t>(1, usable / plan.homes);
  return plan;
}

}  // namespace cardamom
