// Samples of a group's commit watermark and their age.
#pragma once

#include <deque>
#include <optional>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// A sample (request_sent_at, position) states that every commit acknowledged before
// `request_sent_at` is at or below `position`. Only the primary can provide samples. Performs no
// I/O. Not thread safe.
class WatermarkHistory {
 public:
  // Samples that are older than the newest one by more than `retention` are dropped.
  explicit WatermarkHistory(Duration retention) : m_retention(retention) {}

  // Adds a sample. `request_sent_at` is when the request was sent, not when its answer arrived.
  void Add(BootTime request_sent_at, Position position);

  // The least position that is known to cover every commit acknowledged before `not_before`;
  // nothing if no sample was requested at or after `not_before`.
  std::optional<Position> PositionCovering(BootTime not_before) const;

  // When the newest sample was requested; nothing if there is none.
  std::optional<BootTime> LatestSampleTime() const;

  // The position of the newest sample; nothing if there is none.
  std::optional<Position> LatestPosition() const;

  // When the first sample that covers `position` was requested; nothing if none covers it.
  std::optional<BootTime> FirstCoveredAt(Position position) const;

  // Least time by which a server that has applied `applied` at `now` lags; zero if no sample shows
  // a lag.
  Duration LagOf(Position applied, BootTime now) const;

  // Removes all samples.
  void Clear() { m_samples.clear(); }

 private:
  struct Sample {
    BootTime request_sent_at;
    Position position;
  };

  const Duration m_retention;
  // In ascending order of `request_sent_at`.
  std::deque<Sample> m_samples;
};

}  // namespace cardamom
