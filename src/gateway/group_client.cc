// The servers of the group, the links to them, and the search for the primary.
#include "gateway/group_client.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "async/spawn.h"
#include "gateway/link_check.h"
#include "gateway/unmatched_answer_log.h"

namespace cardamom {
namespace {

// Watermark samples are kept up to the largest staleness that a route may allow.
constexpr Millis kSampleRetention{20'000};
// A primary that gave no answer for this long is probed.
constexpr Millis kProbeAfterNoAnswer{300};
constexpr Millis kWatchTick{60};
// A probe needs no slot and no disk access, so a healthy server answers within the round trip.
constexpr Millis kProbeTimeout{220};
// Pause after a probe that gave no sample of the watermark, while a read waits for one.
constexpr Millis kProbeRetryPause{20};
// Pause between two rounds of probes in the search for a primary; up to 60 ms are added at random.
constexpr Millis kSearchPause{80};
// As above, while a server is at its connection limit: frequent probes would compete with the
// proxies that hold its connections.
constexpr Millis kSearchPauseAtLimit{400};
constexpr Millis kWarmTimeout{2000};
constexpr Millis kConnectionLimitRetention{1000};
// Base of the expected latency: the work on a statement, and the round trip.
constexpr Millis kBaseWork{30};
constexpr Millis kBaseSameDomain{1};
constexpr Millis kBaseOtherDomain{12};
// Statements in progress at a server, per slot, summed over all homes of its group.
constexpr std::size_t kInProgressPerSlot = 4;
constexpr std::size_t kMinInProgress = 2;
// An answer that takes longer has waited in the server's own queue.
constexpr Millis kQueuedLatency{300};
// Statements that may wait at one home for one server, and the longest expected wait of a read.
constexpr std::size_t kQueueCapacity = 200;
constexpr Millis kLongestQueueing{3000};
// Part of the drain time kept free for proxies to learn that a server is leaving, and for
// statements to reach it.
constexpr Millis kDrainMargin{2000};
// From the loss of a primary to the answers of the next one: suspicion, token, stop, order and up
// to 1 s of promotion, with one failed attempt.
constexpr Millis kLongestTakeover{2500};
// How long a takeover waits for a link that was opened early enough.
constexpr Millis kOldLinkWait{40};

asio::awaitable<Outcome<LinkPool::Lease>> AcquireControl(std::shared_ptr<LinkPool> pool,
                                                         ControlRequest request,
                                                         TimePoint deadline) {
  if (request.opened_before) {
    co_return co_await pool->AcquireOpenedBefore(*request.opened_before, deadline);
  }
  if (request.prefer_opened_before && pool->open_links() > 0) {
    const auto until =
        pool->leased() > 0 ? std::min(deadline, Clock::now() + kOldLinkWait) : TimePoint();
    auto lease = co_await pool->AcquireOpenedBefore(*request.prefer_opened_before, until);
    if (lease) {
      co_return lease;
    }
  }
  co_return co_await pool->Acquire({}, LinkUse::kControl, deadline);
}

EndpointRequest OwnRequest(EndpointOperation operation, Term term = {}) {
  EndpointRequest request;
  request.operation = operation;
  request.term = term;
  return request;
}

}  // namespace

GroupClient::GroupClient(GatewayContext& context, GroupId id)
    : m_context(context), m_id(std::move(id)), m_watermarks(kSampleRetention) {}

GroupClient::EndpointPtr GroupClient::Find(const EndpointId& id) const {
  const auto it = m_endpoints.find(id);
  return it == m_endpoints.end() ? nullptr : it->second;
}

std::size_t GroupClient::LinkLimit() const {
  return std::max<std::size_t>(1, m_share.links);
}

void GroupClient::SetShare(const Share& share) {
  m_share = share;
  for (const auto& [id, endpoint] : m_endpoints) {
    endpoint->pool->SetMaxLinks(LinkLimit());
    endpoint->pool->SetEager(m_share.every_proxy_is_home);
  }
}

void GroupClient::AddEndpoint(const EndpointEntry& entry) {
  const bool near = entry.domain.value() == m_context.settings.domain;
  const auto pool =
      std::make_shared<LinkPool>(m_context.io, entry, m_context.open_link, LinkLimit());
  pool->SetEager(m_share.every_proxy_is_home);
  pool->CountIn(m_context.metrics.link_counters());
  const auto unmatched =
      std::make_shared<UnmatchedAnswerLog>(m_context.events, m_context.metrics, m_id, entry.id);
  pool->SetOnUnmatchedAnswer(
      [unmatched](const char* reason) { unmatched->Count(reason, Clock::now()); });
  ConcurrencyLimit::Options limit;
  limit.min_limit = 1;
  limit.max_limit = std::max<std::size_t>(kMinInProgress, LinkLimit());
  // All homes together keep the slots of a server busy and fill part of its queue.
  limit.initial_limit = std::clamp(kInProgressPerSlot * static_cast<std::size_t>(entry.slots) /
                                       std::max<std::size_t>(1, m_share.home_count),
                                   kMinInProgress, limit.max_limit);
  limit.latency_threshold = kQueuedLatency;
  if (m_share.every_proxy_is_home) {
    limit.min_limit = limit.initial_limit = limit.max_limit = kQueueCapacity;
  }
  const auto gate = std::make_shared<EndpointAdmission>(limit, kQueueCapacity, kLongestQueueing);
  const auto endpoint = std::make_shared<Endpoint>(
      entry, pool, gate, kBaseWork + (near ? kBaseSameDomain : kBaseOtherDomain));
  m_endpoints[entry.id] = endpoint;
  m_context.events.Emit(
      EventCode::kEndpointListed,
      {.group = m_id,
       .endpoint = entry.id,
       .detail = fmt::format("{}, started {}, {}{}", entry.address, entry.started_ms,
                             entry.claims_primary ? "primary" : "replica",
                             entry.leaving ? ", leaving" : "")});
  Spawn(m_context.io,
        [pool]() -> asio::awaitable<void> { co_await pool->Warm(1, Clock::now() + kWarmTimeout); });
}

void GroupClient::Update(const std::vector<EndpointEntry>& entries, const GroupSettings& settings) {
  m_settings = settings;
  std::map<EndpointId, const EndpointEntry*> listed;
  for (const auto& entry : entries) {
    listed[entry.id] = &entry;
  }
  if (!m_first_listed && !entries.empty()) {
    m_first_listed = Clock::now();
    m_first_listed_at = BootClock::now();
  }
  DropMissing(listed);
  for (const auto& [id, entry] : listed) {
    auto endpoint = Find(id);
    if (!endpoint) {
      AddEndpoint(*entry);
      endpoint = Find(id);
    }
    endpoint->entry = *entry;
    m_known_processes.emplace(id, entry->started_ms);
    if (!entry->leaving) {
      endpoint->leaving_since.reset();
    } else if (!endpoint->leaving_since) {
      endpoint->leaving_since = Clock::now();
      m_context.events.Emit(EventCode::kEndpointLeaving, {.group = m_id, .endpoint = id});
    }
  }
  FindEndedProcesses();
  if (!m_primary && !m_endpoints.empty()) {
    StartSearch();
  }
}

bool GroupClient::IsAtConnectionLimit() const {
  return Clock::now() - m_connection_limit_seen_at < kConnectionLimitRetention;
}

void GroupClient::Start() {
  const auto self = shared_from_this();
  Spawn(m_context.io, [self]() -> asio::awaitable<void> { co_await self->Watch(); });
}

void GroupClient::Stop() {
  m_stopped = true;
  for (const auto& [id, endpoint] : m_endpoints) {
    endpoint->pool->Retire();
  }
}

bool GroupClient::CanServe(bool needs_primary, BootTime not_before) const {
  const auto endpoint = primary();
  if (endpoint && !m_health.failing_since && !IsDrained(*endpoint)) {
    return true;
  }
  return !needs_primary && m_watermarks.PositionCovering(not_before).has_value();
}

bool GroupClient::IsBusy() const {
  return std::any_of(m_endpoints.begin(), m_endpoints.end(),
                     [](const auto& entry) { return entry.second->outstanding > 0; });
}

bool GroupClient::IsDrained(const Endpoint& endpoint) const {
  return endpoint.leaving_since && Clock::now() - *endpoint.leaving_since >
                                       Millis(m_context.settings.drain_ms) - kDrainMargin;
}

GroupClient::EndpointPtr GroupClient::primary() const {
  if (!m_primary) {
    return nullptr;
  }
  return Find(*m_primary);
}

asio::awaitable<GroupClient::EndpointPtr> GroupClient::WaitForPrimary(TimePoint deadline) {
  const std::function<bool()> usable = [this] {
    const auto endpoint = primary();
    return endpoint && !m_health.failing_since && !IsDrained(*endpoint);
  };
  co_return co_await WaitFor(usable, deadline);
}

std::optional<TimePoint> GroupClient::PrimaryWaitDeadline() const {
  return m_lost_since ? std::optional(*m_lost_since + kLongestTakeover) : std::nullopt;
}

void GroupClient::RecordPrimaryLost() {
  m_lost_since = m_lost_since.value_or(Clock::now());
}

asio::awaitable<GroupClient::EndpointPtr> GroupClient::WaitFor(std::function<bool()> usable,
                                                               TimePoint deadline) {
  if (!usable()) {
    if (!primary() || m_health.failing_since) {
      RecordPrimaryLost();
      StartSearch();
    }
    co_await m_changed.WaitUntil(usable,
                                 std::min(deadline, PrimaryWaitDeadline().value_or(deadline)));
  }
  co_return usable() ? primary() : nullptr;
}

asio::awaitable<std::optional<Position>> GroupClient::DetermineWatermark(BootTime not_before,
                                                                         TimePoint deadline) {
  for (;;) {
    if (const auto position = m_watermarks.PositionCovering(not_before)) {
      co_return position;
    }
    // A probe costs the server no work, so a leaving primary may still be probed.
    const std::function<bool()> answers = [this] { return primary() && !m_health.failing_since; };
    const auto endpoint = co_await WaitFor(answers, deadline);
    if (!endpoint || Clock::now() >= deadline) {
      co_return std::nullopt;
    }
    if (m_probing) {
      co_await m_changed.WaitUntil([this] { return !m_probing; }, deadline);
    } else {
      co_await ProbePrimary();
      if (!m_watermarks.PositionCovering(not_before)) {
        // A probe fails without a wait if no link is free.
        co_await Sleep(kProbeRetryPause);
      }
    }
  }
}

asio::awaitable<Outcome<ControlAnswer>> GroupClient::SendControlRequest(EndpointPtr endpoint,
                                                                        ControlRequest request,
                                                                        TimePoint deadline) {
  auto lease = co_await AcquireControl(endpoint->pool, request, deadline);
  if (!lease) {
    if (lease.error().code == ResultCode::kOverloaded) {
      m_connection_limit_seen_at = Clock::now();
    }
    co_return lease.error();
  }
  if (request.valid_until && BootClock::now() > *request.valid_until) {
    // This process may have been suspended since the decision.
    co_return Error{ResultCode::kDeadlineExpired, "the token's time is over", Ran::kNo};
  }
  std::vector<EndpointRequest> requests{OwnRequest(request.operation, request.term)};
  auto answer = co_await (*lease)->link->Run(std::move(requests), deadline);
  if (answer.failure) {
    lease->Discard();
    co_return *answer.failure;
  }
  const auto& reply = answer.replies.front();
  if (reply.is_ambiguous && !co_await ConfirmLink(*lease, deadline)) {
    co_return Error{ResultCode::kUnmatchedAnswer, "the status may be an earlier one",
                    Ran::kUnknown};
  }
  if (!reply.status) {
    const auto detail = reply.reply.error ? std::string(ToString(reply.reply.error->code)) : "";
    co_return Error{ResultCode::kOverloaded, "no status: " + detail, Ran::kNo};
  }
  endpoint->last_position = std::max(endpoint->last_position, reply.status->received);
  co_return ControlAnswer{*reply.status, (*lease)->opened_at};
}

asio::awaitable<std::optional<Position>> GroupClient::ProbeIfPrimary(EndpointPtr endpoint,
                                                                     TimePoint deadline) {
  const std::function<bool()> is_free = [endpoint] { return !endpoint->probing; };
  const bool free = co_await m_changed.WaitUntil(is_free, deadline);
  if (!free) {
    co_return std::nullopt;
  }
  endpoint->probing = true;
  const auto position = co_await AskIfPrimary(endpoint, deadline);
  endpoint->probing = false;
  m_changed.NotifyAll();
  co_return position;
}

asio::awaitable<std::optional<Position>> GroupClient::AskIfPrimary(EndpointPtr endpoint,
                                                                   TimePoint deadline) {
  auto lease = co_await endpoint->pool->Acquire({}, LinkUse::kControl, deadline);
  if (!lease) {
    OnLinkFailure(endpoint, lease.error());
    co_return std::nullopt;
  }
  std::vector<EndpointRequest> requests{OwnRequest(EndpointOperation::kBegin),
                                        OwnRequest(EndpointOperation::kRollback)};
  const auto asked_at = BootClock::now();
  auto answer = co_await (*lease)->link->Run(std::move(requests), deadline);
  if (answer.failure) {
    lease->Discard();
    OnLinkFailure(endpoint, *answer.failure);
    co_return std::nullopt;
  }
  const auto& begun = answer.replies.front().reply;
  const auto& ended = answer.replies.back().reply;
  if (answer.surplus > 0 || ended.state != SessionState::kIdle) {
    // One of the replies may be an earlier one.
    lease->Discard();
    co_return std::nullopt;
  }
  if (!begun.ok() || !begun.position) {
    if (begun.error && begun.error->code == StatementError::kReadOnly) {
      OnNotPrimary(endpoint);
    }
    co_return std::nullopt;
  }
  if (!ended.ok() || begun.state != SessionState::kInTransaction) {
    lease->Discard();
    co_return std::nullopt;
  }
  OnPrimaryAnswer(endpoint, asked_at, *begun.position);
  co_return begun.position;
}

asio::awaitable<void> GroupClient::ProbePrimary() {
  const auto endpoint = primary();
  if (!endpoint || m_probing) {
    co_return;
  }
  m_probing = true;
  co_await ProbeIfPrimary(endpoint, Clock::now() + kProbeTimeout);
  m_probing = false;
  m_changed.NotifyAll();
}

asio::awaitable<void> GroupClient::Watch() {
  const auto self = shared_from_this();
  while (!m_stopped) {
    if (primary() && Clock::now() - m_last_primary_answer_at > kProbeAfterNoAnswer) {
      co_await ProbePrimary();
    }
    if (!primary() || m_health.failing_since) {
      StartSearch();
    }
    co_await Sleep(kWatchTick);
  }
}

void GroupClient::StartSearch() {
  if (m_searching || m_stopped) {
    return;
  }
  m_searching = true;
  const auto self = shared_from_this();
  Spawn(m_context.io, [self]() -> asio::awaitable<void> { co_await self->SearchPrimary(); });
}

std::vector<GroupClient::EndpointPtr> GroupClient::ServersToSearch(bool first_round) const {
  std::vector<EndpointPtr> all;
  std::vector<EndpointPtr> claiming;
  for (const auto& [id, endpoint] : m_endpoints) {
    all.push_back(endpoint);
    if (endpoint->entry.claims_primary) {
      claiming.push_back(endpoint);
    }
  }
  return first_round && !claiming.empty() && !m_primary ? claiming : all;
}

asio::awaitable<void> GroupClient::SearchPrimary() {
  const auto self = shared_from_this();
  static thread_local std::minstd_rand random{std::random_device{}()};
  bool first_round = true;
  while (!m_stopped && !m_endpoints.empty() && (!primary() || m_health.failing_since)) {
    const auto endpoints = ServersToSearch(first_round);
    first_round = false;
    for (const auto& endpoint : endpoints) {
      if (endpoint->probing) {
        continue;
      }
      Spawn(m_context.io, [self, endpoint]() -> asio::awaitable<void> {
        co_await self->ProbeIfPrimary(endpoint, Clock::now() + kProbeTimeout);
      });
    }
    const auto least = IsAtConnectionLimit() ? kSearchPauseAtLimit : kSearchPause;
    const auto pause = least + Millis(std::uniform_int_distribution<int>(0, 60)(random));
    co_await m_changed.WaitUntil([this] { return primary() && !m_health.failing_since; },
                                 Clock::now() + pause);
  }
  m_searching = false;
}

}  // namespace cardamom
