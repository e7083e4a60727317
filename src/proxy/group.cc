#include "proxy/group.h"

#include <algorithm>
#include <utility>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kLongPoll{5000};
// Used by the failover coordinator for the primary: a shorter poll detects sooner that it does not
// answer.
constexpr Millis kPrimaryPoll{1000};
constexpr Millis kLongPollMargin{300};
constexpr Millis kQuestionTimeout{300};
// Pause of a watch loop after an answer while no request waits for a commit.
constexpr Millis kActivePause{50};
constexpr Millis kIdlePause{5000};
constexpr Millis kFailurePause{50};
constexpr Millis kPromotionPause{5};
constexpr Millis kActiveFor{5000};
constexpr Millis kStopGrace{5000};
constexpr double kRetryRatio = 0.2;
constexpr double kRetryReserve = 50;

}  // namespace

Group::Group(ProxyContext& context, GroupRecord record, std::size_t connection_share)
    : m_context(context),
      m_id(record.group),
      m_record(std::move(record)),
      m_connection_share(connection_share),
      m_retry_budget(kRetryRatio, kRetryReserve) {}

void Group::Start() {
  std::vector<std::shared_ptr<EndpointRuntime>> fresh;
  {
    const std::lock_guard lock(m_mutex);
    fresh = ApplyRecord();
  }
  for (const auto& endpoint : fresh) {
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
  std::vector<std::shared_ptr<EndpointRuntime>> fresh;
  {
    const std::lock_guard lock(m_mutex);
    m_record = std::move(record);
    m_connection_share = connection_share;
    fresh = ApplyRecord();
  }
  for (const auto& endpoint : fresh) {
    Watch(endpoint);
  }
  m_changed.NotifyAll();
}

std::vector<std::shared_ptr<EndpointRuntime>> Group::ApplyRecord() {
  std::vector<std::shared_ptr<EndpointRuntime>> fresh;
  for (const auto& spec : m_record.endpoints) {
    auto& runtime = m_endpoints[spec.id];
    if (runtime != nullptr && runtime->spec.address == spec.address) {
      runtime->leaving = spec.leaving;
      if (!spec.leaving) {
        runtime->leaving_since.reset();
        runtime->client->work_pool().SetMax(m_connection_share);
      } else if (!runtime->leaving_since) {
        runtime->leaving_since = Clock::now();
      }
      continue;
    }
    if (runtime != nullptr) {
      runtime->dropped = true;
    }
    runtime = MakeRuntime(spec);
    fresh.push_back(runtime);
  }
  std::erase_if(m_endpoints, [this](const auto& item) {
    if (m_record.Find(item.first) != nullptr) {
      return false;
    }
    item.second->dropped = true;
    m_context.events.Emit(EventCode::kEndpointDropped, {.group = m_id, .endpoint = item.first});
    return true;
  });
  m_view.RemoveUnlisted(m_record);
  ReleaseLeaving();
  return fresh;
}

void Group::ReleaseLeaving() {
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint->leaving && m_view.primary() != id) {
      endpoint->client->work_pool().SetMax(0);
    }
  }
}

bool Group::MayStillGetWork(const EndpointRuntime& endpoint, Use use) const {
  const std::lock_guard lock(m_mutex);
  if (!endpoint.leaving_since) {
    return true;
  }
  return use == Use::kStatement && Clock::now() < *endpoint.leaving_since + kLeavingGrace;
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
  runtime->gate = std::make_shared<EndpointAdmission>(
      limit, static_cast<std::size_t>(m_context.settings.queue_capacity),
      Millis(m_context.settings.read_queue_ms));
  return runtime;
}

GroupRecord Group::record() const {
  const std::lock_guard lock(m_mutex);
  return m_record;
}

std::vector<std::shared_ptr<EndpointRuntime>> Group::Serving() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::shared_ptr<EndpointRuntime>> serving;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!endpoint->leaving) {
      serving.push_back(endpoint);
    }
  }
  return serving;
}

std::vector<std::shared_ptr<EndpointRuntime>> Group::All() const {
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

asio::awaitable<Outcome<Group::Primary>> Group::WaitForPrimary(Term least,
                                                               TimePoint deadline,
                                                               Use use) {
  const auto known = [least](const GroupView& view) {
    return view.primary().has_value() && view.term() >= least;
  };
  if (!WithView(known)) {
    co_await Refresh();
  }
  while (co_await WaitFor(known, deadline)) {
    Primary primary;
    std::optional<EndpointId> id;
    {
      const std::lock_guard lock(m_mutex);
      primary.term = m_view.term();
      id = m_view.primary();
    }
    primary.endpoint = Find(*id);
    if (primary.endpoint != nullptr && MayStillGetWork(*primary.endpoint, use)) {
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
    std::multiset<TimePoint>::iterator place;
    {
      const std::lock_guard lock(m_mutex);
      place = m_commit_waits.insert(Clock::now());
    }
    ++m_pokes;
    m_poke.NotifyAll();
    co_await WaitFor(decided, deadline);
    const std::lock_guard lock(m_mutex);
    m_commit_waits.erase(place);
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
  return m_commit_waits.empty() ? Duration::zero() : Clock::now() - *m_commit_waits.begin();
}

void Group::ObserveState(const ServerState& state, TimePoint sent) {
  bool learned = false;
  EventSubject subject;
  {
    const std::lock_guard lock(m_mutex);
    learned = m_view.Observe(state, sent, Clock::now());
    if (learned) {
      ReleaseLeaving();
    }
    subject = {
        .group = m_id, .endpoint = m_view.primary().value_or(EndpointId()), .term = m_view.term()};
  }
  if (learned) {
    m_context.events.Emit(EventCode::kTermLearned, subject);
  }
  m_changed.NotifyAll();
}

void Group::ObserveHeld(const EndpointId& endpoint, Position position) {
  bool moved = false;
  {
    const std::lock_guard lock(m_mutex);
    const auto before = m_view.committed();
    m_view.ObserveHeld(endpoint, position);
    moved = m_view.committed() != before;
  }
  if (moved) {
    m_changed.NotifyAll();
  }
}

void Group::ObserveFailure(EndpointRuntime& endpoint, const Error& error, TimePoint sent) {
  const bool refused = error.code == ResultCode::kConnectionRefused;
  bool was_reachable = false;
  {
    const std::lock_guard lock(m_mutex);
    const auto* server = m_view.Find(endpoint.spec.id);
    was_reachable = server == nullptr || server->reachable;
    m_view.ObserveFailure(endpoint.spec.id, sent, refused);
  }
  if (was_reachable) {
    m_context.events.Emit(EventCode::kEndpointUnreachable,
                          {.group = m_id, .endpoint = endpoint.spec.id, .detail = error.detail});
  }
  m_changed.NotifyAll();
}

void Group::HearOfTerm(Term term) {
  bool news = false;
  {
    const std::lock_guard lock(m_mutex);
    news = m_view.ObserveTerm(term);
  }
  if (news) {
    m_changed.NotifyAll();
  }
}

void Group::set_watched(bool watched, bool steward) {
  m_steward = steward;
  if (m_watched.exchange(watched) != watched) {
    ++m_pokes;
    m_poke.NotifyAll();
  }
}

bool Group::TryRetry() {
  const std::lock_guard lock(m_mutex);
  return m_retry_budget.TryConsumeToken();
}

void Group::OnFirstAttempt() {
  const std::lock_guard lock(m_mutex);
  m_retry_budget.OnFirstAttempt();
}

bool Group::IsActive() const {
  const auto last = TimePoint(Duration(m_last_use.load()));
  return m_watched || Clock::now() - last < kActiveFor;
}

asio::awaitable<bool> Group::Ask(std::shared_ptr<EndpointRuntime> endpoint, Millis wait) {
  StateRequest request;
  request.wait_ms = static_cast<std::uint32_t>(wait.count());
  if (wait > Millis(0)) {
    request.contact_limit_ms = static_cast<std::uint32_t>(m_context.settings.suspect_refused_ms);
    const std::lock_guard lock(m_mutex);
    if (const auto* server = m_view.Find(endpoint->spec.id)) {
      request.seen_held = server->state.held;
      request.seen_applied = server->state.applied;
      request.seen_fenced = server->state.fenced;
      const auto contact = Millis(server->state.primary_contact_age_ms);
      if (contact >= Millis(request.contact_limit_ms)) {
        // The server has already reported this loss of contact with its primary; it has to answer
        // again only at the next limit.
        request.contact_limit_ms =
            contact < Millis(m_context.settings.suspect_silence_ms)
                ? static_cast<std::uint32_t>(m_context.settings.suspect_silence_ms)
                : 0;
      }
    }
  }
  const auto sent = Clock::now();
  const auto margin = wait > Millis(0) ? kLongPollMargin : kQuestionTimeout;
  const auto state = co_await endpoint->client->State(request, sent + wait + margin);
  if (endpoint->dropped) {
    co_return false;
  }
  if (!state) {
    ObserveFailure(*endpoint, state.error(), sent);
    co_return false;
  }
  if (wait == Millis(0)) {
    endpoint->round_trip = (Clock::now() - sent).count();
  }
  ObserveState(*state, sent);
  co_return true;
}

Millis Group::PollTimeOf(const EndpointId& endpoint) const {
  const bool is_primary =
      WithView([&](const GroupView& view) { return view.primary() == endpoint; });
  return is_primary && m_steward ? kPrimaryPoll : kLongPoll;
}

void Group::Watch(const std::shared_ptr<EndpointRuntime>& endpoint) {
  Spawn(m_context.io, [self = shared_from_this(), endpoint]() -> asio::awaitable<void> {
    co_await self->WatchLoop(endpoint);
  });
}

asio::awaitable<void> Group::WatchLoop(std::shared_ptr<EndpointRuntime> endpoint) {
  // The first request is answered at once, not as a long poll.
  Millis wait{0};
  while (!endpoint->dropped && !HasEnded()) {
    const auto seen_pokes = m_pokes.load();
    const bool answered = co_await Ask(endpoint, wait);
    wait = answered && IsActive() ? PollTimeOf(endpoint->spec.id) : Millis(0);
    bool commit_waits = false;
    bool promotion_under_way = false;
    {
      const std::lock_guard lock(m_mutex);
      commit_waits = !m_commit_waits.empty();
      promotion_under_way = m_view.latest_observed_term() > m_view.term();
    }
    if (answered && commit_waits) {
      continue;
    }
    Millis pause = IsActive() ? kActivePause : kIdlePause;
    if (!answered) {
      pause = kFailurePause;
    } else if (promotion_under_way) {
      pause = kPromotionPause;
    }
    const auto ends = [this, seen_pokes, &endpoint, answered] {
      return (answered && m_pokes != seen_pokes) || endpoint->dropped;
    };
    co_await m_poke.WaitUntil(ends, Clock::now() + pause);
  }
}

asio::awaitable<void> Group::Refresh() {
  std::uint64_t round = 0;
  bool leads = false;
  {
    const std::lock_guard lock(m_mutex);
    leads = !m_refreshing;
    m_refreshing = true;
    round = m_refresh_round;
  }
  if (!leads) {
    // The round in progress may have sent its requests before this call, so only the next round is
    // sure to return newer states. Callers therefore wait for a condition in a loop and call again.
    co_await m_changed.WaitUntil(
        [this, round] {
          const std::lock_guard lock(m_mutex);
          return m_refresh_round != round;
        },
        Clock::now() + kQuestionTimeout);
    co_return;
  }
  auto left = std::make_shared<std::atomic<std::size_t>>(0);
  const auto endpoints = All();
  *left = endpoints.size();
  for (const auto& endpoint : endpoints) {
    Spawn(m_context.io, [self = shared_from_this(), endpoint, left]() -> asio::awaitable<void> {
      co_await self->Ask(endpoint, Millis(0));
      --*left;
      self->m_changed.NotifyAll();
    });
  }
  // One endpoint that does not answer must not delay callers that need the others.
  const auto may_miss = endpoints.size() - MajorityOf(endpoints.size());
  const auto majority_answered = [&left, may_miss] { return *left <= may_miss; };
  if (!endpoints.empty()) {
    co_await m_changed.WaitUntil(majority_answered, Clock::now() + kQuestionTimeout);
  }
  {
    const std::lock_guard lock(m_mutex);
    m_refreshing = false;
    ++m_refresh_round;
  }
  m_changed.NotifyAll();
}

}  // namespace cardamom
