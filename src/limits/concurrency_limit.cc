#include "limits/concurrency_limit.h"

#include <algorithm>

namespace cardamom {
namespace {

constexpr double kLatencyDecreaseFactor = 0.9;
constexpr double kOverloadDecreaseFactor = 0.7;
// Growth of the latency floor per response, so that it follows a lasting rise of the service time.
constexpr double kLatencyFloorGrowth = 1.002;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options& options)
    : m_options(options), m_limit(static_cast<double>(options.initial_limit)) {}

void ConcurrencyLimit::OnResponse(Duration latency, std::size_t in_progress) {
  const double latency_us = std::chrono::duration<double, std::micro>(latency).count();
  m_latency_floor_us = m_latency_floor_us == 0
                           ? latency_us
                           : std::min(latency_us, m_latency_floor_us * kLatencyFloorGrowth);
  if (++m_responses_in_window < limit()) {
    return;
  }
  m_responses_in_window = 0;
  const bool slow = latency_us > m_latency_floor_us * m_options.latency_ratio_threshold &&
                    latency > m_options.latency_threshold;
  if (slow) {
    m_limit = std::max(static_cast<double>(m_options.min_limit), m_limit * kLatencyDecreaseFactor);
  } else if (2 * in_progress >= limit()) {
    // A limit that is less than half used gives no evidence that it is too small.
    m_limit = std::min(static_cast<double>(m_options.max_limit), m_limit + 1);
  }
}

void ConcurrencyLimit::OnOverload() {
  m_limit = std::max(static_cast<double>(m_options.min_limit), m_limit * kOverloadDecreaseFactor);
}

}  // namespace cardamom
