// Replaces the primary of a group: claims a fencing token, stops the replicas, chooses the
// successor and orders its promotion.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "directory/table_port.h"
#include "failover/fence_row.h"
#include "failover/successor.h"
#include "gateway/fence_store.h"
#include "gateway/outage_takeover.h"
#include "gateway/server_poll.h"
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
  // Reads the server list again. Returns false if the store does not answer.
  using RefreshServers = std::function<asio::awaitable<bool>()>;
  // Whether the store was recently unavailable, or may have been, so that a holder of a reserved
  // token may have stopped servers.
  using StoreWasUnavailable = std::function<bool()>;
  // How long ago this proxy first observed the era of the store; 0 if it has not yet.
  using EraAge = std::function<Duration(StoreEra era)>;
  // Records that the store did not answer.
  using OnStoreFailure = std::function<void()>;

  Takeover(GatewayContext& context,
           TablePort table,
           PromotionOrder order,
           RefreshServers refresh_servers,
           StoreWasUnavailable store_was_unavailable,
           EraAge era_age,
           OnStoreFailure on_store_failure,
           OutageTakeover& outage);

  // Makes one attempt. If it ends half-way, the group is left to the next attempt, which uses a
  // greater token unless the token was reserved. Precondition: no other attempt of this object for
  // `group` is in progress.
  asio::awaitable<TakeoverResult> Run(std::shared_ptr<GroupClient> group, TakeoverReason reason);

 private:
  struct Claim {
    FenceRow row;
    // An order of an earlier holder may still be pending.
    bool order_may_be_pending = false;
    // The store holds no earlier row of the group in its era, so the row does not show what was
    // ordered before the store was restored.
    bool history_lost = false;
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
  // For the first claim in an era of the store: returns whether the attempt must end, after the
  // time that an order of an earlier era may take. If the servers show that none is pending, writes
  // so to the row.
  asio::awaitable<bool> HoldOffForEarlierEra(std::shared_ptr<GroupClient> group,
                                             Claim& claim,
                                             const ServerStatuses& statuses);
  // Whether the holder of the reserved token may have stopped servers. The group's fence row does
  // not show whether it also sent an order.
  bool MayBeStoppedByReservation(const GroupClient& group,
                                 const Claim& claim,
                                 const ServerStatuses& statuses) const;
  // Writes to the group's fence row whether an order may be pending. Returns false if another token
  // has been claimed or reserved since, or the store does not answer.
  asio::awaitable<bool> SetOrderPending(const GroupClient& group, Claim& claim, bool pending);
  // Resumes stopped replicas, unless an order of an earlier holder may be pending.
  asio::awaitable<void> Resume(std::shared_ptr<GroupClient> group,
                               Claim claim,
                               std::optional<EndpointId> primary);
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
  const StoreWasUnavailable m_store_was_unavailable;
  const EraAge m_era_age;
  const OnStoreFailure m_on_store_failure;
  OutageTakeover& m_outage;
};

}  // namespace cardamom
