// Replaces the primary of a group: claims a fencing token, stops the replicas, chooses the
// successor and orders its promotion.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "directory/table_port.h"
#include "failover/fence_row.h"
#include "failover/successor.h"
#include "gateway/fence_store.h"
#include "gateway/outage_takeover.h"
#include "gateway/successor_choice.h"
#include "gateway/takeover_result.h"

namespace cardamom {

enum class TakeoverReason {
  // The primary does not answer, or there is none.
  kFailed,
  // The primary is leaving.
  kLeaving,
  // The primary answers, but its replicas do not receive its log entries.
  kStalled,
};

// `context` and `outage` must outlive the object. Not thread safe: all use is on the thread of the
// context.
class Takeover {
 public:
  // How long ago this proxy first observed the era of the store; 0 if it has not yet.
  using EraAge = std::function<Duration(StoreEra era)>;
  // Records that the store did not answer.
  using OnStoreFailure = std::function<void()>;

  Takeover(GatewayContext& context,
           TablePort table,
           PromotionOrder order,
           RefreshServers refresh_servers,
           EraAge era_age,
           OnStoreFailure on_store_failure,
           HoldHooks hold_hooks,
           OutageTakeover& outage);

  // Makes one attempt. If it ends half-way, the group is left to the next attempt, which uses a
  // greater token unless the token was reserved. Precondition: no other attempt of this object for
  // `group` is in progress.
  asio::awaitable<TakeoverResult> Run(std::shared_ptr<GroupClient> group, TakeoverReason reason);

 private:
  struct Claim {
    FenceRow row;
    std::optional<GroupRoster> roster;
    OutstandingOrder outstanding = OutstandingOrder::kNone;
    // See FindReservedServers.
    std::vector<ServerIncarnation> reserved_servers;
    // The primary that this attempt or an earlier one stopped, if no order has been sent since.
    std::optional<StoppedPrimary> stopped_primary;
    // The platform has seen the token.
    bool announced = false;
    // No proxy passes on acknowledgements, also those that give no answer, see HaveLeasesEnded.
    bool have_leases_ended = false;
    // No order and no resume is sent after this time.
    BootTime valid_until;
  };

  // Whether the primary answers a last probe, or is alive but too busy to answer.
  static asio::awaitable<bool> IsPrimaryAlive(GroupClient& group);
  struct ClaimResult {
    std::optional<Claim> claim;
    // The store did not answer.
    bool store_unavailable = false;
  };
  asio::awaitable<ClaimResult> ClaimToken(const GroupClient& group);
  // The reservation in `row` if this proxy holds it and has not used it.
  std::optional<TokenReservation> OwnUnusedReservation(const GroupClient& group,
                                                       const FenceRow& row) const;
  // Makes the token known to the platform by an order that cannot be carried out, so that it
  // accepts no order with a lower token from then on. Returns false if it gives no answer while the
  // token is valid.
  asio::awaitable<bool> AnnounceToken(const GroupClient& group, Claim& claim);
  // The statuses of all listed servers that answer.
  asio::awaitable<ServerAnswers> Survey(std::shared_ptr<GroupClient> group);
  // Replaces the group's fence row by `change(row, the store's clock)`. Returns false if another
  // token has been claimed or reserved since, or the store does not answer.
  asio::awaitable<bool> UpdateRow(const GroupClient& group,
                                  Claim& claim,
                                  std::function<FenceRow(FenceRow, std::int64_t)> change);
  // Writes to the group's fence row whether an order may be outstanding and, unless one may, which
  // primary was stopped; errors as UpdateRow.
  asio::awaitable<bool> SetOrderOutstanding(const GroupClient& group,
                                            Claim& claim,
                                            bool outstanding);
  // Ends an attempt whose token was announced, once all orders that were accepted before have been
  // carried out.
  asio::awaitable<TakeoverResult> WaitUntilSettled(std::shared_ptr<GroupClient> group, Claim claim);
  // Resumes stopped replicas. Precondition: no order is outstanding.
  asio::awaitable<void> Resume(std::shared_ptr<GroupClient> group,
                               Claim claim,
                               std::optional<EndpointId> primary);
  // Replaces the primary with the claimed token, unless a primary turns out to be healthy.
  asio::awaitable<TakeoverResult> Replace(std::shared_ptr<GroupClient> group,
                                          TakeoverReason reason,
                                          Claim claim);
  // Ends an attempt that found a healthy primary.
  asio::awaitable<TakeoverResult> KeepPrimary(std::shared_ptr<GroupClient> group,
                                              Claim claim,
                                              EndpointId primary,
                                              ServerStatuses statuses);
  // Ends an attempt that stopped the servers and sent no order. Returns kBackedOff if all is as
  // before.
  asio::awaitable<TakeoverResult> GiveUp(std::shared_ptr<GroupClient> group,
                                         Claim claim,
                                         std::string reason);
  // Ends an attempt that stopped the servers and did not reach every proxy, once none of them
  // passes on acknowledgements any more. The hold stays. Precondition: `hold` is started.
  asio::awaitable<TakeoverResult> WaitUntilLeasesEnd(std::shared_ptr<GroupClient> group,
                                                     Claim claim,
                                                     PendingHold hold);
  // Keeps `claim.stopped_primary` only if no order can be accepted any more, which takes an
  // announcement if a token is reserved.
  asio::awaitable<void> ConfirmStoppedPrimary(const GroupClient& group, Claim& claim);
  // Ends the hold of an attempt that sent no order, or whose order was refused, and holds with
  // lower tokens. `leading`: the greatest term of a primary of the group. Precondition: no order is
  // outstanding.
  void ReleaseUnchanged(const GroupClient& group, const Claim& claim, Term leading);
  // A primary that works and need not be replaced, such as one that only this proxy had lost
  // contact with.
  asio::awaitable<std::optional<EndpointId>> FindHealthyPrimary(std::shared_ptr<GroupClient> group,
                                                                TakeoverReason reason,
                                                                const ServerStatuses& statuses);
  // Whether all replicas that answer still lack, after a pause, what the primary held in `before`.
  asio::awaitable<bool> ConfirmStall(std::shared_ptr<GroupClient> group,
                                     const ServerStatuses& before);
  asio::awaitable<TakeoverResult> Promote(std::shared_ptr<GroupClient> group,
                                          TakeoverReason reason,
                                          ServerStatuses statuses,
                                          Claim claim);
  void Log(EventCode code, const GroupClient& group, const std::string& detail, Term term = {});

  GatewayContext& m_context;
  const FenceStore m_fences;
  const PromotionOrder m_order;
  const RefreshServers m_refresh_servers;
  const EraAge m_era_age;
  const OnStoreFailure m_on_store_failure;
  const HoldHooks m_hold_hooks;
  OutageTakeover& m_outage;
};

}  // namespace cardamom
