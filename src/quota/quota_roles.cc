#include "quota/quota_roles.h"

#include <algorithm>
#include <set>

#include "membership/rendezvous.h"

namespace cardamom {
namespace {

constexpr std::size_t kOwners = 2;

}  // namespace

QuotaRoles AssignQuotaRoles(const std::vector<VmEntry>& vms,
                            const VmEntry& self,
                            const OrganisationName& organisation) {
  std::vector<VmEntry> local;
  std::set<FailureDomain> domains;
  for (const auto& vm : vms) {
    domains.insert(vm.domain);
    if (vm.domain == self.domain) {
      local.push_back(vm);
    }
  }
  const auto is_self = [&self](const VmEntry& vm) { return vm.id == self.id; };
  QuotaRoles roles;
  roles.domains = std::max<std::size_t>(1, domains.size());
  roles.meters = RankVms(local, "quota-meter/" + organisation.value());
  roles.own_rank = static_cast<std::size_t>(
      std::find_if(roles.meters.begin(), roles.meters.end(), is_self) - roles.meters.begin());
  roles.owners = ChooseHomes(vms, "quota-owner/" + organisation.value(), kOwners);
  roles.is_owner = std::any_of(roles.owners.begin(), roles.owners.end(), is_self);
  return roles;
}

}  // namespace cardamom
