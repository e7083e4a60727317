// Replaces the primary of a group: fencing token, stop of the replicas, choice, order.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "directory/table_port.h"
#include "failover/fence_row.h"
#include "failover/successor.h"
#include "gateway/outage_takeover.h"
#include "gateway/server_poll.h"
#include "gateway/takeover_result.h"

namespace cardamom {

enum class TakeoverReason {
  // The primary does not answer, or none leads.
  kFailed,
  // The primary leaves.
  kLeaving,
  // The primary answers, but its replicas do not receive.
  kStalled,
};

// Not thread safe: all use is on the thread of the context.
class Takeover {
 public:
  // Reads the list of servers anew. Returns false if the store does not answer.
  using RefreshServers = std::function<asio::awaitable<bool>()>;
  // Whether the store was away lately, or may have been: a holder of a reserved token may have
  // stopped servers.
  using StoreWasAway = std::function<bool()>;
  // Takes note that the store did not answer.
  using OnStoreFailure = std::function<void()>;

  Takeover(GatewayContext& context,
           TablePort table,
           PromotionOrder order,
           RefreshServers refresh_servers,
           StoreWasAway store_was_away,
           OnStoreFailure on_store_failure,
           OutageTakeover& outage);

  // Tries once. Whatever stops it half-way leaves the group to the next try, at a greater token.
  asio::awaitable<TakeoverResult> Run(std::shared_ptr<GroupClient> group, TakeoverReason reason);

 private:
  struct Claim {
    FenceRow row;
    // The holder before may have left an order under way.
    bool was_open = false;
    // An order, or a resume, is sent before this time or not at all.
    BootTime valid_until;
  };

  // Whether the primary answers after all, or is alive but too busy to.
  static asio::awaitable<bool> StillLeads(GroupClient& group);
  struct ClaimResult {
    std::optional<Claim> claim;
    // The store did not answer.
    bool store_away = false;
  };
  asio::awaitable<ClaimResult> TakeToken(const GroupClient& group);
  // Whether servers may have been stopped by the holder of the reserved token, of whose order the
  // row tells nothing.
  bool MayBeStoppedUnseen(const GroupClient& group,
                          const Claim& claim,
                          const ServerStatuses& statuses) const;
  // Writes whether an order of this proxy may be under way. Returns false if another proxy holds
  // the row by now or the store does not say.
  asio::awaitable<bool> MarkRow(const GroupClient& group, Claim& claim, bool open);
  // Lets stopped replicas receive again, unless an order may be under way.
  asio::awaitable<void> Resume(std::shared_ptr<GroupClient> group,
                               Claim claim,
                               std::optional<EndpointId> leader);
  // A primary that may stay: this proxy alone had lost sight of it.
  asio::awaitable<std::optional<EndpointId>> FindHealthyPrimary(std::shared_ptr<GroupClient> group,
                                                                TakeoverReason reason,
                                                                const ServerStatuses& statuses);
  // Whether the replicas really receive nothing of a primary that answers.
  asio::awaitable<bool> ConfirmStall(std::shared_ptr<GroupClient> group,
                                     const ServerStatuses& before);
  asio::awaitable<TakeoverResult> Promote(std::shared_ptr<GroupClient> group,
                                          TakeoverReason reason,
                                          ServerStatuses statuses,
                                          Claim claim);
  void Log(EventCode code, const GroupClient& group, const std::string& detail, Term term = {});

  GatewayContext& m_context;
  const TablePort m_table;
  const PromotionOrder m_order;
  const RefreshServers m_refresh_servers;
  const StoreWasAway m_store_was_away;
  const OnStoreFailure m_on_store_failure;
  OutageTakeover& m_outage;
};

}  // namespace cardamom
