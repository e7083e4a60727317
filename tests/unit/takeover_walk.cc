#include "takeover_walk.h"

namespace cardamom::takeover_model {
namespace {

constexpr std::int64_t kDuration = 40'000;
constexpr int kMaxTick = 40;
// Mean number of ticks between restarts of all proxies: about 14 s.
constexpr int kFleetRestartInterval = 700;

}  // namespace

Walk::Walk(std::uint64_t seed, Rule off, WalkOptions options)
    : m_world(seed, off, options),
      m_group(m_world),
      m_store(m_world),
      m_fleet(m_world, m_group, m_store),
      m_platform(m_world, m_group),
      m_proxies{Proxy(m_world, m_group, m_fleet, m_store, m_platform, 0),
                Proxy(m_world, m_group, m_fleet, m_store, m_platform, 1)} {
  m_group.set_hooks(
      {[this](int commit, Term term) { m_fleet.SendCommit(commit, term); },
       [this](int commit, Position log_end) { m_fleet.Acknowledge(commit, log_end); }});
}

bool Walk::Run() {
  const auto end = m_world.now() + kDuration;
  while (m_world.now() < end && IsSafe()) {
    m_world.Advance(1 + m_world.Pick(kMaxTick));
    const auto promoted = m_platform.promoted();
    m_platform.Advance();
    m_promoted_in_outage += m_store.available() ? 0 : m_platform.promoted() - promoted;
    m_store.Advance();
    m_group.set_under_takeover(m_platform.has_pending_orders() || !m_proxies[0].is_idle() ||
                               !m_proxies[1].is_idle());
    m_group.Advance(m_store.available());
    const int event = m_world.Pick(40);
    auto& proxy = m_proxies[static_cast<std::size_t>(m_world.Pick(2))];
    if (event < 16) {
      m_group.Commit();
    } else if (event < 18) {
      m_group.Change();
    } else if (event == 18) {
      proxy.ChangeReach(m_world.Pick(kMaxServers));
    } else if (event == 19 && m_store.Change() && m_world.options().old_lists) {
      m_group.LapseEntries();
    } else if (event < 28) {
      proxy.Observe();
    }
    if (m_world.options().fleet_restarts && m_world.PickForFleet(kFleetRestartInterval) == 0) {
      RestartFleet();
    }
    m_fleet.Advance();
    const int first = m_world.Pick(2);
    m_proxies[static_cast<std::size_t>(first)].Advance();
    m_proxies[static_cast<std::size_t>(1 - first)].Advance();
  }
  return IsSafe();
}

void Walk::RestartFleet() {
  m_world.Trace("all proxies restart:{}", m_group.Describe());
  m_fleet.Restart();
  for (auto& proxy : m_proxies) {
    proxy.Restart();
  }
}

std::vector<std::string> Walk::RunTraced() {
  m_world.set_traced();
  Run();
  return m_world.trace();
}

}  // namespace cardamom::takeover_model
