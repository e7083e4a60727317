#include "group/watermark_history.h"

#include <algorithm>

namespace cardamom {
namespace {

// Samples closer together than this do not improve the choice of a position.
constexpr Millis kMinSampleSpacing{10};

}  // namespace

void WatermarkHistory::Add(BootTime request_sent_at, Position position) {
  const auto place = std::upper_bound(
      m_samples.begin(), m_samples.end(), request_sent_at,
      [](BootTime time, const Sample& sample) { return time < sample.request_sent_at; });
  // A sample between two that are closer than the spacing is dropped; the newest is always kept.
  if (place != m_samples.end() && place != m_samples.begin() &&
      place->request_sent_at - std::prev(place)->request_sent_at < kMinSampleSpacing) {
    return;
  }
  m_samples.insert(place, Sample{request_sent_at, position});
  while (m_samples.size() > 1 &&
         m_samples.back().request_sent_at - m_samples.front().request_sent_at > m_retention) {
    m_samples.pop_front();
  }
}

std::optional<Position> WatermarkHistory::PositionCovering(BootTime not_before) const {
  std::optional<Position> least;
  for (auto it = m_samples.rbegin(); it != m_samples.rend() && it->request_sent_at >= not_before;
       ++it) {
    least = least ? std::min(*least, it->position) : it->position;
  }
  return least;
}

std::optional<BootTime> WatermarkHistory::LatestSampleTime() const {
  if (m_samples.empty()) {
    return std::nullopt;
  }
  return m_samples.back().request_sent_at;
}

std::optional<Position> WatermarkHistory::LatestPosition() const {
  if (m_samples.empty()) {
    return std::nullopt;
  }
  return m_samples.back().position;
}

std::optional<BootTime> WatermarkHistory::FirstCoveredAt(Position position) const {
  const auto it =
      std::find_if(m_samples.begin(), m_samples.end(),
                   [position](const Sample& sample) { return sample.position >= position; });
  if (it == m_samples.end()) {
    return std::nullopt;
  }
  return it->request_sent_at;
}

Duration WatermarkHistory::LagOf(Position applied, BootTime now) const {
  // The oldest sample above `applied`: the server lacks a commit of that age.
  const auto it = std::find_if(m_samples.begin(), m_samples.end(), [applied](const Sample& sample) {
    return sample.position > applied;
  });
  if (it == m_samples.end() || it->request_sent_at >= now) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(now - it->request_sent_at);
}

}  // namespace cardamom
