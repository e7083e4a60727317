#include "membership/membership.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace cardamom {

bool Membership::Update(std::vector<VmEntry> vms) {
  std::sort(vms.begin(), vms.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  const std::lock_guard lock(m_mutex);
  if (vms == m_vms) {
    return false;
  }
  m_vms = std::move(vms);
  return true;
}

std::vector<VmEntry> Membership::vms() const {
  const std::lock_guard lock(m_mutex);
  return m_vms;
}

std::optional<VmEntry> Membership::Find(const VmId& vm) const {
  const std::lock_guard lock(m_mutex);
  const auto it = std::find_if(m_vms.begin(), m_vms.end(),
                               [&vm](const VmEntry& entry) { return entry.id == vm; });
  return it == m_vms.end() ? std::nullopt : std::optional(*it);
}

std::size_t Membership::CoordinatorRank(const GroupId& group) const {
  const auto ranked = RankVms(vms(), "steward/" + group.value());
  const auto it = std::find_if(ranked.begin(), ranked.end(),
                               [this](const VmEntry& entry) { return entry.id == m_self.id; });
  return static_cast<std::size_t>(it - ranked.begin());
}

std::vector<VmEntry> Membership::HomesOf(const GroupId& group, std::size_t count) const {
  return ChooseHomes(vms(), "home/" + group.value(), count);
}

bool Membership::IsRelay(std::size_t relays_per_domain) const {
  const auto relays = ChooseRelays(vms(), m_self.domain, relays_per_domain);
  // If every listed VM of the domain is leaving or none is listed, for example before this VM is
  // listed, there is no relay to ask, so this VM reads the platform itself.
  return relays.empty() || std::any_of(relays.begin(), relays.end(), [this](const VmEntry& entry) {
           return entry.id == m_self.id;
         });
}

std::vector<VmEntry> Membership::RelayPeers(std::size_t relays_per_domain) const {
  auto relays = ChooseRelays(vms(), m_self.domain, relays_per_domain);
  std::erase_if(relays, [this](const VmEntry& entry) { return entry.id == m_self.id; });
  return relays;
}

}  // namespace cardamom
