// Converts the store's clock to local time, to tell how current an answer of the store is.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/store_position.h"

namespace cardamom {

// An answer shows the store's state when the store's clock had the value that it carries. An answer
// to a call that waited for changes may be sent seconds after the call, so the time of the call
// alone is a poor bound. Bounds from earlier answers convert the value more tightly. Performs no
// I/O: the time is passed in. Not thread safe.
class StoreClock {
 public:
  // Answers prove nothing while their era is younger: the store may have been restored from an
  // older copy, and what was written since the copy is written again within this time.
  static constexpr Millis kEraSettleTime{1200};

  // An answer of the store and when, by the local clock, its call was sent and it arrived.
  struct Answer {
    StoreEra era;
    // The store's clock, cut to whole milliseconds; 0 if the store does not report it.
    std::int64_t now_ms = 0;
    BootTime sent_at;
    BootTime received_at;
  };

  // Records an answer. Returns a local time at which, or after which, the store had the answered
  // state; nullopt if the answer proves nothing because of its era.
  std::optional<BootTime> RecordAnswer(const Answer& answer);

  // The time that the next call that follows a table may wait for changes, at most `wait`. Shorter
  // if an answer is needed sooner: the first one that proves anything, and from time to time a
  // quick one, without which the bound becomes inexact.
  Millis LimitWait(Millis wait, BootTime now);

 private:
  // At local time `local` or later, the store's clock had the value `now_ms`.
  struct Bound {
    BootTime local;
    std::int64_t now_ms = 0;
    // How far `local` may be before the actual time.
    BootClock::duration error{};
  };

  // The local time that follows from the bound for the value `now_ms`; nullopt if there is no bound
  // or the values are too far apart.
  std::optional<BootTime> Convert(std::int64_t now_ms) const;

  std::optional<StoreEra> m_era;
  BootTime m_era_seen_at;
  bool m_proven_in_era = false;
  std::optional<Bound> m_bound;
  std::optional<BootTime> m_quick_call_at;
};

}  // namespace cardamom
