#include "membership/home_plan.h"

#include <algorithm>

namespace cardamom {

HomePlan PlanHomes(std::size_t max_connections,
                   std::size_t vms,
                   std::size_t domains,
                   const HomePolicy& policy) {
  vms = std::max<std::size_t>(vms, 1);
  domains = std::clamp<std::size_t>(domains, 1, vms);
  const auto usable =
      max_connections > policy.spare_connections ? max_connections - policy.spare_connections : 1;
  HomePlan plan;
  if (vms <= policy.max_vms_without_homes && usable >= vms) {
    plan.homes = vms;
  } else {
    const auto per_domain = std::clamp<std::size_t>(usable / (domains * policy.min_links_per_home),
                                                    1, policy.max_homes_per_domain);
    plan.homes = std::min(vms, domains * per_domain);
  }
  plan.links_per_home = std::max<std::size_t>(1, usable / plan.homes);
  return plan;
}

}  // namespace cardamom
