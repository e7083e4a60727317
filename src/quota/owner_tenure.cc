#include "quota/owner_tenure.h"

#include <algorithm>

namespace cardamom {

void OwnerTenure::Begin(BootTime grants_from, bool may_renew) {
  m_grants_from = grants_from;
  m_may_renew = may_renew;
  ++m_number;
}

void OwnerTenure::Observe(const ListState& state, BootTime now) {
  if (!state.confirmed_at) {
    return;
  }
  const auto handover = kMaxListAge + kLeaseTime + kLeaseMargin;
  const bool first = !m_observed;
  // Between two confirmations that are so far apart, another VM may have been an owner, unless the
  // list is the same.
  const bool may_have_missed = m_confirmed_at &&
                               *state.confirmed_at - *m_confirmed_at > kMaxListAge &&
                               state.fingerprint != m_fingerprint;
  const bool was_owner = m_is_owner && !may_have_missed;
  m_observed = true;
  m_is_owner = state.is_owner;
  m_confirmed_at = std::max(m_confirmed_at.value_or(*state.confirmed_at), *state.confirmed_at);
  m_fingerprint = state.fingerprint;
  if (!m_is_owner || was_owner) {
    return;
  }
  const auto since = state.since.value_or(now);
  if (first && m_restarted && since - m_started_at < kLeaseTime) {
    Begin(m_started_at + kLeaseTime + kLeaseMargin, true);
  } else {
    Begin(since + handover, false);
  }
}

bool OwnerTenure::MayAnswer(BootTime now) const {
  return m_is_owner && m_confirmed_at && now - *m_confirmed_at < kMaxListAge &&
         (now >= m_grants_from || m_may_renew);
}

}  // namespace cardamom
