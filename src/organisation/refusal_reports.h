// Limits how often refusals of one kind are reported.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "core/clock.h"

namespace cardamom {

// A flood of refused callers must not displace other events. Performs no I/O: the time is passed
// in. Not thread safe.
class RefusalReports {
 public:
  // Least time between two reports.
  static constexpr Millis kInterval{1000};

  // Records a refusal. Returns the number of refusals since the last report, this one included, if
  // a report is due.
  std::optional<std::uint64_t> Record(TimePoint now) {
    ++m_unreported;
    if (m_reported_at && now - *m_reported_at < kInterval) {
      return std::nullopt;
    }
    m_reported_at = now;
    return std::exchange(m_unreported, 0);
  }

 private:
  std::optional<TimePoint> m_reported_at;
  std::uint64_t m_unreported = 0;
};

}  // namespace cardamom
