#include "proxy/group.h"

#include <algorithm>
#include <utility>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kLongPoll{5000};
// Used for the primary by the coordinator of rank 0: a shorter poll detects sooner that the primary
// does not answer.
constexpr Millis kPrimaryLongPoll{1000};
constexpr Millis kLongPollMargin{300};
constexpr Millis kStateRequestTimeout{300};
// Pause of a watch loop after an answer while no request waits for a commit.
constexpr Millis kActivePause{50};
constexpr Millis kIdlePause{5000};
constexpr Millis kFailurePause{50};
constexpr Millis kPromotionPause{5};
constexpr Millis kActiveDuration{5000};
constexpr Millis kStopGrace{5000};
constexpr double kRetryTokensPerAttempt = 0.2;
constexpr double kMaxRetryTokens = 50;

}  // namespace

Group::Group(ProxyContext& context, GroupRecord record, std::size_t connection_share)
    : m_context(context),
      m_id(record.group),
      m_record(std::move(record)),
      m_connection_share(connection_share),
      m_retry_budget(kRetryTokensPerAttempt, kMaxRetryTokens) {}

void Group::Start() {
  std::vector<std::shared_ptr<EndpointRuntime>> new_endpoints;
  {
    const std::lock_guard lock(m_mutex);
    new_endpoints = ApplyRecord();
  }
  for (const auto& endpoint : new_endpoints) {
    Watch(endpoint);
  }
}

void Group::Stop() {
  const auto grace = Millis(m_context.settings.transaction_idle_ms) + kStopGrace;
  const std::lock_guard lock(m_mutex);
  m_ends_at = Clock::now() + grace;
}

bool Group::HasEnded() const {
  const std::lock_guard lock(m_mutex);
  return m_ends_at && Clock::now() >= *m_ends_at;
}

void Group::Update(GroupRecord record, std::size_t connection_share) {
  std::vector<std::shared_ptr<EndpointRuntime>> new_endpoints;
  {
    const std::lock_guard lock(m_mutex);
    m_record = std::move(record);
    m_connection_share = connection_share;
    new_endpoints = ApplyRecord();
  }
  for (const auto& endpoint : new_endpoints) {
    Watch(endpoint);
  }
  m_changed.NotifyAll();
}

std::vector<std::shared_ptr<EndpointRuntime>> Group::ApplyRecord() {
  std::vector<std::shared_ptr<EndpointRuntime>> new_endpoints;
  for (const auto& spec : m_record.endpoints) {
    auto& runtime = m_endpoints[spec.id];
    if (runtime != nullptr && runtime->spec.address == spec.address) {
      runtime->leaving = spec.leaving;
      if (!spec.leaving) {
        runtime->leaving_since.reset();
        runtime->client->work_pool().SetMaxConnections(m_connection_share);
      } else if (!runtime->leaving_since) {
        runtime->leaving_since = Clock::now();
      }
      continue;
    }
    if (runtime != nullptr) {
      runtime->removed = true;
    }
    runtime = MakeRuntime(spec);
    new_endpoints.push_back(runtime);
  }
  std::erase_if(m_endpoints, [this](const auto& item) {
    if (m_record.FindEndpoint(item.first) != nullptr) {
      return false;
    }
    item.second->removed = true;
    m_context.events.Emit(EventCode::kEndpointDropped, {.group = m_id, .endpoint = item.first});
    return true;
  });
  m_view.RemoveUnlisted(m_record);
  CloseLeavingConnections();
  return new_endpoints;
}

void Group::CloseLeavingConnections() {
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint->leaving && m_view.primary() != id) {
      endpoint->client->work_pool().SetMaxConnections(0);
    }
  }
}

bool Group::AcceptsWork(const EndpointRuntime& endpoint, WorkKind work) const {
  const std::lock_guard lock(m_mutex);
  if (!endpoint.leaving_since) {
    return true;
  }
  return work == WorkKind::kStatement && Clock::now() < *endpoint.leaving_since + kLeavingGrace;
}

std::shared_ptr<EndpointRuntime> Group::MakeRuntime(const EndpointSpec& spec) const {
  auto runtime = std::make_shared<EndpointRuntime>(spec);
  if (spec.leaving) {
    runtime->leaving_since = Clock::now();
  }
  runtime->client = std::make_shared<EndpointClient>(m_context.io, *Address::Parse(spec.address),
                                                     m_context.settings.vm_id, m_connection_share);
  ConcurrencyLimit::Options limit;
  limit.initial_limit = std::min<std::size_t>(m_record.slots, m_connection_share);
  limit.max_limit = m_connection_share;
  limit.min_limit = std::min<std::size_t>(2, m_connection_share);
  runtime->admission = std::make_shared<EndpointAdmission>(
      limit, static_cast<std::size_t>(m_context.settings.queue_capacity),
      Millis(m_context.settings.read_queue_ms));
  return runtime;
}

GroupRecord Group::record() const {
  const std::lock_guard lock(m_mutex);
  return m_record;
}

std::vector<std::shared_ptr<EndpointRuntime>> Group::ServingEndpoints() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::shared_ptr<EndpointRuntime>> serving;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!endpoint->leaving) {
      serving.push_back(endpoint);
    }
  }
  return serving;
}

std::vector<std::shared_ptr<EndpointRuntime>> Group::AllEndpoints() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::shared_ptr<EndpointRuntime>> all;
  for (const auto& [id, endpoint] : m_endpoints) {
    all.push_back(endpoint);
  }
  return all;
}

std::shared_ptr<EndpointRuntime> Group::Find(const EndpointId& endpoint) const {
  const std::lock_guard lock(m_mutex);
  const auto it = m_endpoints.find(endpoint);
  return it == m_endpoints.end() ? nullptr : it->second;
}

asio::awaitable<bool> Group::WaitFor(std::function<bool(const GroupView&)> predicate,
                                     TimePoint deadline) {
  const auto holds = [this, &predicate] { return WithView(predicate); };
  co_return co_await m_changed.WaitUntil(holds, deadline);
}

asio::awaitable<Outcome<Group::Primary>> Group::WaitForPrimary(Term min_term,
                                                               TimePoint deadline,
                                                               WorkKind work) {
  const auto has_primary = [min_term](const GroupView& view) {
    return view.primary().has_value() && view.term() >= min_term;
  };
  if (!WithView(has_primary)) {
    co_await Refresh();
  }
  while (co_await WaitFor(has_primary, deadline)) {
    Primary primary;
    std::optional<EndpointId> id;
    {
      const std::lock_guard lock(m_mutex);
      primary.term = m_view.term();
      id = m_view.primary();
    }
    primary.endpoint = Find(*id);
    if (primary.endpoint != nullptr && AcceptsWork(*primary.endpoint, work)) {
      co_return primary;
    }
    // This primary is not in the record or gets no more work of this kind; its successor begins a
    // greater term.
    const auto current = primary.term;
    if (!co_await WaitFor([current](const GroupView& view) { return view.term() > current; },
                          deadline)) {
      break;
    }
  }
  co_return Error{ResultCode::kNoPrimary, "no primary of " + m_id.value() + " is known"};
}

asio::awaitable<Group::CommitState> Group::WaitForCommit(Position position, TimePoint deadline) {
  const auto decided = [position](const GroupView& view) {
    return view.IsCommitted(position) || view.term() > position.term;
  };
  if (!WithView(decided)) {
    std::multiset<TimePoint>::iterator wait_it;
    {
      const std::lock_guard lock(m_mutex);
      wait_it = m_commit_wait_starts.insert(Clock::now());
    }
    ++m_wakeup_count;
    m_wakeup.NotifyAll();
    co_await WaitFor(decided, deadline);
    const std::lock_guard lock(m_mutex);
    m_commit_wait_starts.erase(wait_it);
  }
  co_return WithView([position](const GroupView& view) {
    if (view.IsCommitted(position)) {
      return CommitState::kCommitted;
    }
    return view.term() > position.term ? CommitState::kTermChanged : CommitState::kDeadline;
  });
}

Duration Group::OldestCommitWait() const {
  const std::lock_guard lock(m_mutex);
  return m_commit_wait_starts.empty() ? Duration::zero()
                                      : Clock::now() - *m_commit_wait_starts.begin();
}

void Group::ObserveState(const ServerState& state, TimePoint request_sent_at) {
  bool is_new_term = false;
  EventSubject subject;
  {
    const std::lock_guard lock(m_mutex);
    is_new_term = m_view.Observe(state, request_sent_at, Clock::now());
    if (is_new_term) {
      CloseLeavingConnections();
    }
    subject = {
        .group = m_id, .endpoint = m_view.primary().value_or(EndpointId()), .term = m_view.term()};
  }
  if (is_new_term) {
    m_context.events.Emit(EventCode::kTermLearned, subject);
  }
  m_changed.NotifyAll();
}

void Group::ObserveHeld(const EndpointId& endpoint, Position position) {
  bool committed_advanced = false;
  {
    const std::lock_guard lock(m_mutex);
    const auto before = m_view.committed();
    m_view.ObserveHeld(endpoint, position);
    committed_advanced = m_view.committed() != before;
  }
  if (committed_advanced) {
    m_changed.NotifyAll();
  }
}

void Group::ObserveFailure(EndpointRuntime& endpoint,
                           const Error& error,
                           TimePoint request_sent_at) {
  const bool connection_refused = error.code == ResultCode::kConnectionRefused;
  bool was_reachable = false;
  {
    const std::lock_guard lock(m_mutex);
    const auto* server = m_view.Find(endpoint.spec.id);
    was_reachable = server == nullptr || server->reachable;
    m_view.ObserveFailure(endpoint.spec.id, request_sent_at, connection_refused);
  }
  if (was_reachable) {
    m_context.events.Emit(EventCode::kEndpointUnreachable,
                          {.group = m_id, .endpoint = endpoint.spec.id, .detail = error.detail});
  }
  m_changed.NotifyAll();
}

void Group::ObserveTerm(Term term) {
  bool is_new = false;
  {
    const std::lock_guard lock(m_mutex);
    is_new = m_view.ObserveTerm(term);
  }
  if (is_new) {
    m_changed.NotifyAll();
  }
}

void Group::set_failover_role(bool watched, bool is_first_coordinator) {
  m_is_first_coordinator = is_first_coordinator;
  if (m_watched.exchange(watched) != watched) {
    ++m_wakeup_count;
    m_wakeup.NotifyAll();
  }
}

bool Group::TryConsumeRetryToken() {
  const std::lock_guard lock(m_mutex);
  return m_retry_budget.TryConsumeToken();
}

void Group::OnFirstAttempt() {
  const std::lock_guard lock(m_mutex);
  m_retry_budget.OnFirstAttempt();
}

bool Group::IsActive() const {
  const auto last = TimePoint(Duration(m_last_use.load()));
  return m_watched || Clock::now() - last < kActiveDuration;
}

asio::awaitable<bool> Group::RequestState(std::shared_ptr<EndpointRuntime> endpoint, Millis wait) {
  StateRequest request;
  request.wait_ms = static_cast<std::uint32_t>(wait.count());
  if (wait > Millis(0)) {
    request.contact_limit_ms = static_cast<std::uint32_t>(m_context.settings.suspect_refused_ms);
    const std::lock_guard lock(m_mutex);
    if (const auto* server = m_view.Find(endpoint->spec.id)) {
      request.seen_held = server->state.held;
      request.seen_applied = server->state.applied;
      request.seen_fenced = server->state.fenced;
      const auto contact_age = Millis(server->state.primary_contact_age_ms);
      if (contact_age >= Millis(request.contact_limit_ms)) {
        // The server has already reported this loss of contact with its primary; it has to answer
        // again only at the next limit.
        request.contact_limit_ms =
            contact_age < Millis(m_context.settings.suspect_silence_ms)
                ? static_cast<std::uint32_t>(m_context.settings.suspect_silence_ms)
                : 0;
      }
    }
  }
  const auto request_sent_at = Clock::now();
  const auto margin = wait > Millis(0) ? kLongPollMargin : kStateRequestTimeout;
  const auto state = co_await endpoint->client->GetState(request, request_sent_at + wait + margin);
  if (endpoint->removed) {
    co_return false;
  }
  if (!state) {
    ObserveFailure(*endpoint, state.error(), request_sent_at);
    co_return false;
  }
  if (wait == Millis(0)) {
    endpoint->round_trip_time = (Clock::now() - request_sent_at).count();
  }
  ObserveState(*state, request_sent_at);
  co_return true;
}

Millis Group::LongPollWait(const EndpointId& endpoint) const {
  const bool is_primary =
      WithView([&](const GroupView& view) { return view.primary() == endpoint; });
  return is_primary && m_is_first_coordinator ? kPrimaryLongPoll : kLongPoll;
}

void Group::Watch(const std::shared_ptr<EndpointRuntime>& endpoint) {
  Spawn(m_context.io, [self = shared_from_this(), endpoint]() -> asio::awaitable<void> {
    co_await self->WatchLoop(endpoint);
  });
}

asio::awaitable<void> Group::WatchLoop(std::shared_ptr<EndpointRuntime> endpoint) {
  // The first request is answered at once, not as a long poll.
  Millis wait{0};
  while (!endpoint->removed && !HasEnded()) {
    const auto seen_wakeups = m_wakeup_count.load();
    const bool answered = co_await RequestState(endpoint, wait);
    wait = answered && IsActive() ? LongPollWait(endpoint->spec.id) : Millis(0);
    bool has_commit_waits = false;
    bool promotion_under_way = false;
    {
      const std::lock_guard lock(m_mutex);
      has_commit_waits = !m_commit_wait_starts.empty();
      promotion_under_way = m_view.latest_observed_term() > m_view.term();
    }
    if (answered && has_commit_waits) {
      continue;
    }
    Millis pause = IsActive() ? kActivePause : kIdlePause;
    if (!answered) {
      pause = kFailurePause;
    } else if (promotion_under_way) {
      pause = kPromotionPause;
    }
    const auto ends = [this, seen_wakeups, &endpoint, answered] {
      return (answered && m_wakeup_count != seen_wakeups) || endpoint->removed;
    };
    co_await m_wakeup.WaitUntil(ends, Clock::now() + pause);
  }
}

asio::awaitable<void> Group::Refresh() {
  std::uint64_t round = 0;
  bool runs_round = false;
  {
    const std::lock_guard lock(m_mutex);
    runs_round = !m_refreshing;
    m_refreshing = true;
    round = m_refresh_round;
  }
  if (!runs_round) {
    // The round in progress may have sent its requests before this call, so only the next round is
    // sure to return newer states. Callers therefore wait for a condition in a loop and call again.
    co_await m_changed.WaitUntil(
        [this, round] {
          const std::lock_guard lock(m_mutex);
          return m_refresh_round != round;
        },
        Clock::now() + kStateRequestTimeout);
    co_return;
  }
  auto outstanding = std::make_shared<std::atomic<std::size_t>>(0);
  const auto endpoints = AllEndpoints();
  *outstanding = endpoints.size();
  for (const auto& endpoint : endpoints) {
    Spawn(m_context.io,
          [self = shared_from_this(), endpoint, outstanding]() -> asio::awaitable<void> {
            co_await self->RequestState(endpoint, Millis(0));
            --*outstanding;
            self->m_changed.NotifyAll();
          });
  }
  // One endpoint that does not answer must not delay callers that need the others.
  const auto max_outstanding = endpoints.size() - MajorityOf(endpoints.size());
  const auto majority_answered = [&outstanding, max_outstanding] {
    return *outstanding <= max_outstanding;
  };
  if (!endpoints.empty()) {
    co_await m_changed.WaitUntil(majority_answered, Clock::now() + kStateRequestTimeout);
  }
  {
    const std::lock_guard lock(m_mutex);
    m_refreshing = false;
    ++m_refresh_round;
  }
  m_changed.NotifyAll();
}

}  // namespace cardamom
