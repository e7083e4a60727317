// The row of a group in the platform's table that hands out fencing tokens for promotions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"
#include "core/json.h"

namespace cardamom {

// One incarnation of a database server.
struct ServerIncarnation {
  EndpointId endpoint;
  std::int64_t started_ms = 0;

  bool operator==(const ServerIncarnation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServerIncarnation, (), (endpoint, started_ms))

// A token handed out in advance, for use while the store does not answer.
struct TokenReservation {
  std::uint64_t token = 0;
  std::string holder;
  // The term that the group was in, and all its servers; the token is good for no other.
  Term term;
  std::vector<ServerIncarnation> servers;

  bool operator==(const TokenReservation&) const = default;
};
BOOST_DESCRIBE_STRUCT(TokenReservation, (), (token, holder, term, servers))

// A value type; distinct objects may be used from distinct threads.
struct FenceRow {
  // Last token handed out; each is handed out once.
  std::uint64_t token = 0;
  // The proxy that holds it.
  std::string holder;
  // The holder may have sent an order that was not answered, or is still being carried out.
  bool open = false;
  // The store's clock when the row was written.
  std::int64_t at_ms = 0;
  // At most one is good at a time; it stays here until the next one replaces it, since its holder
  // may be at work unseen.
  std::optional<TokenReservation> reserved;
};
BOOST_DESCRIBE_STRUCT(FenceRow, (), (token, holder, open, at_ms, reserved))

// What a proxy that wants to promote may do about the row.
enum class FenceClaim {
  kClaim,
  // Another proxy is at work, or has just been.
  kWait,
};

// A holder that has not ordered within this time after it took the token gives up.
constexpr Millis kOrderWithin{1000};
// How long a holder is left alone before its order, and after it. The latter covers the platform's
// time to carry the order out: what a second holder compares must not change under it.
constexpr Millis kQuietBeforeOrder{1200};
constexpr Millis kQuietAfterOrder{2500};

// Pure and thread safe. `now_ms` is the store's clock.
inline FenceClaim JudgeFence(const FenceRow& row, const std::string& self, std::int64_t now_ms) {
  if (row.token == 0 || row.holder == self) {
    return FenceClaim::kClaim;
  }
  const auto quiet = row.open ? kQuietAfterOrder : kQuietBeforeOrder;
  return now_ms - row.at_ms < quiet.count() ? FenceClaim::kWait : FenceClaim::kClaim;
}

}  // namespace cardamom
