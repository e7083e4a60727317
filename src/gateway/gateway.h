// The session gateway: connects its components, reports readiness and stops gracefully.
#pragma once

#include <functional>
#include <memory>

#include "fleet/fleet.h"
#include "fleet/hold_peers.h"
#include "fleet/home_client.h"
#include "fleet/member_cleanup.h"
#include "fleet/peer_service.h"
#include "fleet/quota_client.h"
#include "fleet/relayed_table.h"
#include "fleet/takeover_notices.h"
#include "gateway/directory.h"
#include "gateway/roster_keeper.h"
#include "gateway/session_registry.h"
#include "gateway/takeover.h"
#include "gateway/takeover_coordinator.h"
#include "http/http_server.h"

namespace cardamom {

// Connections of the gateway to its environment: store, row format, promotion service and database
// servers.
struct GatewayPorts {
  TablePort table;
  DirectoryDecoders decoders;
  PromotionOrder order;
  LinkOpener open_link;
};

// Not thread safe: all use is on the thread of `io`. `io` and `settings` must outlive the gateway,
// and `io` must not run any more once the gateway is destroyed.
class Gateway {
 public:
  // What a stop needs of the component that owns the callers' connections.
  struct StopHooks {
    // Closes the connections of sessions that have nothing open and returns how many connections
    // are left. Called repeatedly.
    std::function<std::size_t()> close_idle;
    // Returns the number of statements that were received and whose reply has not been sent.
    std::function<std::size_t()> unanswered;
    // Called once, when the process may end.
    std::function<void()> on_stopped;
  };

  Gateway(boost::asio::io_context& io, const GatewaySettings& settings, GatewayPorts ports);

  // Starts all components. Call it once.
  void Start();

  // Stops gracefully: becomes not ready, leaves the fleet and refuses new work of peers at once,
  // closes idle sessions after `stop_notice_ms`, and refuses new work of callers after about half
  // of `stop_limit_ms`. Open transactions may go on until 1.7 s before `stop_limit_ms` is over, but
  // at least for half of it; then they are rolled back, those with a statement in progress as soon
  // as it has ended. Statements received during the stop are answered at the latest 700 ms before
  // `stop_limit_ms` is over. `hooks.on_stopped` is called when no connection and no work for a peer
  // is left; or, from that time on, when no reply is left to send; or 200 ms before `stop_limit_ms`
  // is over. Call Stop once.
  void Stop(StopHooks hooks);

  // Whether the load balancer may send new callers.
  bool IsReady() const;

  SessionRegistry& sessions() { return m_sessions; }
  EventLog& events() { return m_events; }
  GatewayMetrics& metrics() { return m_metrics; }
  // Answers a request of another proxy.
  asio::awaitable<HttpResponse> HandlePeer(HttpRequest request);
  // Answers requests for /metrics and /v1/events, and others with status 404.
  asio::awaitable<HttpResponse> HandleOperations(HttpRequest request);

 private:
  // Takes the greatest configuration that a peer holds: after a restore of the store that of a peer
  // may be greater than the store's.
  asio::awaitable<void> AskPeersForConfiguration();
  asio::awaitable<void> Housekeeping();
  std::shared_ptr<StatementPath> FindPath(const Route& route);
  std::shared_ptr<StatementPath> FindUnmeteredPath(const Route& route);
  QuotaService::Hooks MakeQuotaHooks();
  OutageHooks MakeOutageHooks();
  RosterHooks MakeRosterHooks();
  HoldHooks MakeHoldHooks();
  LinkStates CountLinks() const;
  // Whether this proxy has a lease, see failover/acknowledgement_lease.h.
  bool HasLease() const;
  std::size_t MaxConnections(const GroupId& group) const;
  asio::awaitable<void> StopGracefully(StopHooks hooks);

  const GatewaySettings& m_settings;
  const BootTime m_started_at = BootClock::now();
  EventLog m_events;
  GatewayMetrics m_metrics;
  GatewayContext m_context;
  Fleet m_fleet;
  HomeClient m_homes;
  RelayedTable m_relayed;
  Directory m_directory;
  MemberCleanup m_member_cleanup;
  StatementRunner m_runner;
  PeerService m_peers;
  HoldPeers m_hold_peers;
  TakeoverNotices m_notices;
  QuotaPeers m_quota_peers;
  QuotaService m_quota_service;
  QuotaClient m_quota_client;
  SessionRegistry m_sessions;
  OutageTakeover m_outage_takeover;
  Takeover m_takeover;
  RosterKeeper m_rosters;
  TakeoverCoordinator m_coordinator;
  bool m_stopping = false;
  bool m_asked_peers = false;
};

}  // namespace cardamom
