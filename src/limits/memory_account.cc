#include "limits/memory_account.h"

#include <utility>

namespace cardamom {

bool MemoryAccount::CanTake(std::size_t held_bytes, std::size_t more_bytes) const {
  const bool is_small = held_bytes + more_bytes <= kSmallBytes;
  const auto limit = is_small ? m_capacity : m_capacity / 4 * 3;
  return m_used + more_bytes <= limit;
}

bool MemoryAccount::ShedLargest(TimePoint now) {
  if (m_shed_at != TimePoint() && now - m_shed_at < kShedInterval) {
    return false;
  }
  MemoryCharge* largest = nullptr;
  for (auto* charge : m_charges) {
    const bool is_stalled = now - charge->m_progress_at >= kStallTime;
    if (charge->m_on_shed && is_stalled && charge->m_bytes > kSmallBytes &&
        (largest == nullptr || charge->m_bytes > largest->m_bytes)) {
      largest = charge;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  m_shed_at = now;
  const auto hook = std::exchange(largest->m_on_shed, nullptr);
  hook();
  return true;
}

MemoryCharge::MemoryCharge(MemoryAccount& account)
    : m_account(account),
      m_position(account.m_charges.insert(account.m_charges.end(), this)),
      m_progress_at(Clock::now()) {}

MemoryCharge::~MemoryCharge() {
  m_account.m_used -= m_bytes;
  m_account.m_charges.erase(m_position);
}

bool MemoryCharge::TryResize(std::size_t bytes) {
  if (bytes <= m_bytes) {
    Shrink(bytes);
    return true;
  }
  const auto more = bytes - m_bytes;
  if (!m_account.CanTake(m_bytes, more)) {
    return false;
  }
  m_account.m_used += more;
  m_bytes = bytes;
  m_progress_at = Clock::now();
  return true;
}

void MemoryCharge::Shrink(std::size_t bytes) {
  m_account.m_used -= m_bytes - bytes;
  m_bytes = bytes;
  m_progress_at = Clock::now();
}

}  // namespace cardamom
