// When a token that was handed out in advance may be used, and what others have to mind because it
// may be. The store holds the tokens; these rules are for the time in which it does not answer.
//
// A reserved token is older than tokens that were claimed since, so its holder must be sure that no
// order of another holder is under way: such an order would be carried out after its own. An order
// is only ever sent to a group whose replicas stand stopped, and a promotion changes the term. So a
// group in the reserved term, with all its servers heard and none of them stopped, has no order
// under way.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "failover/fence_row.h"

namespace cardamom {

// The servers of a group as the list showed them last. A value type.
struct GroupCensus {
  std::vector<ServerIncarnation> servers;
  // A server announced that it leaves, or is missing.
  bool changing = false;
};

// A group of fewer servers may have another one that the list does not show yet.
constexpr std::size_t kLeastReservedServers = 3;

// Whether a token may be reserved for the group now. Pure and thread safe.
bool MayReserve(const GroupCensus& census, const FenceRow& row, std::int64_t now_ms);

// The row after a token was reserved. Pure and thread safe.
FenceRow ReserveIn(FenceRow row, TokenReservation reservation);

// What a server of the group said before anything was stopped.
struct SurveyedServer {
  EndpointId endpoint;
  // It answered on a link that is older than the outage, so that it is the listed incarnation.
  bool heard = false;
  bool is_primary = false;
  Term term;
  Term paused_at;
};

// Why the reservation must not be used, or nothing if it may: the list must show what it showed
// then, and every server but `lost_primary` must answer in the reserved term, not stopped and not
// leading. Pure and thread safe.
std::optional<std::string> ObjectionToReserved(const TokenReservation& reservation,
                                               const GroupCensus& census,
                                               const std::optional<EndpointId>& lost_primary,
                                               const std::vector<SurveyedServer>& servers);

// What another proxy says of the store.
enum class StoreAnswer { kSilent, kAway, kInStep };

// Whether the store is away for everyone as far as can be told: nobody reaches it, and at least
// half of those who were asked say so. Pure and thread safe.
bool IsAwayForAll(const std::vector<StoreAnswer>& answers);

}  // namespace cardamom
