// Adaptive limit on the requests that one proxy has in progress at one endpoint.
#pragma once

#include <cstddef>

#include "core/clock.h"

namespace cardamom {

// Grows by one a window while latency stays near its floor, and shrinks by a tenth when it rises:
// the endpoint's own queue is then the cause. Pure. Not thread safe.
class ConcurrencyLimit {
 public:
  struct Options {
    std::size_t least = 2;
    std::size_t most = 64;
    std::size_t initial = 5;
    // Latency over its floor at which the limit shrinks.
    double tolerated_ratio = 3.0;
    // Latency under which the limit never shrinks.
    Millis tolerated_latency{5};
  };

  explicit ConcurrencyLimit(const Options& options);

  // Takes the latency of an answered request, sent while `in_progress` requests were in progress.
  void OnAnswer(Duration latency, std::size_t in_progress);
  // Takes a refusal for overload, or a time-out.
  void OnOverload();

  std::size_t limit() const { return static_cast<std::size_t>(m_limit); }

 private:
  const Options m_options;
  double m_limit;
  double m_floor_us = 0;
  std::size_t m_answers = 0;
};

}  // namespace cardamom
