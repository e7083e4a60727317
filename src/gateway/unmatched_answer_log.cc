#include "gateway/unmatched_answer_log.h"

#include <utility>

#include <fmt/format.h>

namespace cardamom {
namespace {

constexpr Millis kEventInterval{10'000};

}  // namespace

UnmatchedAnswerLog::UnmatchedAnswerLog(EventLog& events,
                                       GatewayMetrics& metrics,
                                       GroupId group,
                                       EndpointId endpoint)
    : m_events(events),
      m_metrics(metrics),
      m_group(std::move(group)),
      m_endpoint(std::move(endpoint)) {}

void UnmatchedAnswerLog::Count(const char* reason, TimePoint now) {
  m_metrics.CountUnmatchedAnswer(reason);
  ++m_unreported;
  if (m_reported_at != TimePoint() && now - m_reported_at < kEventInterval) {
    return;
  }
  m_events.Emit(EventCode::kAnswerRepeated,
                {.group = m_group,
                 .endpoint = m_endpoint,
                 .detail = fmt::format("{}; {} answers", reason, m_unreported)});
  m_unreported = 0;
  m_reported_at = now;
}

}  // namespace cardamom
