#include "limits/concurrency_limit.h"

#include <algorithm>

namespace cardamom {
namespace {

constexpr double kShrink = 0.9;
constexpr double kOverloadShrink = 0.7;
// Growth of the latency floor per response, so that it follows a lasting rise of the service time.
constexpr double kFloorDrift = 1.002;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options& options)
    : m_options(options), m_limit(static_cast<double>(options.initial)) {}

void ConcurrencyLimit::OnAnswer(Duration latency, std::size_t in_progress) {
  const double us = std::chrono::duration<double, std::micro>(latency).count();
  m_floor_us = m_floor_us == 0 ? us : std::min(us, m_floor_us * kFloorDrift);
  if (++m_answers < limit()) {
    return;
  }
  m_answers = 0;
  const bool slow =
      us > m_floor_us * m_options.tolerated_ratio && latency > m_options.tolerated_latency;
  if (slow) {
    m_limit = std::max(static_cast<double>(m_options.least), m_limit * kShrink);
  } else if (2 * in_progress >= limit()) {
    // A limit that is less than half used gives no evidence that it is too small.
    m_limit = std::min(static_cast<double>(m_options.most), m_limit + 1);
  }
}

void ConcurrencyLimit::OnOverload() {
  m_limit = std::max(static_cast<double>(m_options.least), m_limit * kOverloadShrink);
}

}  // namespace cardamom
