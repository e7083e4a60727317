// Servers that disappeared from the list of the group, and how complete the list is.
#include "gateway/group_client.h"

#include <algorithm>

#include <fmt/format.h>

namespace cardamom {
namespace {

constexpr Millis kDepartedRetention{30'000};
// Servers enter the list with their first heartbeat; until then the list may be incomplete.
constexpr Millis kListSettles{3000};

std::string DescribeDrop(const EndpointEntry& known, const EndpointEntry* listed) {
  const auto text = fmt::format("started {}, {}", known.started_ms, known.address);
  if (listed == nullptr) {
    return text + (known.leaving ? ": left" : ": missing in the list");
  }
  return fmt::format("{}: listed as started {}, {}", text, listed->started_ms, listed->address);
}

}  // namespace

void GroupClient::DropMissing(const std::map<EndpointId, const EndpointEntry*>& listed) {
  const auto now = Clock::now();
  std::erase_if(m_departed,
                [&](DepartedServer& server) { return ForgetDeparted(server, listed, now); });
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    const auto found = listed.find(it->first);
    const bool same = found != listed.end() &&
                      found->second->address == it->second->entry.address &&
                      found->second->started_ms == it->second->entry.started_ms;
    if (same) {
      ++it;
      continue;
    }
    DepartedServer departed;
    departed.endpoint = it->second;
    departed.since = now;
    departed.departed_at = BootClock::now();
    departed.restarted = found != listed.end();
    if (departed.restarted && found->second->started_ms > it->second->entry.started_ms) {
      departed.ended_by = departed.departed_at;
    }
    departed.was_primary = IsLatestPrimary(it->second);
    departed.announced = it->second->entry.leaving;
    const auto* listed_now = departed.restarted ? found->second : nullptr;
    m_departed.push_back(std::move(departed));
    it->second->pool->Retire();
    m_context.events.Emit(EventCode::kEndpointDropped,
                          {.group = m_id,
                           .endpoint = it->first,
                           .detail = DescribeDrop(it->second->entry, listed_now)});
    if (m_primary == it->first) {
      m_primary.reset();
    }
    it = m_endpoints.erase(it);
  }
}

bool GroupClient::ForgetDeparted(DepartedServer& server,
                                 const std::map<EndpointId, const EndpointEntry*>& listed,
                                 TimePoint now) {
  const auto& entry = server.endpoint->entry;
  const auto found = listed.find(entry.id);
  if (!server.restarted && found != listed.end()) {
    if (found->second->started_ms == entry.started_ms) {
      return true;
    }
    server.restarted = true;
    if (found->second->started_ms > entry.started_ms && !server.ended_by) {
      server.ended_by = BootClock::now();
    }
  }
  const bool process_gone = server.restarted || server.ended_by;
  const auto& position =
      process_gone ? server.position_after_exit : server.position_after_no_answer;
  if (now - server.since <= kDepartedRetention || !position) {
    return false;
  }
  m_departed_position = std::max(m_departed_position.value_or(*position), *position);
  return true;
}

void GroupClient::FindEndedProcesses() {
  for (auto& server : m_departed) {
    const auto& entry = server.endpoint->entry;
    const bool replaced =
        std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
          const auto& listed = item.second->entry;
          return listed.address == entry.address && listed.started_ms > entry.started_ms;
        });
    if (replaced && !server.ended_by) {
      server.ended_by = BootClock::now();
    }
  }
}

void GroupClient::ExpectServers(const GroupRoster& roster) {
  m_expected_position = std::max(m_expected_position, roster.covered_by);
  for (const auto& server : roster.servers) {
    if (!m_first_listed || !m_known_processes.emplace(server.endpoint, server.started_ms).second) {
      continue;
    }
    EndpointEntry entry;
    entry.id = server.endpoint;
    entry.group = m_id;
    entry.started_ms = server.started_ms;
    DepartedServer departed;
    departed.endpoint = std::make_shared<Endpoint>(entry, nullptr, nullptr, Duration::zero());
    departed.since = *m_first_listed;
    departed.departed_at = m_first_listed_at;
    departed.restarted = m_endpoints.contains(server.endpoint);
    // The one server that may be lost, if it is the only one.
    departed.was_primary = !m_latest_primary;
    departed.never_listed = true;
    departed.position_after_exit =
        m_watermarks.PositionCovering(departed.departed_at + kGoneAfterProcessExit);
    departed.position_after_no_answer =
        m_watermarks.PositionCovering(departed.departed_at + kGoneAfterNoAnswer);
    m_departed.push_back(std::move(departed));
  }
}

bool GroupClient::IsLatestPrimary(const EndpointPtr& endpoint) const {
  return m_latest_primary ? m_latest_primary == endpoint : endpoint->entry.claims_primary;
}

std::vector<DepartedServer> GroupClient::Departed() const {
  return m_departed;
}

ServerListSnapshot GroupClient::SnapshotServerList() const {
  ServerListSnapshot snapshot;
  snapshot.changing = !IsListSettled() ||
                      std::any_of(m_departed.begin(), m_departed.end(),
                                  [](const DepartedServer& server) { return !server.announced; });
  for (const auto& [id, endpoint] : m_endpoints) {
    snapshot.servers.push_back({id, endpoint->entry.started_ms});
    snapshot.changing = snapshot.changing || endpoint->entry.leaving;
  }
  return snapshot;
}

bool GroupClient::IsListSettled() const {
  const auto now = Clock::now();
  return m_first_listed && now - *m_first_listed > kListSettles && now >= m_list_settles_at;
}

}  // namespace cardamom
