// Rules for tokens that are reserved in advance: when one may be reserved, and when it may be used
// while the store, which holds the tokens, is unavailable.
//
// A reserved token is lower than tokens claimed since, so its holder must be sure that no order of
// another holder is outstanding: such an order would be carried out after its own. An order is only
// sent to a group whose replicas are paused, and a promotion changes the term. So if every server
// of the group but a lost primary has answered, in the reserved term and not paused, no order is
// outstanding.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "failover/fence_row.h"

namespace cardamom {

// The servers of a group in the latest observed list. A value type.
struct ServerListSnapshot {
  std::vector<ServerIncarnation> servers;
  // A server is leaving or has disappeared, or the list may not be complete yet.
  bool changing = false;
};

// Fewest listed servers for a reservation: with fewer, the group may have another server that is
// not listed yet.
constexpr std::size_t kMinServersForReservation = 3;

// Whether a token may be reserved for the group now. `now_ms` is the store's clock. Pure and thread
// safe.
bool MayReserve(const ServerListSnapshot& snapshot, const FenceRow& row, std::int64_t now_ms);

// Returns `row` with `reservation` and the token allocated for it. The row still shows that an
// order with the token of the reservation that it replaces may be outstanding, unless that one is
// `own_unused`, which the caller will not use any more. Pure and thread safe.
FenceRow AddReservation(FenceRow row,
                        TokenReservation reservation,
                        const std::optional<TokenReservation>& own_unused = std::nullopt);

// The state that a server of the group reported before any server was paused.
struct SurveyedServer {
  EndpointId endpoint;
  // The server answered on a link that was opened before the outage, so it is the listed
  // incarnation.
  bool answered = false;
  bool is_primary = false;
  Term term;
  // The term at which the server was paused; 0 if it was not.
  Term paused_at;
  // Start of the process that answered; not set if it is not known.
  std::optional<std::int64_t> started_ms;
};

// Returns why the reservation must not be used, or nothing if it may. The list must show the same
// servers as in the reservation, and each must have answered in the reserved term, not paused at a
// greater term and not as primary; only `lost_primary` need not have answered. Pure and thread
// safe.
std::optional<std::string> FindReservationConflict(const TokenReservation& reservation,
                                                   const ServerListSnapshot& snapshot,
                                                   const std::optional<EndpointId>& lost_primary,
                                                   const std::vector<SurveyedServer>& servers);

// Whether the servers show that no takeover is under way: all answered and none is paused. An order
// is only sent to a group whose replicas are paused. `lost_primary` need not have answered. Pure
// and thread safe.
bool ShowNoTakeover(const std::vector<EndpointId>& listed,
                    const std::optional<EndpointId>& lost_primary,
                    const std::vector<SurveyedServer>& servers);

// Why an order with a lower token than a claimed one may be outstanding.
enum class OutstandingOrder {
  kNone,
  // The row was open before the claim.
  kOpenRow,
  // The store was restored, and the row that would show an order may be lost.
  kLostHistory,
  // A reserved token may be in use.
  kReservation,
};

// Returns the reason, given the row as it was before the claim. `own_unused`: the claimant's own
// reservation, if it has not used it. Pure and thread safe.
OutstandingOrder FindOutstandingOrder(const FenceRow& row,
                                      bool history_lost,
                                      const std::optional<TokenReservation>& own_unused);

// The servers that every reservation names which may be in use; none if one of them is not known.
// Arguments as for FindOutstandingOrder. Pure and thread safe.
std::vector<ServerIncarnation> FindReservedServers(
    const FenceRow& row,
    const std::optional<TokenReservation>& own_unused);

// Whether a holder whose token the platform has seen must wait until orders that were accepted
// before are carried out. Its servers, asked since, may show that there are none: a holder stops
// servers before it sends an order. The holder of a reserved token stops all replicas that the
// reservation names, so only one of these shows that it sent none: a server that joined later was
// not paused, and one that restarted has forgotten that it was. `shows_no_takeover`: see
// ShowNoTakeover. `reserved`: see FindReservedServers. Pure and thread safe.
bool MustWaitUntilSettled(OutstandingOrder reason,
                          bool shows_no_takeover,
                          const std::vector<SurveyedServer>& servers,
                          const std::vector<ServerIncarnation>& reserved);

// Whether another proxy reports the store as up to date or unavailable; kNoAnswer if the proxy did
// not answer.
enum class StoreReport { kNoAnswer, kUnavailable, kUpToDate };

// Whether the store counts as unavailable for all proxies: none of the proxies that were asked
// reports that it reaches the store, and at least half of them report that they do not. Pure and
// thread safe.
bool IsStoreUnavailableForAll(const std::vector<StoreReport>& answers);

}  // namespace cardamom
