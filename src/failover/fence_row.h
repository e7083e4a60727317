// The row of a group in the store's table that allocates fencing tokens for promotions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"
#include "core/json.h"
#include "core/store_position.h"

namespace cardamom {

// One run of a database server, identified by its start in Unix milliseconds.
struct ServerIncarnation {
  EndpointId endpoint;
  std::int64_t started_ms = 0;

  bool operator==(const ServerIncarnation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServerIncarnation, (), (endpoint, started_ms))

// The servers of a group that have to be compared before one of them is promoted. Processes that
// start later have no other evidence of those that have left.
struct GroupRoster {
  // Servers that may hold acknowledged commits after `covered_by`: those that are listed, and those
  // that disappeared from the list a short time ago.
  std::vector<ServerIncarnation> servers;
  // Every other server that the group has had acknowledged no commit after this position. Not set
  // if none has left.
  std::optional<Position> covered_by;

  bool operator==(const GroupRoster&) const = default;
};
BOOST_DESCRIBE_STRUCT(GroupRoster, (), (servers, covered_by))

// A primary that a takeover stopped without ordering a promotion. Until a server is promoted or
// this one leads again, the group acknowledges nothing, so no acknowledged commit is after
// `log_end`.
struct StoppedPrimary {
  ServerIncarnation server;
  // The server had announced that it leaves, so once it is gone it does not lead again.
  bool leaving = false;
  // The term that it led.
  Term term;
  Position log_end;

  bool operator==(const StoppedPrimary&) const = default;
};
BOOST_DESCRIBE_STRUCT(StoppedPrimary, (), (server, leaving, term, log_end))

// A token allocated in advance, for use while the store is unavailable.
struct TokenReservation {
  std::uint64_t token = 0;
  std::string holder;
  // The group's term and all its servers when the token was reserved; the token is valid for no
  // others.
  Term term;
  std::vector<ServerIncarnation> servers;

  bool operator==(const TokenReservation&) const = default;
};
BOOST_DESCRIBE_STRUCT(TokenReservation, (), (token, holder, term, servers))

// A value type; distinct objects may be used from distinct threads.
struct FenceRow {
  // Last allocated token; each is allocated once.
  std::uint64_t token = 0;
  // The proxy that last claimed a token; a reservation does not change it.
  std::string holder;
  // An order of this or an earlier holder may be outstanding: sent, and neither refused nor known
  // to have been carried out.
  bool open = false;
  // The store's clock when the holder last wrote the row.
  std::int64_t at_ms = 0;
  // The latest reservation; no other one is valid. It stays in the row until the next one replaces
  // it, since its holder may be using it without access to the store.
  std::optional<TokenReservation> reserved;
  // The platform has seen this token, so it accepts no order with a lower one.
  std::uint64_t void_below = 0;
  // The store's clock when every order that was accepted before is carried out. Until then the logs
  // may change, so no one claims a token.
  std::int64_t settled_at_ms = 0;
  // Greatest token of a reservation that was replaced although its holder may have used it.
  std::uint64_t replaced = 0;
  // The servers that all reservations up to `replaced` name that are not void. Not set if they are
  // not known.
  std::optional<std::vector<ServerIncarnation>> replaced_servers;
  // Not set in a row that was last written by a version without it, or before the first roster.
  std::optional<GroupRoster> roster;
  // Set if no order of any token can have been accepted since the primary was stopped.
  std::optional<StoppedPrimary> stopped_primary;
  // The store's clock from which on no proxy passes on acknowledgements until the takeover ends,
  // whether or not a holder reaches it; 0 if there is none.
  std::int64_t leases_end_at_ms = 0;
};
BOOST_DESCRIBE_STRUCT(FenceRow,
                      (),
                      (token,
                       holder,
                       open,
                       at_ms,
                       reserved,
                       void_below,
                       settled_at_ms,
                       replaced,
                       replaced_servers,
                       roster,
                       stopped_primary,
                       leases_end_at_ms))

// The latest roster that the rows of a group hold, which are given from the latest era on. The
// servers of a reservation of a later era are added to it, and stand for it if there is none.
// Returns nothing if the rows name no servers. Pure and thread safe.
std::optional<GroupRoster> FindLatestRoster(const std::vector<FenceRow>& rows);

// Tokens of one era of the store: those of a later era are greater, although the rows that
// allocated the earlier ones may be lost.
constexpr unsigned kTokenBitsPerEra = 32;

// The era in which `token` was allocated. Pure and thread safe.
inline StoreEra EraOfToken(std::uint64_t token) {
  return StoreEra(token >> kTokenBitsPerEra);
}

// Key of the row of a group. Each era has rows of its own: a write that was prepared in one era and
// is carried out in the next one, where its expected version was given out again, must not replace
// a row of that era. Thread safe.
inline std::string FenceRowKey(const GroupId& group, StoreEra era) {
  return era == StoreEra() ? group.value() : group.value() + "@" + std::to_string(era.value());
}

// The row to start from in an era that has none. In all eras but 0 an order of an earlier era may
// be pending, since the row that would show it may be lost; a reservation of an earlier era counts
// as replaced. Pure and thread safe.
inline FenceRow InitialFenceRow(StoreEra era) {
  FenceRow row;
  row.token = era.value() << kTokenBitsPerEra;
  row.open = era > StoreEra();
  row.replaced = row.token;
  return row;
}

// Whether a proxy that wants to promote may claim a token.
enum class FenceClaim {
  kClaim,
  // Another proxy is performing a takeover, or did so a moment ago.
  kWait,
};

// A holder sends no order, and no request to a server, later than this after it began to claim the
// token.
constexpr Millis kTokenValidity{1000};
// How long other proxies hold off after the holder's last write: the validity of its token and the
// time-out of a request that it sent at the last moment.
constexpr Millis kHoldOff{1400};
// Longest time from the acceptance of an order to the promotion.
constexpr Millis kPromotionTime{1500};

// Decides whether the proxy `self` may claim a token. `now_ms` is the store's clock. Pure and
// thread safe.
inline FenceClaim DecideFenceClaim(const FenceRow& row,
                                   const std::string& self,
                                   std::int64_t now_ms) {
  if (now_ms < row.settled_at_ms) {
    return FenceClaim::kWait;
  }
  if (row.holder.empty() || row.holder == self) {
    return FenceClaim::kClaim;
  }
  return now_ms - row.at_ms < kHoldOff.count() ? FenceClaim::kWait : FenceClaim::kClaim;
}

// Records in `row` that the platform has seen the row's token, so that no earlier order will be
// accepted, and that those accepted before `now_ms` are carried out within kPromotionTime. Pure and
// thread safe.
inline FenceRow MarkEarlierOrdersVoid(FenceRow row, std::int64_t now_ms) {
  row.open = false;
  row.void_below = row.token;
  row.settled_at_ms = now_ms + kPromotionTime.count();
  return row;
}

// Longest time from the beginning of a hold to MarkNoticePosted: requests to servers, an
// announcement, the notice and a call to the store.
constexpr Millis kHoldBeforeMark{3500};

// Records that a notice of the takeover was in the store at `now_ms` and that no order has been
// sent, so that the next attempt need not reach every proxy. Nobody claims a token before.
// Precondition: the hold began at most kHoldBeforeMark ago. Pure and thread safe.
FenceRow MarkNoticePosted(FenceRow row, std::int64_t now_ms);

// Whether no proxy passes on acknowledgements at `now_ms`, and until an order of a token that is
// claimed now has been carried out. Pure and thread safe.
bool HaveLeasesEnded(const FenceRow& row, std::int64_t now_ms);

// Decides whether a proxy may make the first claim of a group in an era of the store that it has
// observed for `era_age`. A holder of the era before may resume servers until its token expires.
// Pure and thread safe.
inline FenceClaim DecideFirstFenceClaim(Duration era_age) {
  return era_age < kHoldOff ? FenceClaim::kWait : FenceClaim::kClaim;
}

}  // namespace cardamom
