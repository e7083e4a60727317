// Token bucket in continuous time.
#pragma once

#include <algorithm>

#include "core/clock.h"

namespace cardamom {

inline double ToSeconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Starts empty, with rate and capacity 0. Not thread safe. Times must not decrease; an earlier time
// counts as the latest one given.
class TokenBucket {
 public:
  // Sets rate and capacity from `now` on. Tokens beyond the new capacity are dropped.
  void Configure(double rate, double capacity, BootTime now) {
    Advance(now);
    m_rate = rate;
    m_capacity = capacity;
    m_level = std::min(m_level, m_capacity);
  }
  void Advance(BootTime now) {
    if (now > m_updated) {
      m_level = std::min(m_capacity, m_level + m_rate * ToSeconds(now - m_updated));
      m_updated = now;
    }
  }
  // Adds up to `tokens`, as far as the capacity allows.
  void Add(double tokens) { m_level = std::min(m_capacity, m_level + tokens); }
  // Takes up to `tokens` and returns how many were taken.
  double Take(double tokens) {
    const double taken = std::clamp(tokens, 0.0, m_level);
    m_level -= taken;
    return taken;
  }

  // Tokens at the time of the last Advance or Configure.
  double level() const { return m_level; }
  double rate() const { return m_rate; }
  double capacity() const { return m_capacity; }

 private:
  double m_rate = 0;
  double m_capacity = 0;
  double m_level = 0;
  BootTime m_updated;
};

}  // namespace cardamom
