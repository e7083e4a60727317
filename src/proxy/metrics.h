// Prometheus metrics of the proxy.
#pragma once

#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "cardamom/result_code.h"
#include "core/clock.h"

namespace cardamom {

// Thread safe.
class Metrics {
 public:
  Metrics();

  // Counts a request and observes its duration.
  void CountRequest(const char* operation, ResultCode code, Duration duration);
  // Counts a read by the kind of server that answered.
  void CountRead(bool from_replica);
  // Counts a read that was routed to the primary first, by the reason for that.
  void CountReadFallback(const char* reason);
  // Counts a retry by its reason, the error of the failed attempt.
  void CountRetry(const char* reason);
  // Counts a promotion that this proxy carried out, by its reason.
  void CountPromotion(const char* reason);
  // Sets the gauge cardamom_state with the label `name`.
  void SetGauge(const char* name, double value);

  // All metrics in the Prometheus text format.
  std::string Format();

 private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Counter>& m_reads;
  prometheus::Family<prometheus::Counter>& m_fallbacks;
  prometheus::Family<prometheus::Counter>& m_retries;
  prometheus::Family<prometheus::Counter>& m_promotions;
  prometheus::Family<prometheus::Histogram>& m_durations;
  prometheus::Family<prometheus::Gauge>& m_gauges;
};

}  // namespace cardamom
