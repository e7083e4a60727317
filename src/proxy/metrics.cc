#include "proxy/metrics.h"

#include <prometheus/text_serializer.h>

namespace cardamom {
namespace {

// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries kDurationBucketsSeconds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

}  // namespace

Metrics::Metrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("cardamom_requests_total")
                     .Help("Requests by operation and result code")
                     .Register(m_registry)),
      m_reads(prometheus::BuildCounter()
                  .Name("cardamom_reads_total")
                  .Help("Reads by the kind of server that answered")
                  .Register(m_registry)),
      m_fallbacks(prometheus::BuildCounter()
                      .Name("cardamom_read_fallbacks_total")
                      .Help("Reads that went to the primary, by reason")
                      .Register(m_registry)),
      m_retries(prometheus::BuildCounter()
                    .Name("cardamom_retries_total")
                    .Help("Attempts after the first, by reason")
                    .Register(m_registry)),
      m_promotions(prometheus::BuildCounter()
                       .Name("cardamom_promotions_total")
                       .Help("Promotions that this proxy carried out, by reason")
                       .Register(m_registry)),
      m_durations(prometheus::BuildHistogram()
                      .Name("cardamom_request_seconds")
                      .Help("Duration of requests by operation")
                      .Register(m_registry)),
      m_gauges(prometheus::BuildGauge()
                   .Name("cardamom_state")
                   .Help("State of the proxy by name")
                   .Register(m_registry)) {}

void Metrics::CountRequest(const char* operation, ResultCode code, Duration duration) {
  m_requests.Add({{"operation", operation}, {"code", std::string(InfoOf(code).name)}}).Increment();
  m_durations.Add({{"operation", operation}}, kDurationBucketsSeconds)
      .Observe(std::chrono::duration<double>(duration).count());
}

void Metrics::CountRead(bool from_replica) {
  m_reads.Add({{"server", from_replica ? "replica" : "primary"}}).Increment();
}

void Metrics::CountReadFallback(const char* reason) {
  m_fallbacks.Add({{"reason", reason}}).Increment();
}

void Metrics::CountRetry(const char* reason) {
  m_retries.Add({{"reason", reason}}).Increment();
}

void Metrics::CountPromotion(const char* reason) {
  m_promotions.Add({{"reason", reason}}).Increment();
}

void Metrics::SetGauge(const char* name, double value) {
  m_gauges.Add({{"name", name}}).Set(value);
}

std::string Metrics::Format() {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace cardamom
