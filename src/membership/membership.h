// The live VMs, as the platform lists them.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "http/address.h"
#include "membership/vm_entry.h"

namespace cardamom {

// Thread safe. Its lock is a leaf in the lock order. The list lags; nothing that relies on it may
// need it to be right.
class Membership {
 public:
  explicit Membership(VmEntry self) : m_self(std::move(self)), m_vms({m_self}) {}

  // Takes a list from the platform. Returns whether it differs from the last one.
  bool Update(std::vector<VmEntry> vms);

  std::vector<VmEntry> vms() const;
  const VmEntry& self() const { return m_self; }
  // The live VM of that name.
  std::optional<VmEntry> Find(const VmId& vm) const;

  // This VM's place among the stewards of `group`; 0 acts first.
  std::size_t StewardRank(const GroupId& group) const;
  std::vector<VmEntry> HomesOf(const GroupId& group, std::size_t count) const;
  bool IsRelay(std::size_t relays_per_domain) const;
  // The other relays of this VM's failure domain.
  std::vector<VmEntry> RelayPeers(std::size_t relays_per_domain) const;

 private:
  const VmEntry m_self;
  mutable std::mutex m_mutex;
  std::vector<VmEntry> m_vms;
};

}  // namespace cardamom
