#include "gateway/directory.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kReadTimeout{1000};
// Groups of which this proxy is not a home are closed if no peer has requested them for this long.
constexpr Millis kUnusedGroupRetention{15'000};
// Entries of servers may lapse in an outage of the store that lasts longer, and return after it.
constexpr Millis kEntriesLapse{2000};

}  // namespace

Directory::Directory(GatewayContext& context,
                     TablePort table,
                     TablePort followed,
                     DirectoryDecoders decoders,
                     Fleet& fleet)
    : m_context(context),
      m_store_port(std::move(table)),
      m_follow_port(std::move(followed)),
      m_decoders(std::move(decoders)),
      m_fleet(fleet),
      m_configuration_follower(context, m_decoders.configuration_table),
      m_servers_follower(context, m_decoders.servers_table),
      m_servers(Millis(context.settings.list_return_ms)) {
  const auto on_store_call = [this](bool reachable, const std::string& detail) {
    OnStoreResult(reachable, detail);
  };
  m_configuration_follower.set_on_change([this] { AdoptConfiguration(); });
  m_configuration_follower.set_on_store_call(on_store_call);
  m_configuration_follower.set_on_confirmed([this](BootTime confirmed_at) {
    if (m_proof.ConfirmFollowed(confirmed_at)) {
      m_changed.NotifyAll();
    }
  });
  m_servers_follower.set_on_change([this] { AdoptServers(); });
  m_servers_follower.set_on_restore([this] { OnServersRestored(); });
  m_servers_follower.set_on_store_call(on_store_call);
  m_fleet.set_on_change([this] { UpdateGroups(); });
}

void Directory::Start() {
  m_configuration_follower.Start(m_follow_port);
  m_servers_follower.Start(m_follow_port);
}

void Directory::Stop() {
  m_stopped = true;
  m_configuration_follower.Stop();
  m_servers_follower.Stop();
}

std::optional<TimePoint> Directory::StoreUnavailableSince() const {
  const auto up_to_date_at = m_servers_follower.last_response_at();
  const bool up_to_date = m_servers_follower.IsUpToDate() && m_store_failed_at <= up_to_date_at;
  return up_to_date ? std::nullopt : std::optional(up_to_date_at);
}

asio::awaitable<bool> Directory::WaitUntilLoaded(TimePoint deadline) {
  co_return co_await m_changed.WaitUntil([this] { return IsLoaded(); }, deadline);
}

const Route* Directory::FindRoute(const DatabaseName& database) const {
  if (!m_configuration) {
    return nullptr;
  }
  const auto it = m_configuration->routes.find(database);
  return it == m_configuration->routes.end() ? nullptr : &it->second;
}

std::shared_ptr<GroupClient> Directory::FindGroup(const GroupId& id) const {
  const auto it = m_groups.find(id);
  return it == m_groups.end() ? nullptr : it->second;
}

void Directory::OnStoreResult(bool reachable, const std::string& detail) {
  if (!reachable) {
    m_servers.OnStoreFailure();
  }
  if (reachable != m_store_reachable) {
    m_store_reachable = reachable;
    if (!reachable) {
      m_store_lost_at = Clock::now();
    } else if (Clock::now() - m_store_lost_at > kEntriesLapse) {
      ExpectListChanges();
    }
    m_context.events.Emit(
        reachable ? EventCode::kPlatformReachable : EventCode::kPlatformUnreachable,
        {.detail = detail});
  }
}

void Directory::AdoptConfiguration() {
  const auto& rows = m_configuration_follower.rows();
  const auto row = rows.find(m_decoders.configuration_key);
  m_proof.SetFollowed(std::nullopt);
  if (row == rows.end()) {
    return;
  }
  auto configuration = Decode(row->second);
  if (configuration) {
    m_proof.SetFollowed(configuration->version);
  } else {
    m_proof.SetFollowedUnreadable();
  }
  Apply(std::move(configuration), row->second);
}

void Directory::OfferConfiguration(const TableSnapshot& snapshot) {
  for (const auto& row : snapshot.rows) {
    auto configuration = Decode(row);
    if (!configuration) {
      continue;
    }
    const auto version = configuration->version;
    Apply(std::move(configuration), row);
    if (snapshot.confirmed_at && m_proof.Confirm(version, *snapshot.confirmed_at)) {
      m_changed.NotifyAll();
    }
  }
}

std::optional<Configuration> Directory::Decode(const TableRow& row) {
  if (row.key != m_decoders.configuration_key || row.gone) {
    return std::nullopt;
  }
  auto configuration = m_decoders.configuration(row.value);
  if (!configuration) {
    m_context.events.Emit(EventCode::kRecordNotUnderstood, {.detail = row.key});
  }
  return configuration;
}

std::optional<BootTime> Directory::RowsConfirmedAt(const TableFollower& table) const {
  if (&table != &m_configuration_follower) {
    return table.confirmed_at();
  }
  return m_proof.followed_confirmed_at();
}

asio::awaitable<bool> Directory::WaitUntilConfirmed(TimePoint deadline) {
  co_return co_await m_changed.WaitUntil([this] { return confirmed_at().has_value(); }, deadline);
}

void Directory::Apply(std::optional<Configuration> configuration, const TableRow& row) {
  if (!configuration || (m_configuration && configuration->version <= m_configuration->version)) {
    return;
  }
  m_context.events.Emit(
      EventCode::kConfigAdopted,
      {.detail = fmt::format("version {} with {} routes, row version {}", configuration->version,
                             configuration->routes.size(), row.version.value())});
  m_context.metrics.SetConfiguration(configuration->version);
  m_configuration_text = row.value;
  m_configuration = std::move(configuration);
  m_proof.SetInForce(m_configuration->version);
  UpdateGroups();
  m_changed.NotifyAll();
}

void Directory::ReplaceByConfigurationInForce(const std::string& table,
                                              std::vector<TableRow>& rows) const {
  if (table != m_decoders.configuration_table || m_configuration_text.empty()) {
    return;
  }
  for (auto& row : rows) {
    if (row.key == m_decoders.configuration_key && !row.gone) {
      row.value = m_configuration_text;
    }
  }
}

asio::awaitable<bool> Directory::RefreshServers() {
  co_return co_await m_servers_follower.Refresh(m_store_port, Clock::now() + kReadTimeout);
}

void Directory::AdoptServers() {
  std::vector<EndpointEntry> entries;
  std::set<EndpointId> from_copy;
  for (const auto& [key, row] : m_servers_follower.rows()) {
    auto entry = m_decoders.server(key, row.value);
    if (entry) {
      if (m_servers_follower.MayBeFromCopy(row)) {
        from_copy.insert(entry->id);
      }
      entries.push_back(std::move(*entry));
    } else if (m_unreadable[key] != row.version) {
      m_unreadable[key] = row.version;
      m_context.events.Emit(EventCode::kRecordNotUnderstood, {.detail = "server " + key});
    }
  }
  std::erase_if(m_unreadable, [this](const auto& unreadable) {
    return !m_servers_follower.rows().contains(unreadable.first);
  });
  m_servers.OnEntries(entries, Clock::now(), from_copy);
  const bool first = !m_has_servers;
  m_has_servers = true;
  UpdateGroups();
  if (first) {
    m_changed.NotifyAll();
  }
  if (m_servers.HasRetainedEntries()) {
    RecheckServers();
  }
}

void Directory::OnServersRestored() {
  m_servers.OnStoreRestored();
  ExpectListChanges();
}

void Directory::ExpectListChanges() {
  for (const auto& [id, group] : m_groups) {
    group->ExpectListChanges(Millis(m_context.settings.list_return_ms));
  }
}

void Directory::RecheckServers() {
  if (m_rechecking) {
    return;
  }
  m_rechecking = true;
  Spawn(m_context.io, [this]() -> asio::awaitable<void> {
    co_await Sleep(Millis(m_context.settings.list_return_ms + 50));
    m_rechecking = false;
    if (!m_stopped && m_servers_follower.IsUpToDate()) {
      AdoptServers();
    }
  });
}

const GroupSettings* Directory::FindSettings(const GroupId& id) const {
  if (!m_configuration) {
    return nullptr;
  }
  const auto it = m_configuration->groups.find(id);
  return it == m_configuration->groups.end() ? nullptr : &it->second;
}

std::shared_ptr<GroupClient> Directory::OpenGroup(const GroupId& id, GroupUser user) {
  const auto* settings = FindSettings(id);
  if (settings == nullptr || !IsLoaded()) {
    return nullptr;
  }
  if (user == GroupUser::kPeer) {
    m_last_peer_request[id] = Clock::now();
  }
  if (!m_groups.contains(id)) {
    UpdateGroup(*settings);
  }
  return FindGroup(id);
}

void Directory::CloseUnused() {
  const auto now = Clock::now();
  std::erase_if(m_groups, [&](const auto& entry) {
    const auto* settings = FindSettings(entry.first);
    const auto max_connections = settings == nullptr ? 0 : settings->max_connections;
    const bool kept = m_fleet.IsHome(entry.first, static_cast<std::size_t>(max_connections)) ||
                      now - m_last_peer_request[entry.first] < kUnusedGroupRetention ||
                      entry.second->IsBusy();
    if (!kept) {
      entry.second->Stop();
      m_context.events.Emit(EventCode::kGroupClosed, {.group = entry.first});
    }
    return !kept;
  });
}

void Directory::UpdateGroup(const GroupSettings& settings) {
  auto& group = m_groups[settings.group];
  if (!group) {
    group = std::make_shared<GroupClient>(m_context, settings.group);
    group->set_list_proof([this] {
      return ServerListProof{m_servers_follower.position(), m_servers_follower.confirmed_at(),
                             m_servers_follower.last_response_at()};
    });
    group->Start();
  }
  const auto plan = m_fleet.Plan(static_cast<std::size_t>(settings.max_connections));
  const bool every_proxy_is_home =
      m_fleet.EveryProxyIsHome(static_cast<std::size_t>(settings.max_connections));
  group->SetShare({plan.links_per_home, plan.homes, every_proxy_is_home});
  std::vector<EndpointEntry> entries;
  for (auto& entry : m_servers.Entries()) {
    if (entry.group == settings.group) {
      entries.push_back(std::move(entry));
    }
  }
  group->Update(entries, settings);
}

void Directory::UpdateGroups() {
  if (!IsLoaded()) {
    return;
  }
  for (const auto& [id, settings] : m_configuration->groups) {
    const auto max_connections = static_cast<std::size_t>(settings.max_connections);
    if (m_groups.contains(id) || m_fleet.IsHome(id, max_connections)) {
      UpdateGroup(settings);
    }
  }
}

}  // namespace cardamom
