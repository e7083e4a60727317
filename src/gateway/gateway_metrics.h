// Prometheus metrics of the session gateway.
#pragma once

#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "core/clock.h"

namespace cardamom {

// Thread safe. Label sets are bounded: outcomes and server roles.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // `outcome` is answered, refused or unknown.
  void CountStatement(const char* outcome, Duration duration);
  // `role` is primary or replica.
  void CountRead(const char* role);
  void CountPromotion(const char* outcome);
  void SetSessions(std::size_t count);
  void SetConfiguration(std::uint64_t version);

  // The text that a Prometheus server reads.
  std::string Format();

 private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_statements;
  prometheus::Family<prometheus::Counter>& m_reads;
  prometheus::Family<prometheus::Counter>& m_promotions;
  prometheus::Family<prometheus::Histogram>& m_durations;
  prometheus::Gauge& m_sessions;
  prometheus::Gauge& m_configuration;
};

}  // namespace cardamom
