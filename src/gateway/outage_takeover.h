// Replaces a lost primary while the store does not answer, with a token reserved in advance.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "directory/table_port.h"
#include "failover/outage_rules.h"
#include "gateway/server_poll.h"
#include "gateway/takeover_result.h"

namespace cardamom {

// What the outage takeover asks of the rest of the proxy.
struct OutageHooks {
  // The one proxy that reserves tokens of a group.
  std::function<bool(const GroupId& group)> is_reserver;
  // When the list of servers was last known to be the store's, if it is not now.
  std::function<std::optional<TimePoint>()> store_lost_at;
  // Asks the other homes of the group whether the store answers them.
  std::function<asio::awaitable<std::vector<StoreAnswer>>(GroupId group)> ask_others;
};

// Not thread safe: all use is on the thread of the context.
class OutageTakeover {
 public:
  OutageTakeover(GatewayContext& context, TablePort table, PromotionOrder order, OutageHooks hooks);

  // Reserves a token of `group` if this proxy is its reserver and none is good. Call it often; it
  // calls the store seldom.
  void Maintain(std::shared_ptr<GroupClient> group);

  // Tries once to replace a primary that does not answer. Precondition: the store did not answer
  // just now. What it cannot prove to be safe it leaves to the store's return.
  asio::awaitable<TakeoverResult> Run(std::shared_ptr<GroupClient> group);

  // Whether a try may succeed: the store is known to be lost and a token is held for the group.
  bool MayRun(const GroupId& group) const;

  // Whether this process holds `reservation` and has not used it.
  bool HoldsUnused(const GroupId& group, const TokenReservation& reservation) const;

 private:
  struct Held {
    std::optional<TokenReservation> reservation;
    // Ordered with the token, which is good for no other from then on.
    std::optional<EndpointId> ordered;
    // The order may be repeated until then: the servers stand as they were compared.
    BootTime valid_until;
    // The platform refused the token, or its servers were stopped without a choice.
    bool spent = false;
    bool reserving = false;
    TimePoint next_try;
    std::optional<TimePoint> reserver_since;
  };

  asio::awaitable<void> Reserve(std::shared_ptr<GroupClient> group);
  // The reservation written to the store, or nothing.
  asio::awaitable<std::optional<TokenReservation>> WriteReservation(
      std::shared_ptr<GroupClient> group);
  bool IsGood(const Held& held, const GroupClient& group) const;
  asio::awaitable<std::vector<SurveyedServer>> Survey(std::shared_ptr<GroupClient> group,
                                                      TimePoint opened_before);
  // Stops the servers and chooses among them. Returns nothing if no choice is safe.
  asio::awaitable<std::optional<EndpointId>> Choose(std::shared_ptr<GroupClient> group,
                                                    TokenReservation reservation,
                                                    TimePoint opened_before);
  asio::awaitable<TakeoverResult> Order(std::shared_ptr<GroupClient> group, EndpointId successor);
  TakeoverResult GiveWay(const GroupClient& group, const std::string& reason);

  GatewayContext& m_context;
  const TablePort m_table;
  const PromotionOrder m_order;
  const OutageHooks m_hooks;
  std::map<GroupId, Held> m_held;
};

}  // namespace cardamom
