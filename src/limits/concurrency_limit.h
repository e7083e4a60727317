// Adaptive limit on the requests that one proxy has in progress at one endpoint.
#pragma once

#include <cstddef>

#include "core/clock.h"

namespace cardamom {

// Additive-increase, multiplicative-decrease limit, adjusted once per window of limit() responses.
// It grows by one while latency stays near its floor, the lowest recent latency, and shrinks by a
// tenth when latency rises, which shows that requests queue at the endpoint. Performs no I/O. Not
// thread safe.
class ConcurrencyLimit {
 public:
  struct Options {
    std::size_t min_limit = 2;
    std::size_t max_limit = 64;
    std::size_t initial_limit = 5;
    // Ratio of latency to its floor above which the limit shrinks.
    double latency_ratio_threshold = 3.0;
    // A latency up to this never shrinks the limit.
    Millis latency_threshold{5};
  };

  explicit ConcurrencyLimit(const Options& options);

  // Records the latency of an answered request that was sent while `in_progress` requests were in
  // progress.
  void OnResponse(Duration latency, std::size_t in_progress);
  // Records a refusal for overload, or a timeout. Shrinks the limit at once.
  void OnOverload();

  std::size_t limit() const { return static_cast<std::size_t>(m_limit); }

 private:
  const Options m_options;
  double m_limit;
  double m_latency_floor_us = 0;
  std::size_t m_responses_in_window = 0;
};

}  // namespace cardamom
