#include "organisation/store_clock.h"

#include <algorithm>

namespace cardamom {
namespace {

// The clocks of the store and of this machine may differ in speed by 0.5 ms per second.
constexpr std::int64_t kDriftDivisor = 2000;
// The store cuts its clock to whole milliseconds.
constexpr Millis kClockResolution{1};
// Values of the store's clock that are further apart are not compared.
constexpr Millis kMaxSpan = std::chrono::hours(24);
// A bound that may be this inexact calls for a quick answer. With a bound of 5 s on revocations and
// waits of 2.8 s at the store and 1.3 s at a relay, 0.6 s remain for this and for latency.
constexpr Millis kMaxError{100};
// Least time between two calls that are made only to improve the bound.
constexpr Millis kQuickCallInterval{20'000};
// A call with this wait is answered at once.
constexpr Millis kQuickWait{1};
// Wait of the calls before the first answer of an era that proves anything.
constexpr Millis kUnprovenWait{100};
// Added to the time until an era has settled.
constexpr Millis kSettleMargin{20};

BootClock::duration DriftOver(BootClock::duration span) {
  return std::chrono::abs(span) / kDriftDivisor;
}

}  // namespace

std::optional<BootTime> StoreClock::Convert(std::int64_t now_ms) const {
  if (!m_bound) {
    return std::nullopt;
  }
  const Millis ahead(now_ms - m_bound->now_ms);
  if (std::chrono::abs(ahead) > kMaxSpan) {
    return std::nullopt;
  }
  return m_bound->local + ahead - DriftOver(ahead);
}

std::optional<BootTime> StoreClock::RecordAnswer(const Answer& answer) {
  if (m_era && answer.era < *m_era) {
    return std::nullopt;
  }
  if (!m_era || answer.era > *m_era) {
    m_era = answer.era;
    m_era_seen_at = answer.received_at;
    m_proven_in_era = false;
    m_bound.reset();
  }
  auto confirmed_at = answer.sent_at;
  if (answer.now_ms > 0) {
    const auto own = answer.sent_at - kClockResolution;
    const auto converted = Convert(answer.now_ms);
    // A time after the receipt shows that the store's clock was set forward.
    if (!converted || *converted > answer.received_at || *converted <= own) {
      m_bound = Bound{own, answer.now_ms, answer.received_at - own};
    } else {
      confirmed_at = std::max(confirmed_at, *converted);
    }
  }
  if (confirmed_at < m_era_seen_at + kEraSettleTime) {
    return std::nullopt;
  }
  m_proven_in_era = true;
  return confirmed_at;
}

Millis StoreClock::LimitWait(Millis wait, BootTime now) {
  if (!m_era) {
    return wait;
  }
  if (!m_proven_in_era) {
    const auto until_settled =
        std::chrono::duration_cast<Millis>(m_era_seen_at + kEraSettleTime + kSettleMargin - now);
    return std::min(wait, std::max(until_settled, kUnprovenWait));
  }
  const bool is_exact = !m_bound || m_bound->error + DriftOver(now - m_bound->local) <= kMaxError;
  if (is_exact || (m_quick_call_at && now - *m_quick_call_at < kQuickCallInterval)) {
    return wait;
  }
  m_quick_call_at = now;
  return std::min(wait, kQuickWait);
}

}  // namespace cardamom
