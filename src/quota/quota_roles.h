// Which VMs meter an organisation's operations, and which own its quota.
#pragma once

#include <string>
#include <vector>

#include "membership/vm_entry.h"
#include "organisation/organisation.h"

namespace cardamom {

// A value type.
struct QuotaRoles {
  // The VMs of this VM's failure domain, the first meter first.
  std::vector<VmEntry> meters;
  // Place of this VM in `meters`; their number if it has none.
  std::size_t own_rank = 0;
  // At most two, in different failure domains if possible.
  std::vector<VmEntry> owners;
  bool is_owner = false;
  std::size_t domains = 1;
};

// Pure and thread safe.
QuotaRoles AssignQuotaRoles(const std::vector<VmEntry>& vms,
                            const VmEntry& self,
                            const OrganisationName& organisation);

}  // namespace cardamom
