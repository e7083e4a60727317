#include "gateway/directory.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kReadTimeout{1000};
// Longest wait for changes of the configuration in one call. The socket's own probes find a
// connection that has gone silent meanwhile.
constexpr Millis kFollowWait{20'000};
constexpr Millis kRetryLeast{150};
constexpr Millis kRetryMost{400};
// Connections left free for proxies that start while others still count.
constexpr std::int64_t kSpareConnections = 6;

Millis RetryPause() {
  static thread_local std::minstd_rand random{std::random_device{}()};
  return Millis(
      std::uniform_int_distribution<std::int64_t>(kRetryLeast.count(), kRetryMost.count())(random));
}

}  // namespace

Directory::Directory(GatewayContext& context, TablePort table, DirectoryDecoders decoders)
    : m_context(context),
      m_table(std::move(table)),
      m_decoders(std::move(decoders)),
      m_servers(Millis(context.settings.list_return_ms)) {}

void Directory::Start() {
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await FollowConfiguration(); });
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await FollowServers(); });
}

asio::awaitable<bool> Directory::WaitUntilKnown(TimePoint deadline) {
  co_return co_await m_changed.WaitUntil([this] { return IsKnown(); }, deadline);
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

void Directory::OnStore(bool reachable, const std::string& detail) {
  if (!reachable) {
    m_servers.OnStoreFailure();
  }
  if (reachable != m_store_reachable) {
    m_store_reachable = reachable;
    m_context.events.Emit(
        reachable ? EventCode::kPlatformReachable : EventCode::kPlatformUnreachable,
        {.detail = detail});
  }
}

asio::awaitable<void> Directory::FollowConfiguration() {
  while (!m_stopped) {
    const auto all =
        co_await m_table.read(m_decoders.configuration_table, Clock::now() + kReadTimeout);
    if (!all) {
      OnStore(false, all.error().detail);
      co_await Sleep(RetryPause());
      continue;
    }
    AdoptRows(all->rows);
    auto version = all->version;
    while (!m_stopped) {
      const auto changes =
          co_await m_table.follow(m_decoders.configuration_table, version, kFollowWait);
      if (!changes) {
        OnStore(false, changes.error().detail);
        co_await Sleep(RetryPause());
        break;
      }
      if (changes->history_gone) {
        break;
      }
      AdoptRows(changes->rows);
      version = std::max(version, changes->version);
    }
  }
}

void Directory::AdoptRows(const std::vector<TableRow>& rows) {
  for (const auto& row : rows) {
    if (row.key != m_decoders.configuration_key || row.gone) {
      continue;
    }
    auto configuration = m_decoders.configuration(row.value);
    if (!configuration) {
      m_context.events.Emit(EventCode::kRecordNotUnderstood, {.detail = row.key});
      continue;
    }
    if (m_configuration && configuration->version <= m_configuration->version) {
      continue;
    }
    m_context.events.Emit(
        EventCode::kConfigAdopted,
        {.detail = fmt::format("version {} with {} routes, row version {}", configuration->version,
                               configuration->routes.size(), row.version)});
    m_context.metrics.SetConfiguration(configuration->version);
    m_configuration = std::move(configuration);
    UpdateGroups();
    m_changed.NotifyAll();
  }
}

asio::awaitable<bool> Directory::RefreshServers() {
  const auto snapshot =
      co_await m_table.read(m_decoders.servers_table, Clock::now() + kReadTimeout);
  if (!snapshot) {
    OnStore(false, snapshot.error().detail);
    co_return false;
  }
  OnStore(true, "servers read");
  AdoptServers(*snapshot);
  co_return true;
}

asio::awaitable<void> Directory::FollowServers() {
  while (!m_stopped) {
    const bool read = co_await RefreshServers();
    if (!read) {
      co_await Sleep(RetryPause());
      continue;
    }
    auto pause = Millis(m_context.settings.list_poll_ms);
    if (m_servers.KeepsMissing()) {
      pause = std::min(pause, Millis(m_context.settings.list_return_ms + 50));
    }
    co_await Sleep(pause);
  }
}

void Directory::AdoptServers(const TableSnapshot& snapshot) {
  std::vector<EndpointEntry> entries;
  for (const auto& row : snapshot.rows) {
    auto entry = m_decoders.server(row.key, row.value);
    if (entry) {
      entries.push_back(std::move(*entry));
    } else if (m_unreadable[row.key] != row.version) {
      m_unreadable[row.key] = row.version;
      m_context.events.Emit(EventCode::kRecordNotUnderstood, {.detail = "server " + row.key});
    }
  }
  m_servers.OnEntries(entries, Clock::now());
  const bool first = !m_has_servers;
  m_has_servers = true;
  UpdateGroups();
  if (first) {
    m_changed.NotifyAll();
  }
}

void Directory::UpdateGroups() {
  if (!IsKnown()) {
    return;
  }
  std::map<GroupId, std::vector<EndpointEntry>> by_group;
  for (auto& entry : m_servers.Entries()) {
    by_group[entry.group].push_back(entry);
  }
  for (const auto& [id, settings] : m_configuration->groups) {
    auto& group = m_groups[id];
    if (!group) {
      group = std::make_shared<GroupClient>(m_context, id);
      group->Start();
    }
    const auto vms = m_context.settings.expected_vms;
    const auto share =
        std::max<std::int64_t>(1, (settings.max_connections - kSpareConnections) / vms);
    group->SetShare(static_cast<std::size_t>(share));
    group->Update(by_group[id], settings);
  }
}

}  // namespace cardamom
