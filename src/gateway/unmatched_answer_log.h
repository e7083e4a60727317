// Counts answers of one endpoint that belong to no request, and reports them as events.
#pragma once

#include <cstdint>

#include "events/event_log.h"
#include "gateway/gateway_metrics.h"

namespace cardamom {

// Not thread safe. The references must outlive the object.
class UnmatchedAnswerLog {
 public:
  UnmatchedAnswerLog(EventLog& events, GatewayMetrics& metrics, GroupId group, EndpointId endpoint);

  // `reason` is one of a fixed set of names. Emits at most one event in 10 s, with the number of
  // answers since the last one.
  void Count(const char* reason, TimePoint now);

 private:
  EventLog& m_events;
  GatewayMetrics& m_metrics;
  const GroupId m_group;
  const EndpointId m_endpoint;
  std::uint64_t m_unreported = 0;
  TimePoint m_reported_at;
};

}  // namespace cardamom
