// How a proxy of the takeover model records the servers that left, and starts again without memory.
#include <algorithm>

#include "takeover_proxy.h"

namespace cardamom::takeover_model {
namespace {

constexpr std::int64_t kListSettles = 3000;
constexpr std::int64_t kRosterInterval = 1000;

}  // namespace

void Proxy::Restart() {
  m_list = {};
  m_departed.clear();
  m_known_processes.clear();
  m_expected_position.reset();
  m_started_at = m_world.now();
  m_has_seen_primary = false;
  m_roster_at = m_world.now() + kRosterInterval;
  m_roster_loaded.reset();
  m_primary.reset();
  m_term = Term();
  m_stage = Stage::kIdle;
  m_wake_at = m_world.now();
  m_requests.clear();
  m_answers.clear();
  m_survey.clear();
  m_stepped_down.clear();
  m_resume_after_update = false;
  m_keep_after_update = false;
  m_stopped_primary.reset();
  m_reserved = false;
  m_reservation.reset();
  m_reserve_stage = ReserveStage::kIdle;
  if (m_store.available()) {
    RefreshList();
  }
}

bool Proxy::IsListSettled() const {
  return m_started_at == 0 || m_world.now() - m_started_at > kListSettles;
}

void Proxy::ExpectServers(const GroupRoster& roster) {
  if (m_world.IsDisabled(Rule::kRoster)) {
    return;
  }
  m_expected_position = std::max(m_expected_position, roster.covered_by);
  for (const auto& server : roster.servers) {
    const int i = ServerOf(server.endpoint);
    if (m_known_processes.emplace(i, server.started_ms).second) {
      m_departed.push_back({i, m_started_at, m_list[static_cast<std::size_t>(i)].listed, false,
                            std::nullopt, server.started_ms, !m_has_seen_primary, true});
    }
  }
}

GroupRoster Proxy::MakeRoster() const {
  GroupRoster roster;
  roster.covered_by = m_expected_position;
  for (const int i : ListedServers()) {
    roster.servers.push_back({IdOf(i), m_list[static_cast<std::size_t>(i)].started_ms});
  }
  for (const auto& departed : m_departed) {
    if (departed.covering) {
      roster.covered_by = std::max(roster.covered_by, departed.covering);
    } else {
      roster.servers.push_back({IdOf(departed.server), departed.started_ms});
    }
  }
  return roster;
}

GroupRoster Proxy::AddKnownServers(GroupRoster recorded) const {
  const auto add = [&](int i, std::int64_t started_ms) {
    const ServerIncarnation server{IdOf(i), started_ms};
    const bool named = std::find(recorded.servers.begin(), recorded.servers.end(), server) !=
                       recorded.servers.end();
    if (!named && !m_world.IsDisabled(Rule::kTakeoversRecordServers)) {
      recorded.servers.push_back(server);
    }
  };
  for (const int i : ListedServers()) {
    add(i, m_list[static_cast<std::size_t>(i)].started_ms);
  }
  for (const auto& departed : m_departed) {
    if (!departed.covering || departed.covering > recorded.covered_by) {
      add(departed.server, departed.started_ms);
    }
  }
  return recorded;
}

bool Proxy::IsSupported(const GroupRoster& roster) const {
  if (!m_primary || !Reaches(*m_primary) || !m_group.At(*m_primary).is_primary) {
    return false;
  }
  const auto listed = ListedServers();
  return !roster.covered_by || std::any_of(listed.begin(), listed.end(), [&](int i) {
    return i != *m_primary && Reaches(i) && m_group.At(i).received() >= *roster.covered_by;
  });
}

void Proxy::KeepRoster() {
  if (!m_store.available() || !IsListSettled()) {
    m_roster_loaded.reset();
    return;
  }
  if (!m_roster_loaded) {
    m_roster_loaded = m_store.Load();
    return;
  }
  const auto loaded = *std::exchange(m_roster_loaded, std::nullopt);
  m_roster_at = m_world.now() + kRosterInterval;
  if (loaded.roster && !m_world.IsDisabled(Rule::kRosterIsKept)) {
    ExpectServers(*loaded.roster);
  }
  auto row = loaded.row;
  row.roster = MakeRoster();
  row.stopped_primary.reset();
  const bool may_write = !loaded.history_lost && !row.open &&
                         DecideClaim(loaded, "") == FenceClaim::kClaim &&
                         row.roster != loaded.row.roster && IsSupported(*row.roster);
  if (may_write && m_store.Replace(loaded, row)) {
    m_world.Trace("{} records {} servers", Name(), row.roster->servers.size());
  }
}

}  // namespace cardamom::takeover_model
