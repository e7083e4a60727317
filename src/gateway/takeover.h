// Replaces the primary of a group: fencing token, stop of the replicas, choice, order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "directory/table_port.h"
#include "failover/fence_row.h"
#include "failover/successor.h"
#include "gateway/group_client.h"

namespace cardamom {

enum class TakeoverReason {
  // The primary does not answer, or none leads.
  kFailed,
  // The primary leaves.
  kLeaving,
  // The primary answers, but its replicas do not receive.
  kStalled,
};

enum class TakeoverResult {
  // A primary leads.
  kSettled,
  // Another proxy is at work, or the store does not answer.
  kGaveWay,
  // Replicas were stopped and stay so until the next try, which should follow at once.
  kUnfinished,
};

// Not thread safe: all use is on the thread of the context.
class Takeover {
 public:
  // Reads the list of servers anew. Returns false if the store does not answer.
  using RefreshServers = std::function<asio::awaitable<bool>()>;

  Takeover(GatewayContext& context,
           TablePort table,
           PromotionOrder order,
           RefreshServers refresh_servers);

  // Tries once. Whatever stops it half-way leaves the group to the next try, at a greater token.
  asio::awaitable<TakeoverResult> Run(std::shared_ptr<GroupClient> group, TakeoverReason reason);

 private:
  using Statuses = std::map<EndpointId, EndpointStatus>;

  // The answers to one question to several servers.
  struct Answers {
    Statuses statuses;
    std::map<EndpointId, Error> failures;
  };

  struct Claim {
    FenceRow row;
    // The holder before may have left an order under way.
    bool was_open = false;
    // An order, or a resume, is sent before this time or not at all.
    BootTime valid_until;
  };

  // Whether a primary that did not take the order to step down works all the same.
  static asio::awaitable<bool> AnyWorks(std::shared_ptr<GroupClient> group,
                                        const std::vector<StoppedServer>& servers);
  // Whether the primary answers after all, or is alive but too busy to.
  static asio::awaitable<bool> StillLeads(GroupClient& group);
  asio::awaitable<std::optional<Claim>> TakeToken(const GroupClient& group);
  // Writes whether an order of this proxy may be under way. Returns false if another proxy holds
  // the row by now or the store does not say.
  asio::awaitable<bool> MarkRow(const GroupClient& group, Claim& claim, bool open);
  // Lets stopped replicas receive again, unless an order may be under way.
  asio::awaitable<void> Resume(std::shared_ptr<GroupClient> group,
                               Claim claim,
                               std::optional<EndpointId> leader);
  // Sends `operation` to all of `targets` at once and gathers the answers.
  asio::awaitable<Answers> AskAll(std::shared_ptr<GroupClient> group,
                                  std::vector<GroupClient::EndpointPtr> targets,
                                  EndpointOperation operation,
                                  Term term,
                                  std::optional<BootTime> valid_until = std::nullopt);
  // A primary that may stay: this proxy alone had lost sight of it.
  asio::awaitable<std::optional<EndpointId>> FindHealthyPrimary(std::shared_ptr<GroupClient> group,
                                                                TakeoverReason reason,
                                                                const Statuses& statuses);
  // Whether the replicas really receive nothing of a primary that answers.
  asio::awaitable<bool> ConfirmStall(std::shared_ptr<GroupClient> group, const Statuses& before);
  asio::awaitable<TakeoverResult> Promote(std::shared_ptr<GroupClient> group,
                                          TakeoverReason reason,
                                          Statuses statuses,
                                          Claim claim);
  // Stops the replicas and the old primary, and says what their logs hold.
  asio::awaitable<std::vector<StoppedServer>> StopAll(std::shared_ptr<GroupClient> group,
                                                      const Statuses& statuses,
                                                      Term stop_at);
  asio::awaitable<bool> WaitForLead(std::shared_ptr<GroupClient> group, EndpointId endpoint);
  void Log(EventCode code, const GroupClient& group, const std::string& detail, Term term = {});

  GatewayContext& m_context;
  const TablePort m_table;
  const PromotionOrder m_order;
  const RefreshServers m_refresh_servers;
};

}  // namespace cardamom
