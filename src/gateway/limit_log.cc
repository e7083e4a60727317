#include "gateway/limit_log.h"

#include <fmt/format.h>

namespace cardamom {
namespace {

constexpr Millis kEventInterval{10'000};

}  // namespace

void LimitLog::Count(const char* limit, TimePoint now) {
  m_metrics.CountLimit(limit);
  auto& entry = m_entries[limit];
  ++entry.unreported;
  if (entry.reported_at != TimePoint() && now - entry.reported_at < kEventInterval) {
    return;
  }
  m_events.Emit(EventCode::kCallerLimited,
                {.detail = fmt::format("{}: {} times", limit, entry.unreported)});
  entry = {0, now};
}

}  // namespace cardamom
