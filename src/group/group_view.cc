#include "group/group_view.h"

#include <algorithm>

namespace cardamom {
namespace {

constexpr std::size_t kMaxSamples = 512;
constexpr Millis kMinSampleSpacing{5};

// Returns the greatest value that a majority of `count` voters reaches. `values` holds one value
// for each voter that has one.
template <typename T>
std::optional<T> MajorityValue(std::vector<T> values, std::size_t count) {
  const auto needed = MajorityOf(count);
  if (count == 0 || values.size() < needed) {
    return std::nullopt;
  }
  std::sort(values.rbegin(), values.rend());
  return values[needed - 1];
}

}  // namespace

bool GroupView::Observe(const ServerState& state, TimePoint sent, TimePoint received) {
  ObserveTerm(state.fenced);
  const bool term_changed = state.lineage > m_term;
  if (term_changed) {
    AdoptTerm(state);
  }
  auto& server = m_servers[state.endpoint];
  server.reachable = true;
  server.failing_since.reset();
  server.connection_refused = false;
  server.response_received_at = received;
  if (state.fenced <= m_term && (!server.last_unfenced_at || sent > *server.last_unfenced_at)) {
    server.last_unfenced_at = sent;
  }
  // Answers may arrive out of order. A server's lineage and what it holds in it only grow, so the
  // answer to the request sent last has the newest state.
  if (sent >= server.request_sent_at || state.instance != server.state.instance) {
    server.state = state;
    server.request_sent_at = sent;
  }
  if (state.is_primary && state.lineage == m_term) {
    TakeSample(state, sent);
  }
  UpdateCommitted();
  return term_changed;
}

void GroupView::AdoptTerm(const ServerState& state) {
  m_term = state.lineage;
  m_term_start = state.start;
  auto note = DecodeJson<TermNote>(state.note);
  m_note = note ? std::move(*note) : TermNote{};
  m_samples.clear();
  for (auto& [id, server] : m_servers) {
    server.last_unfenced_at.reset();
  }
}

void GroupView::TakeSample(const ServerState& state, TimePoint sent) {
  if (!m_samples.empty() && sent < m_samples.back().sent + kMinSampleSpacing) {
    return;
  }
  m_samples.push_back({sent, state.held});
  if (m_samples.size() > kMaxSamples) {
    m_samples.pop_front();
  }
}

void GroupView::ObserveFailure(const EndpointId& endpoint, TimePoint sent, bool refused) {
  auto& server = m_servers[endpoint];
  server.reachable = false;
  server.connection_refused = refused;
  if (!server.failing_since) {
    server.failing_since = sent;
  }
}

void GroupView::ObserveHeld(const EndpointId& endpoint, Position position) {
  const auto raise = [&](const EndpointId& id) {
    const auto it = m_servers.find(id);
    if (it != m_servers.end() && it->second.state.lineage == position.term) {
      auto& state = it->second.state;
      state.held = std::max(state.held, position.index);
    }
  };
  raise(endpoint);
  if (position.term == m_term) {
    // Servers receive the entries of a lineage only from its primary, so the primary holds them as
    // well.
    raise(m_note.primary);
  }
  UpdateCommitted();
}

bool GroupView::ObserveTerm(Term term) {
  if (term <= m_latest_observed_term) {
    return false;
  }
  m_latest_observed_term = term;
  return true;
}

void GroupView::RemoveUnlisted(const GroupRecord& record) {
  std::erase_if(m_servers, [&](const auto& item) {
    const auto& voters = m_note.voters;
    return record.FindEndpoint(item.first) == nullptr &&
           std::find(voters.begin(), voters.end(), item.first) == voters.end();
  });
}

std::optional<EndpointId> GroupView::primary() const {
  if (m_term == Term()) {
    return std::nullopt;
  }
  return m_note.primary;
}

const GroupView::Server* GroupView::Find(const EndpointId& endpoint) const {
  const auto it = m_servers.find(endpoint);
  return it == m_servers.end() ? nullptr : &it->second;
}

void GroupView::UpdateCommitted() {
  std::vector<LogIndex> held;
  for (const auto& voter : m_note.voters) {
    const auto* server = Find(voter);
    if (server != nullptr && server->state.lineage == m_term) {
      held.push_back(server->state.held);
    }
  }
  const auto majority = MajorityValue(std::move(held), m_note.voters.size());
  // Entries of older terms count only once the first entry of this term is held by a majority.
  if (majority && *majority >= m_term_start) {
    m_committed = std::max(m_committed, *majority);
  }
}

bool GroupView::IsTermComplete() const {
  return m_term != Term() && m_committed >= m_term_start;
}

bool GroupView::IsCommitted(Position position) const {
  return position.term == m_term && position.index <= m_committed;
}

std::optional<TimePoint> GroupView::ConfirmedAt() const {
  std::vector<TimePoint> times;
  for (const auto& voter : m_note.voters) {
    const auto* server = Find(voter);
    if (server != nullptr && server->last_unfenced_at) {
      times.push_back(*server->last_unfenced_at);
    }
  }
  return MajorityValue(std::move(times), m_note.voters.size());
}

std::optional<LogIndex> GroupView::IndexForAge(Duration age, TimePoint now) const {
  const auto confirmed = ConfirmedAt();
  if (!confirmed) {
    return std::nullopt;
  }
  for (const auto& sample : m_samples) {
    // A sample taken after the confirmation counts as taken at the confirmation: only until then is
    // the primary known to have been the primary.
    if (std::min(sample.sent, *confirmed) >= now - age) {
      return sample.index;
    }
  }
  return std::nullopt;
}

std::optional<Duration> GroupView::LagOf(const EndpointId& endpoint, TimePoint now) const {
  const auto* server = Find(endpoint);
  if (server == nullptr || server->state.lineage != m_term || m_samples.empty()) {
    return std::nullopt;
  }
  const auto applied = server->state.applied;
  // The server has been lagging since the first sample that it has not reached.
  const auto missed = std::find_if(m_samples.begin(), m_samples.end(),
                                   [&](const Sample& sample) { return sample.index > applied; });
  if (missed == m_samples.end()) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), now - missed->sent);
}

}  // namespace cardamom
