#include "quota/fixed_allowance.h"

#include <algorithm>
#include <cmath>

namespace cardamom {
namespace {

// Admissions within this span share an entry, which bounds the memory of a counter.
constexpr Millis kEntrySpan{10};
constexpr std::size_t kMaxRank = 30;

}  // namespace

double NominalUsage(const Quota& quota, const QuotaBound& bound) {
  return quota.rate_per_s * std::chrono::duration<double>(bound.window).count() + quota.burst;
}

double GreatestUsage(const Quota& quota, const QuotaBound& bound) {
  return NominalUsage(quota, bound) * (1 + bound.overshoot) + bound.slack;
}

std::int64_t FixedAllowance(const Quota& quota,
                            const QuotaBound& bound,
                            std::size_t domains,
                            std::size_t rank) {
  if (rank > kMaxRank || domains == 0) {
    return 0;
  }
  const double excess = GreatestUsage(quota, bound) - NominalUsage(quota, bound);
  const double share = excess / std::pow(2.0, static_cast<double>(rank) + 2);
  return static_cast<std::int64_t>(std::floor(share / static_cast<double>(domains)));
}

std::int64_t WindowCounter::Take(std::int64_t count,
                                 std::int64_t limit,
                                 BootClock::duration window,
                                 BootTime now) {
  while (!m_admissions.empty() && m_admissions.front().first <= now) {
    m_used -= m_admissions.front().second;
    m_admissions.pop_front();
  }
  const auto taken = std::clamp<std::int64_t>(limit - m_used, 0, std::max<std::int64_t>(count, 0));
  if (taken == 0) {
    return 0;
  }
  const auto leaves_at = now + window + kEntrySpan;
  if (m_admissions.empty() || m_admissions.back().first + kEntrySpan < leaves_at) {
    m_admissions.emplace_back(leaves_at, 0);
  }
  m_admissions.back().second += taken;
  m_used += taken;
  return taken;
}

}  // namespace cardamom
