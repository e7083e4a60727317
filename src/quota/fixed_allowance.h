// The operations that a meter admits without a lease.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "core/clock.h"
#include "organisation/organisation.h"

namespace cardamom {

// How far usage may exceed a quota, and the span of time over which it is measured. A value type.
struct QuotaBound {
  Millis window{5000};
  double overshoot = 0;
  double slack = 0;
};

// The most operations in one window that keep to `quota`, without and with what may exceed it.
double NominalUsage(const Quota& quota, const QuotaBound& bound);
double GreatestUsage(const Quota& quota, const QuotaBound& bound);

// The operations in one window that the VM at place `rank` (0 is first) of a failure domain's
// ranking may admit without a lease. Over all VMs of all `domains` this is at most half of what may
// exceed the quota; the other half is left for VMs with different lists of members.
std::int64_t FixedAllowance(const Quota& quota,
                            const QuotaBound& bound,
                            std::size_t domains,
                            std::size_t rank);

// Counts admissions in a sliding window. Not thread safe. Times must not decrease.
class WindowCounter {
 public:
  // Takes up to `count` operations, so that no window of length `window` has more than `limit`;
  // returns how many were taken.
  std::int64_t Take(std::int64_t count,
                    std::int64_t limit,
                    BootClock::duration window,
                    BootTime now);
  // Operations in the window that ends at the last Take.
  std::int64_t used() const { return m_used; }

 private:
  // Admissions with the time at which they leave the window.
  std::deque<std::pair<BootTime, std::int64_t>> m_admissions;
  std::int64_t m_used = 0;
};

}  // namespace cardamom
