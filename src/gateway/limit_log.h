// Counts callers that were refused or closed at a limit, and reports them as events.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "events/event_log.h"
#include "gateway/gateway_metrics.h"

namespace cardamom {

// Not thread safe. The references must outlive the object.
class LimitLog {
 public:
  LimitLog(EventLog& events, GatewayMetrics& metrics) : m_events(events), m_metrics(metrics) {}

  // `limit` is one of a fixed set of names. Emits at most one event for each limit in 10 s, with
  // the number of occurrences since the last one, so that a flood does not fill the log.
  void Count(const char* limit, TimePoint now);

 private:
  struct Entry {
    std::uint64_t unreported = 0;
    TimePoint reported_at;
  };

  EventLog& m_events;
  GatewayMetrics& m_metrics;
  std::map<std::string, Entry> m_entries;
};

}  // namespace cardamom
