// Decides from the list of members when this VM may grant as an owner of an organisation's quota.
#pragma once

#include <cstdint>
#include <optional>

#include "quota/lease.h"

namespace cardamom {

// What this VM knows of the list of members. A value type.
struct ListState {
  // The list shows this VM as an owner.
  bool is_owner = false;
  // Up to when the list is provably current.
  std::optional<BootTime> confirmed_at;
  // Equal for equal lists.
  std::uint64_t fingerprint = 0;
  // Since when this VM has had this list; not set if it has only just read it.
  std::optional<BootTime> since = std::nullopt;
};

// A VM that another one replaced as an owner may not know it for kMaxListAge, and its leases are
// used for kLeaseTime more. So a VM grants nothing for that long after it read the list that makes
// it an owner. Not thread safe. Times must not decrease.
class OwnerTenure {
 public:
  // `restarted`: an earlier process of this VM was a member. It was an owner too if the list shows
  // this VM as one within kLeaseTime of the start, since other VMs stop granting before they leave
  // the list.
  OwnerTenure(BootTime process_started_at, bool restarted)
      : m_started_at(process_started_at), m_restarted(restarted) {}

  // To be called at least every few seconds, and before the functions below.
  void Observe(const ListState& state, BootTime now);

  // Whether the VM is an owner by a list that is fresh enough to answer meters.
  bool MayAnswer(BootTime now) const;
  // From when on new leases may be granted. Unchanged within a tenure.
  BootTime grants_from() const { return m_grants_from; }
  // Whether leases of an earlier process may be renewed before that time.
  bool may_renew() const { return m_may_renew; }
  // Increases with each tenure.
  std::uint64_t number() const { return m_number; }

 private:
  void Begin(BootTime grants_from, bool may_renew);

  const BootTime m_started_at;
  const bool m_restarted;
  bool m_observed = false;
  bool m_is_owner = false;
  std::optional<BootTime> m_confirmed_at;
  std::uint64_t m_fingerprint = 0;
  BootTime m_grants_from;
  bool m_may_renew = false;
  std::uint64_t m_number = 0;
};

}  // namespace cardamom
