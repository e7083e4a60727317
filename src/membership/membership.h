// The live VMs according to the platform.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "http/address.h"
#include "membership/vm_entry.h"

namespace cardamom {

// Thread safe. Its lock is a leaf in the lock order. The list may be out of date; code that uses it
// must stay correct when it is wrong.
class Membership {
 public:
  explicit Membership(VmEntry self) : m_self(std::move(self)), m_vms({m_self}) {}

  // Replaces the list with one from the platform. Returns whether it differs from the last one.
  bool Update(std::vector<VmEntry> vms);

  std::vector<VmEntry> vms() const;
  const VmEntry& self() const { return m_self; }
  // The entry of `vm`, or nullopt if it is not listed.
  std::optional<VmEntry> Find(const VmId& vm) const;

  // This VM's rank among the failover coordinators of `group`; rank 0 acts first. The number of
  // ranked VMs if this VM is not among them.
  std::size_t CoordinatorRank(const GroupId& group) const;
  // The home proxies of `group`, at most `count`, spread over failure domains.
  std::vector<VmEntry> HomesOf(const GroupId& group, std::size_t count) const;
  // Whether this VM is a relay, which reads the platform on behalf of its failure domain, or the
  // domain has none.
  bool IsRelay(std::size_t relays_per_domain) const;
  // The other relays of this VM's failure domain.
  std::vector<VmEntry> RelayPeers(std::size_t relays_per_domain) const;

 private:
  const VmEntry m_self;
  mutable std::mutex m_mutex;
  std::vector<VmEntry> m_vms;
};

}  // namespace cardamom
