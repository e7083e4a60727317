#include "gateway/gateway.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"
#include "failover/acknowledgement_lease.h"
#include "fleet/local_or_remote_path.h"
#include "fleet/metered_path.h"
#include "fleet/store_survey.h"
#include "gateway/local_path.h"

namespace cardamom {
namespace {

constexpr Millis kHousekeepingInterval{100};
constexpr Millis kMembersPollInterval{25};
constexpr Millis kStopPoll{50};
// Parts of the stop limit, counted from its end: the process ends, whether or not callers have read
// the last replies; no statement is in progress any more; no further statement of an open
// transaction is sent to a server, so that those in progress have time to finish.
constexpr Millis kExitReserve{200};
constexpr Millis kFinalReplyReserve{700};
constexpr Millis kLastStatementsReserve{1700};
// Part of config-apply-ms that is reserved for the case that a relay's call to the store fails: the
// time that the call may take beyond its wait, and the delivery through another relay.
constexpr Millis kConfigDistributionTime{2200};
// Bounds of the wait for configuration changes in one call to the store.
constexpr Millis kMinFollowWait{300};
constexpr Millis kMaxFollowWait{5000};
// Longest wait for server list changes in one call to the store: a leaving server is noticed well
// before its drain time ends.
constexpr Millis kServerListFollowWait{2500};

// As above for the members. With the delay before the call and the way through a relay, the copy of
// every proxy is confirmed often enough for its lease (failover/acknowledgement_lease.h).
constexpr Millis kMembersFollowWait{1200};

// Longest wait of one call that follows a table, by table.
std::map<std::string, Millis> StoreFollowWaits(const DirectoryDecoders& decoders,
                                               const GatewaySettings& settings) {
  const auto wait = std::clamp(Millis(settings.config_apply_ms) - kConfigDistributionTime,
                               kMinFollowWait, kMaxFollowWait);
  return {{decoders.configuration_table, wait},
          {decoders.servers_table, kServerListFollowWait},
          {Fleet::kTableName, kMembersFollowWait}};
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const GatewaySettings& settings, GatewayPorts ports)
    : m_settings(settings),
      m_events(VmId(settings.vm_id), static_cast<std::size_t>(settings.event_ring)),
      m_context{io, m_settings, m_events, m_metrics, ports.open_link},
      m_fleet(m_context, ports.table),
      m_homes(m_context, m_fleet),
      m_relayed(m_context,
                ports.table,
                StoreFollowWaits(ports.decoders, m_settings),
                m_fleet,
                m_homes),
      m_directory(m_context, ports.table, m_relayed.Port(), std::move(ports.decoders), m_fleet),
      m_member_cleanup(m_context,
                       ports.table,
                       m_fleet,
                       m_homes,
                       [this] { return !m_directory.StoreUnavailableSince(); }),
      m_runner(m_context),
      m_peers(m_context,
              m_directory,
              m_runner,
              {&m_fleet.follower(), &m_directory.configuration_follower(),
               &m_directory.servers_follower()},
              [this](const std::string& table) { return m_relayed.IsFromStore(table); }),
      m_hold_peers(m_context, m_fleet, m_homes),
      m_notices(m_context, ports.table, m_fleet.follower()),
      m_quota_peers(m_context),
      m_quota_service(m_context, m_fleet, m_quota_peers, MakeQuotaHooks()),
      m_quota_client(m_context, m_quota_service, m_quota_peers),
      m_sessions(m_context, m_directory, [this](const Route& route) { return FindPath(route); }),
      m_outage_takeover(m_context, ports.table, ports.order, MakeOutageHooks()),
      m_takeover(
          m_context,
          ports.table,
          std::move(ports.order),
          [this] { return m_directory.RefreshServers(); },
          [this](StoreEra era) { return m_directory.EraAge(era); },
          [this] { m_directory.RecordStoreFailure(); },
          MakeHoldHooks(),
          m_outage_takeover),
      m_rosters(m_context, ports.table, MakeRosterHooks()),
      m_coordinator(m_context, m_directory, m_takeover, m_outage_takeover, m_rosters) {
  m_homes.set_on_silence(
      [this](const std::string& vm, bool silent) { m_fleet.SetSilent(vm, silent); });
  m_fleet.set_on_rows([this] { m_notices.AdoptRows(); });
  m_context.acknowledgements.set_has_lease([this] { return HasLease(); });
}

bool Gateway::HasLease() const {
  return HasAcknowledgementLease(m_started_at, m_fleet.follower().confirmed_at(), BootClock::now());
}

std::size_t Gateway::MaxConnections(const GroupId& group) const {
  const auto* settings = m_directory.FindSettings(group);
  return settings == nullptr ? 0 : static_cast<std::size_t>(settings->max_connections);
}

OutageHooks Gateway::MakeOutageHooks() {
  OutageHooks hooks;
  hooks.is_reservation_owner = [this](const GroupId& group) {
    return m_fleet.IsFirstHome(group, MaxConnections(group));
  };
  hooks.store_unavailable_since = [this] { return m_directory.StoreUnavailableSince(); };
  hooks.store_era = [this] { return m_directory.store_era(); };
  hooks.era_age = [this](StoreEra era) { return m_directory.EraAge(era); };
  hooks.ask_other_homes = [this](GroupId group) -> asio::awaitable<std::vector<StoreReport>> {
    return AskAboutStore(m_context, m_homes, m_fleet.HomesOf(group, MaxConnections(group)),
                         m_fleet.self().id);
  };
  hooks.find_unreached = [this] { return m_hold_peers.FindUnreached(); };
  hooks.hold = MakeHoldHooks();
  // A write that the store may carry out once it is available again would begin a hold then.
  hooks.hold.post_notice = {};
  return hooks;
}

RosterHooks Gateway::MakeRosterHooks() {
  RosterHooks hooks;
  hooks.is_owner = [this](const GroupId& group) {
    return m_fleet.IsFirstHome(group, MaxConnections(group));
  };
  hooks.is_store_available = [this] { return !m_directory.StoreUnavailableSince(); };
  hooks.store_era = [this] { return m_directory.store_era(); };
  return hooks;
}

HoldHooks Gateway::MakeHoldHooks() {
  HoldHooks hooks;
  hooks.hold = [this](GroupId group, std::uint64_t token) {
    return m_hold_peers.Hold(std::move(group), token);
  };
  hooks.post_notice = [this](GroupId group, std::uint64_t token, TimePoint deadline) {
    return m_notices.Post(std::move(group), token, deadline);
  };
  hooks.release = [this](const GroupId& group, const HoldRelease& release) {
    m_hold_peers.Release(group, release);
    m_notices.PostRelease(group, release);
  };
  return hooks;
}

QuotaService::Hooks Gateway::MakeQuotaHooks() {
  QuotaService::Hooks hooks;
  hooks.configuration = [this] {
    return m_directory.IsLoaded() ? &m_directory.configuration() : nullptr;
  };
  hooks.members_confirmed_at = [this] { return m_fleet.follower().confirmed_at(); };
  return hooks;
}

void Gateway::Start() {
  m_relayed.RequireProof(m_directory.configuration_follower().name(),
                         [this] { return m_directory.HasOrganisations(); });
  m_relayed.RequireProof(Fleet::kTableName, [] { return true; });
  m_events.Emit(EventCode::kProcessStarted, {.detail = "sessions " + m_settings.listen_sessions});
  m_fleet.Start(m_relayed.Port());
  m_directory.Start();
  m_member_cleanup.Start();
  m_coordinator.Start();
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await AskPeersForConfiguration(); });
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Housekeeping(); });
}

bool Gateway::IsReady() const {
  return !m_stopping && m_directory.IsLoaded() && m_fleet.IsSettled() && m_asked_peers;
}

asio::awaitable<void> Gateway::AskPeersForConfiguration() {
  while (!m_fleet.follower().IsLoaded()) {
    co_await Sleep(kMembersPollInterval);
  }
  const std::string table = m_directory.configuration_follower().name();
  const std::function<void(const TableSnapshot&)> offer = [this](const TableSnapshot& snapshot) {
    m_directory.OfferConfiguration(snapshot);
  };
  co_await m_relayed.AskPeers(table, offer);
  m_asked_peers = true;
}

asio::awaitable<void> Gateway::Housekeeping() {
  bool ready = false;
  bool has_lease = false;
  for (;;) {
    m_sessions.ExpireTransactions();
    m_peers.ExpireTransactions();
    m_quota_service.Tick();
    if (m_directory.IsLoaded() && m_fleet.IsSettled()) {
      m_directory.CloseUnused();
    }
    if (m_directory.HasOrganisations() && m_directory.confirmed_at()) {
      m_metrics.SetConfigurationAge(BootClock::now() - *m_directory.confirmed_at());
    }
    if (m_fleet.IsSettled() && HasLease() != has_lease) {
      has_lease = !has_lease;
      m_events.Emit(has_lease ? EventCode::kLeaseRegained : EventCode::kLeaseLost);
    }
    if (IsReady() != ready) {
      ready = !ready;
      m_events.Emit(ready ? EventCode::kReady : EventCode::kNotReady);
    }
    EventLog::FlushLog();
    co_await Sleep(kHousekeepingInterval);
  }
}

std::shared_ptr<StatementPath> Gateway::FindPath(const Route& route) {
  auto path = FindUnmeteredPath(route);
  if (path && !route.is_public && m_quota_client.HasQuotas()) {
    return std::make_shared<MeteredPath>(m_quota_client, std::move(path));
  }
  return path;
}

std::shared_ptr<StatementPath> Gateway::FindUnmeteredPath(const Route& route) {
  const auto* settings = m_directory.FindSettings(route.group);
  if (settings == nullptr) {
    return nullptr;
  }
  const auto max_connections = static_cast<std::size_t>(settings->max_connections);
  if (!m_fleet.IsHome(route.group, max_connections) && m_fleet.IsSettled()) {
    return std::make_shared<RemotePath>(m_context, m_homes, route.group, max_connections);
  }
  const auto group = m_directory.OpenGroup(route.group, GroupUser::kCaller);
  if (!group) {
    return nullptr;
  }
  const auto local = std::make_shared<LocalPath>(m_runner, group);
  const auto remote =
      std::make_shared<RemotePath>(m_context, m_homes, route.group, max_connections, local);
  return std::make_shared<LocalOrRemotePath>(group, local, remote);
}

asio::awaitable<HttpResponse> Gateway::HandlePeer(HttpRequest request) {
  if (request.target == kPeerMemberPath) {
    return m_member_cleanup.Answer(std::move(request.body));
  }
  if (request.target == kPeerHoldPath || request.target == kPeerReleasePath) {
    return m_hold_peers.Handle(std::move(request));
  }
  if (request.target == kPeerQuotaPath) {
    return m_quota_service.Handle(std::move(request));
  }
  return m_peers.Handle(std::move(request));
}

LinkStates Gateway::CountLinks() const {
  LinkStates links;
  for (const auto& [id, group] : m_directory.groups()) {
    for (const auto& [endpoint_id, endpoint] : group->endpoints()) {
      const auto& pool = *endpoint->pool;
      links.in_use += pool.leased() - pool.opening();
      links.idle += pool.open_links() - pool.leased();
      links.opening += pool.opening();
    }
  }
  return links;
}

asio::awaitable<HttpResponse> Gateway::HandleOperations(HttpRequest request) {
  HttpResponse response;
  if (request.target == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    m_metrics.SetLinks(CountLinks());
    response.body = m_metrics.Format();
  } else if (request.target == "/v1/events") {
    response.body = EncodeJson(m_events.Snapshot());
  } else {
    response.status = 404;
  }
  co_return response;
}

void Gateway::Stop(StopHooks hooks) {
  Spawn(m_context.io, [this, hooks = std::move(hooks)]() -> asio::awaitable<void> {
    co_await StopGracefully(hooks);
  });
}

asio::awaitable<void> Gateway::StopGracefully(StopHooks hooks) {
  const auto started = Clock::now();
  const auto limit = Millis(m_settings.stop_limit_ms);
  const auto refuse_work_at = started + limit / 2 + kStopPoll;
  const auto refuse_transactions_at =
      std::max(refuse_work_at, started + limit - kLastStatementsReserve);
  const auto latest_answer = started + limit - kFinalReplyReserve;
  const auto exit_at = started + limit - kExitReserve;
  m_stopping = true;
  m_member_cleanup.Stop();
  m_events.Emit(EventCode::kProcessStopping);
  m_sessions.SetLatestAnswer(latest_answer);
  m_peers.RefuseNewWork();
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await m_fleet.Leave(); });
  co_await Sleep(Millis(m_settings.stop_notice_ms));
  m_sessions.StartClosing();
  const auto for_peers = [this] {
    return m_peers.held_transactions() + m_peers.statements_in_progress();
  };
  const auto refuse_transactions = [this] {
    m_sessions.RefuseTransactions();
    m_peers.RefuseTransactions();
  };
  while (hooks.close_idle() + for_peers() > 0 && Clock::now() < latest_answer) {
    if (Clock::now() > refuse_work_at) {
      m_sessions.RefuseNewWork();
    }
    if (Clock::now() > refuse_transactions_at) {
      refuse_transactions();
    }
    co_await Sleep(kStopPoll);
  }
  m_sessions.RefuseNewWork();
  refuse_transactions();
  while (hooks.unanswered() + m_peers.statements_in_progress() > 0 && Clock::now() < exit_at) {
    co_await Sleep(kStopPoll);
  }
  m_coordinator.Stop();
  m_directory.Stop();
  m_events.Emit(EventCode::kProcessStopped,
                {.detail = fmt::format("{} sessions left, {} in progress, {} unanswered",
                                       m_sessions.open_count(), m_sessions.active_count(),
                                       hooks.unanswered())});
  EventLog::FlushLog();
  hooks.on_stopped();
}

}  // namespace cardamom
