// Samples of a group's commit watermark and their age.
#pragma once

#include <deque>
#include <optional>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// A sample (asked_at, position) says: every commit that was acknowledged before `asked_at` lies at
// or below `position`. Only the server that leads the group can give one. Pure. Not thread safe.
class WatermarkHistory {
 public:
  // Samples older than `keep` are dropped.
  explicit WatermarkHistory(Duration keep) : m_keep(keep) {}

  // Adds a sample. `asked_at` is when the question was sent, not when the answer came.
  void Add(BootTime asked_at, Position position);

  // The least position that is known to cover every commit acknowledged before `not_before`;
  // nothing if no sample is that young.
  std::optional<Position> Covering(BootTime not_before) const;

  // When the youngest sample was asked for.
  std::optional<BootTime> Youngest() const;

  // When `position` was first covered by a sample; nothing if none covers it.
  std::optional<BootTime> FirstCovered(Position position) const;

  // Least time by which a server that had applied `applied` at `now` lags; zero if no sample shows
  // a lag.
  Duration LagOf(Position applied, BootTime now) const;

  void Clear() { m_samples.clear(); }

 private:
  struct Sample {
    BootTime asked_at;
    Position position;
  };

  const Duration m_keep;
  // In ascending order of `asked_at`.
  std::deque<Sample> m_samples;
};

}  // namespace cardamom
