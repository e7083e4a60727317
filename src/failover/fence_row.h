// The row of a group in the platform's table that hands out fencing tokens for promotions.
#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/json.h"

namespace cardamom {

// A value type; distinct objects may be used from distinct threads.
struct FenceRow {
  // Last token handed out; each is handed out once.
  std::uint64_t token = 0;
  // The proxy that holds it.
  std::string holder;
  // The holder may have sent an order that has not been answered.
  bool open = false;
  // The store's clock when the row was written.
  std::int64_t at_ms = 0;
};
BOOST_DESCRIBE_STRUCT(FenceRow, (), (token, holder, open, at_ms))

// What a proxy that wants to promote may do about the row.
enum class FenceClaim {
  kClaim,
  // Another proxy is at work, or has just been.
  kWait,
};

// How long a holder is left alone. It covers the stopping of the replicas and the order.
constexpr Millis kFenceQuiet{1500};

// Pure and thread safe. `now_ms` is the store's clock.
inline FenceClaim JudgeFence(const FenceRow& row, const std::string& self, std::int64_t now_ms) {
  const bool recent = now_ms - row.at_ms < kFenceQuiet.count();
  return row.token != 0 && row.holder != self && recent ? FenceClaim::kWait : FenceClaim::kClaim;
}

}  // namespace cardamom
