// Replaces a lost primary while the store does not answer, with a token reserved in advance.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "directory/table_port.h"
#include "failover/outage_rules.h"
#include "gateway/fence_store.h"
#include "gateway/successor_choice.h"
#include "gateway/takeover_result.h"

namespace cardamom {

// Callbacks of the outage takeover to the rest of the proxy.
struct OutageHooks {
  // Whether this proxy is the reservation owner of `group`, the one that reserves its tokens.
  std::function<bool(const GroupId& group)> is_reservation_owner;
  // When the server list was last up to date with the store, or nothing if it is now.
  std::function<std::optional<TimePoint>()> store_unavailable_since;
  // Era of the store in its latest answer.
  std::function<StoreEra()> store_era;
  // How long ago this proxy first observed the era of the store; 0 if it has not yet.
  std::function<Duration(StoreEra era)> era_age;
  // Asks the other homes of the group whether the store answers them.
  std::function<asio::awaitable<std::vector<StoreReport>>(GroupId group)> ask_other_homes;
  // The VM ids of the other proxies that may run and give no answer. Waits 250 ms at most.
  std::function<asio::awaitable<std::vector<std::string>>()> find_unreached;
  HoldHooks hold;
};

// Not thread safe: all use is on the thread of `context`, which must outlive the object.
class OutageTakeover {
 public:
  OutageTakeover(GatewayContext& context, TablePort table, PromotionOrder order, OutageHooks hooks);

  // Reserves a token of `group` if this proxy is its reservation owner and holds no valid one. May
  // be called on every tick: calls to the store are limited to one attempt every 3 s.
  void MaintainReservation(std::shared_ptr<GroupClient> group);

  // Makes one attempt to replace a primary that does not answer. Precondition: the store has just
  // failed to answer. Backs off if the replacement cannot be proved safe without the store.
  asio::awaitable<TakeoverResult> Run(std::shared_ptr<GroupClient> group);

  // Whether an attempt may succeed: the store is known to be unavailable and a token is held for
  // the group.
  bool MayRun(const GroupId& group) const;

  // Whether this process holds `reservation` and has not used it.
  bool HoldsUnusedReservation(const GroupId& group, const TokenReservation& reservation) const;

 private:
  struct HeldReservation {
    std::optional<TokenReservation> reservation;
    // The server whose promotion was ordered with the token. The token must not be used for
    // another.
    std::optional<EndpointId> ordered_successor;
    // End of its log.
    Position log_end;
    // As in SuccessorChoice, for the log line of the order.
    std::string logs;
    TimePoint stopped_at;
    // An order with the token got no answer.
    bool unanswered = false;
    // The order may be repeated until this time: the servers are stopped, so the logs that were
    // compared have not changed.
    BootTime valid_until;
    // The token must not be used: the platform rejected it, the servers were stopped without an
    // order, or another proxy is the reservation owner.
    bool unusable = false;
    bool reserving = false;
    // An attempt with the token is in progress, so it must not be replaced.
    bool running = false;
    TimePoint next_attempt_at;
    std::optional<TimePoint> owner_since;
  };

  asio::awaitable<void> Reserve(std::shared_ptr<GroupClient> group);
  // The reservation written to the store, or nothing.
  asio::awaitable<std::optional<TokenReservation>> WriteReservation(
      std::shared_ptr<GroupClient> group);
  bool IsReservationUsable(const HeldReservation& held, GroupClient& group) const;
  asio::awaitable<std::vector<SurveyedServer>> Survey(std::shared_ptr<GroupClient> group,
                                                      TimePoint opened_before);
  // Stops the servers and chooses the successor; there is none if no choice is safe.
  asio::awaitable<SuccessorChoice> StopAndChoose(std::shared_ptr<GroupClient> group,
                                                 TokenReservation reservation,
                                                 TimePoint opened_before,
                                                 PendingHold hold);
  asio::awaitable<TakeoverResult> RunWithReservation(std::shared_ptr<GroupClient> group);
  asio::awaitable<TakeoverResult> Order(std::shared_ptr<GroupClient> group, EndpointId successor);
  // Ends the hold of an attempt whose token was not used for an order that may be outstanding.
  void ReleaseUnchanged(const GroupId& group, const TokenReservation& reservation);
  // Logs `reason` and returns kBackedOff.
  TakeoverResult BackOff(const GroupClient& group, const std::string& reason);

  GatewayContext& m_context;
  const FenceStore m_fences;
  const PromotionOrder m_order;
  const OutageHooks m_hooks;
  std::map<GroupId, HeldReservation> m_held;
};

}  // namespace cardamom
