// How a proxy of the takeover model stops the servers, and what it knows of their logs then.
#include <algorithm>

#include "takeover_proxy.h"

namespace cardamom::takeover_model {
namespace {

constexpr std::int64_t kListPropagationTime = 5000;

}  // namespace

void Proxy::Stop() {
  if (!IsValid()) {
    return Finish("the claim expired before the servers were stopped");
  }
  auto newest = m_term;
  m_orders_sent = 0;
  m_order_refused = false;
  m_asked_primaries.clear();
  for (const auto& [i, status] : m_survey) {
    newest = std::max({newest, status.term, status.paused_at});
    if (status.is_primary) {
      m_asked_primaries.insert(i);
    }
  }
  m_stop_at = Term(newest.value() + 1);
  if (!m_reserved || !HasLeases()) {
    BeginHold();
  }
  Send(Operation::kStepDown, m_asked_primaries, m_stop_at);
  Enter(Stage::kStepDown, 0);
}

void Proxy::Pause() {
  if (!HasAllAnswers()) {
    return;
  }
  if (!IsValid()) {
    return Finish("the claim expired before the replicas were paused");
  }
  m_stepped_down = m_answers;
  const auto lost = LostPrimary(m_survey);
  auto replicas = ListedServers();
  for (const int i : ListedServers()) {
    const auto status = std::find_if(m_survey.begin(), m_survey.end(),
                                     [i](const auto& answer) { return answer.first == i; });
    if (status != m_survey.end() ? status->second.is_primary : lost == i) {
      m_asked_primaries.insert(i);
      replicas.erase(i);
    }
  }
  for (const auto& departed : m_departed) {
    if (!departed.restarted && !departed.never_listed) {
      replicas.insert(departed.server);
    }
  }
  m_asked_servers = replicas;
  m_asked_servers.insert(m_asked_primaries.begin(), m_asked_primaries.end());
  Send(Operation::kPause, replicas, m_stop_at);
  Enter(Stage::kPause, 0);
}

std::vector<StopResult> Proxy::StopResults() const {
  std::vector<StopResult> results;
  const auto add = [&](int i, bool was_primary, bool leaving, const auto& answers) {
    StopResult result;
    result.endpoint = IdOf(i);
    result.was_primary = was_primary;
    result.leaving = leaving;
    for (const auto& [answered, status] : answers) {
      const bool is_listed_incarnation =
          !m_world.options().checks_link_age || was_primary ||
          std::max(m_group.At(i).since, m_started_at) <= m_began - kListPropagationTime;
      const bool stopped = was_primary ? !status.is_primary : status.paused_at >= m_stop_at;
      if (answered == i && stopped && is_listed_incarnation) {
        result.stopped = true;
        result.received = status.received;
      }
    }
    if (was_primary && !result.stopped && m_world.IsDisabled(Rule::kLostPrimaryOfNewestTerm)) {
      result.covered_by = Position();
    }
    results.push_back(result);
  };
  for (const int i : ListedServers()) {
    const bool was_primary = m_asked_primaries.contains(i);
    add(i, was_primary, m_list[static_cast<std::size_t>(i)].leaving,
        was_primary ? m_stepped_down : m_answers);
  }
  const std::vector<std::pair<int, ServerStatus>> none;
  for (const auto& departed : m_departed) {
    const bool is_asked = !departed.restarted && !departed.never_listed;
    add(departed.server, false, true, is_asked ? m_answers : none);
    auto& result = results.back();
    result.was_primary = !result.stopped && departed.was_primary;
    if (m_world.options().samples_departed) {
      result.covered_by = departed.covering;
    } else if (m_world.now() - departed.since > GoneAfter(departed)) {
      result.covered_by = Position();
    }
  }
  if (m_expected_position && !m_world.IsDisabled(Rule::kRosterPosition)) {
    StopResult others;
    others.covered_by = m_expected_position;
    results.push_back(others);
  }
  return results;
}

std::vector<StopResult> Proxy::CoverDeparted(std::vector<StopResult> results) {
  m_stopped_earlier = false;
  if (m_reserved) {
    return results;
  }
  StoppedGroup group;
  group.servers = results;
  group.newest = m_term;
  for (const auto& [i, status] : m_survey) {
    group.newest = std::max(group.newest, status.term);
    if (status.is_primary) {
      group.primaries[IdOf(i)] = status.term;
    }
  }
  for (const auto& result : results) {
    group.newest = std::max(group.newest, result.received.term);
  }
  group.listed = SnapshotServerList().servers;
  for (const auto& departed : m_departed) {
    group.departed.push_back({IdOf(departed.server), departed.started_ms});
  }
  const bool is_still_stopped = m_stopped_primary && IsStillStopped(*m_stopped_primary, group);
  const auto stopped = FindStoppedPrimary(group);
  m_stopped_earlier = !stopped && is_still_stopped;
  m_stopped_primary = stopped ? stopped : is_still_stopped ? m_stopped_primary : std::nullopt;
  if (!m_stopped_primary) {
    return results;
  }
  m_world.Trace("{} takes {}.{}, where {} was stopped{}, for the end", Name(),
                m_stopped_primary->log_end.term.value(), m_stopped_primary->log_end.index.value(),
                m_stopped_primary->server.endpoint.value(), m_stopped_earlier ? " earlier" : "");
  return CoverByStoppedPrimary(std::move(results), *m_stopped_primary);
}

// Closes the row, which names the stopped primary only if no order can be accepted any more.
void Proxy::ConfirmStoppedPrimary() {
  auto row = m_row;
  row.open = false;
  const bool is_void =
      m_announced || FindOutstandingOrder(row, false, std::nullopt) == OutstandingOrder::kNone;
  if (!m_stopped_primary || is_void || m_world.IsDisabled(Rule::kStoppedPrimary)) {
    return CloseRow();
  }
  m_announces_to_close = true;
  Announce();
}

}  // namespace cardamom::takeover_model
