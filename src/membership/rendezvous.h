// Ranks VMs for a name by rendezvous hashing.
#pragma once

#include <string_view>
#include <vector>

#include "membership/vm_entry.h"

namespace cardamom {

// All of `vms` that do not leave, best first for `name`. Every process that has the same list gets
// the same order, and a change of one VM moves only that VM. A VM comes first more often the
// greater its capacity. Pure and thread safe.
std::vector<VmEntry> RankVms(const std::vector<VmEntry>& vms, std::string_view name);

// The first `count` VMs for `name`, spread over failure domains: a domain is used again only after
// every other one. Pure and thread safe.
std::vector<VmEntry> HomeSet(const std::vector<VmEntry>& vms,
                             std::string_view name,
                             std::size_t count);

// The VMs of `domain` that follow the platform for the others of the domain. Pure and thread safe.
std::vector<VmEntry> Relays(const std::vector<VmEntry>& vms,
                            const FailureDomain& domain,
                            std::size_t count);

}  // namespace cardamom
