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

  void CountRequest(const char* operation, ResultCode code, Duration duration);
  void CountRead(bool from_replica);
  void CountReadFallback(const char* reason);
  void CountRetry(const char* reason);
  void CountPromotion(const char* reason);
  void SetGauge(const char* name, double value);

  // The text that a Prometheus server reads.
  std::string Format();

 private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Counter>& m_reads;
  prometheus::Family<prometheus::Counter>& m_fallbacks;
  prometheus::Family<prometheus::Counter>& m_retries;
  prometheus::Family<prometheus::Counter>& m_promotions;
  prometheus::Family<prometheus::Histogram>& m_durations;
  prometheus::Family<prometheus::Gauge>& m_state;
};

}  // namespace cardamom
