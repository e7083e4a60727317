#include "proxy/failover_coordinator.h"

#include <algorithm>
#include <utility>

#include "async/spawn.h"
#include "core/random_id.h"

namespace cardamom {
namespace {

constexpr Millis kStepPause{100};
// Coordinators of this rank or a higher one do not watch the primary.
constexpr std::size_t kRanksWatchingPrimary = 3;
// Coordinators below this rank hold a reserved term.
constexpr std::size_t kRanksWithReservedTerm = 2;
constexpr Millis kTableTimeout{400};
constexpr Millis kFollowTimeout{300};
constexpr Millis kFollowRequestInterval{200};
constexpr Millis kTermRowUpdateInterval{500};
constexpr Millis kPauseAfterPromotion{100};
constexpr Millis kTermRowCheckInterval{2000};
// Time that the owner of a reserved term has to replace it after the record changed.
constexpr Millis kLeavingVoterLimit{6000};
// Entries by which a new voter may be behind when a switchover starts.
constexpr std::uint64_t kMaxNewVoterLagEntries = 200;

Duration AgeOfContact(const GroupView::Server& server, TimePoint now) {
  return Millis(server.state.primary_contact_age_ms) + (now - server.response_received_at);
}

}  // namespace

FailoverCoordinator::FailoverCoordinator(ProxyContext& context,
                                         std::shared_ptr<Group> group,
                                         Membership& membership,
                                         PlatformClient& platform,
                                         AskPeersHook ask_peers)
    : m_context(context),
      m_group(std::move(group)),
      m_membership(membership),
      m_term_store(platform, m_group->id()),
      m_owner_id(RandomId()),
      m_promoter(std::make_shared<Promoter>(context, m_group)),
      m_ask_peers(std::move(ask_peers)),
      m_suspicion_options{Millis(context.settings.suspect_refused_ms),
                          Millis(context.settings.suspect_silence_ms),
                          Millis(context.settings.suspect_unreachable_ms),
                          Millis(context.settings.steward_step_ms)} {}

void FailoverCoordinator::Start() {
  Spawn(m_context.io,
        [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->Run(); });
}

asio::awaitable<void> FailoverCoordinator::Run() {
  while (!m_stopped) {
    co_await Step();
    const auto term = m_group->WithView([](const GroupView& view) { return view.term(); });
    // Reacts to a change of the view soon, but at most once every few milliseconds.
    co_await Sleep(kStepPause / 10);
    co_await m_group->WaitFor(
        [this, term](const GroupView& view) {
          return m_stopped || view.term() != term ||
                 AssessPrimary(GatherEvidence(view), m_suspicion_options) != Suspicion::kNone;
        },
        Clock::now() + kStepPause);
  }
}

asio::awaitable<void> FailoverCoordinator::Step() {
  const auto rank = m_membership.CoordinatorRank(m_group->id());
  m_group->set_failover_role(rank < kRanksWatchingPrimary, rank == 0);
  if (rank >= kRanksWatchingPrimary) {
    m_suspected_since.reset();
    co_return;
  }
  const auto term = m_group->WithView([](const GroupView& view) { return view.term(); });
  if (term == Term()) {
    if (rank == 0) {
      co_await Bootstrap();
    }
    co_return;
  }
  co_await WatchPrimary(rank);
  co_await MaintainGroup(rank);
}

PrimaryEvidence FailoverCoordinator::GatherEvidence(const GroupView& view) const {
  const auto now = Clock::now();
  PrimaryEvidence evidence;
  evidence.voters = view.voters().size();
  const auto primary = view.primary();
  for (const auto& voter : view.voters()) {
    const auto* server = view.Find(voter);
    if (server == nullptr) {
      continue;
    }
    if (voter == primary) {
      if (server->failing_since) {
        evidence.failing_for = now - *server->failing_since;
        evidence.connection_refused = server->connection_refused;
      }
      continue;
    }
    // Only a server that follows this term's primary can report its contact with it, and a report
    // of a server that does not answer now is no evidence. The time since a report is added only
    // if the reported age is refused_limit or more: below that, the server answers the long poll
    // as soon as the age reaches that limit.
    if (server->reachable && server->state.fenced == view.term() &&
        !server->state.primary_address.empty()) {
      const auto reported_age = Millis(server->state.primary_contact_age_ms);
      evidence.contact_ages.push_back(reported_age >= m_suspicion_options.refused_limit
                                          ? AgeOfContact(*server, now)
                                          : Duration(reported_age));
    }
  }
  if (view.latest_observed_term() > view.term() && m_higher_term == view.latest_observed_term() &&
      m_higher_term_since) {
    evidence.fenced_above_for = now - *m_higher_term_since;
  }
  return evidence;
}

asio::awaitable<void> FailoverCoordinator::WatchPrimary(std::size_t rank) {
  const auto higher_term = m_group->WithView([](const GroupView& view) {
    return view.latest_observed_term() > view.term() ? view.latest_observed_term() : Term();
  });
  if (higher_term != m_higher_term) {
    m_higher_term = higher_term;
    m_higher_term_since = Clock::now();
  }
  if (m_used_terms.contains(higher_term)) {
    // This coordinator's own promotion in that term did not finish, so there is no need to wait.
    m_higher_term_since = Clock::now() - m_suspicion_options.abandoned_limit;
  }
  auto evidence = GatherCurrentEvidence();
  if (ShouldAskPeers(evidence, m_suspicion_options)) {
    co_await m_ask_peers(m_group->id(), evidence);
  }
  const auto suspicion = AssessPrimary(evidence, m_suspicion_options);
  const auto now = Clock::now();
  if (suspicion == Suspicion::kNone) {
    m_suspected_since.reset();
    co_return;
  }
  if (!m_suspected_since) {
    m_suspected_since = now;
    const auto primary = m_group->WithView([](const GroupView& view) { return view.primary(); });
    m_context.events.Emit(EventCode::kPrimarySuspected,
                          {.group = m_group->id(),
                           .endpoint = primary.value_or(EndpointId()),
                           .detail = "suspicion " + std::to_string(static_cast<int>(suspicion)) +
                                     " rank " + std::to_string(rank)});
  }
  const auto step = Millis(m_context.settings.steward_step_ms);
  if (now - *m_suspected_since < rank * step || now < m_next_promotion) {
    co_return;
  }
  // A promotion stops the primary, so query the voters once more first.
  co_await m_group->Refresh();
  if (suspicion != Suspicion::kUnreachable &&
      AssessPrimary(GatherCurrentEvidence(), m_suspicion_options) == Suspicion::kNone) {
    co_return;
  }
  auto eligible = EligibleAfterFailure(suspicion);
  std::optional<EndpointId> suspect;
  if (suspicion != Suspicion::kAbandonedPromotion) {
    suspect = m_group->WithView([](const GroupView& view) { return view.primary(); });
  }
  if (co_await Promote(PromotionReason::kFailure, std::move(eligible), std::move(suspect))) {
    m_suspected_since.reset();
  }
  m_next_promotion = Clock::now() + kPauseAfterPromotion;
}

PrimaryEvidence FailoverCoordinator::GatherCurrentEvidence() const {
  return m_group->WithView([this](const GroupView& view) { return GatherEvidence(view); });
}

std::vector<EndpointId> FailoverCoordinator::EligibleAfterFailure(Suspicion suspicion) const {
  auto eligible = m_group->record().ServingEndpointIds();
  const auto primary = m_group->WithView([](const GroupView& view) { return view.primary(); });
  if (!primary) {
    return eligible;
  }
  const auto primary_it = std::find(eligible.begin(), eligible.end(), *primary);
  if (primary_it == eligible.end()) {
    return eligible;
  }
  if (suspicion == Suspicion::kAbandonedPromotion) {
    // The primary may be healthy; keeping it as primary costs its replicas nothing.
    std::rotate(eligible.begin(), primary_it, primary_it + 1);
  } else {
    std::rotate(primary_it, primary_it + 1, eligible.end());
  }
  return eligible;
}

std::vector<EndpointId> FailoverCoordinator::ReachableEndpoints() const {
  return m_group->WithView([](const GroupView& view) {
    std::vector<EndpointId> reachable;
    for (const auto& [id, server] : view.servers()) {
      if (server.reachable) {
        reachable.push_back(id);
      }
    }
    return reachable;
  });
}

asio::awaitable<void> FailoverCoordinator::Bootstrap() {
  if (Clock::now() < m_next_promotion) {
    co_return;
  }
  m_next_promotion = Clock::now() + kPauseAfterPromotion;
  co_await m_group->Refresh();
  const auto record = m_group->record();
  const auto reachable = ReachableEndpoints();
  const bool all_reachable = std::all_of(
      record.endpoints.begin(), record.endpoints.end(), [&](const EndpointSpec& endpoint) {
        return std::find(reachable.begin(), reachable.end(), endpoint.id) != reachable.end();
      });
  const auto term = m_group->WithView([](const GroupView& view) { return view.term(); });
  // The record names the server whose data is authoritative; only that server may be primary of the
  // first term.
  if (all_reachable && term == Term()) {
    std::vector<EndpointId> eligible;
    eligible.push_back(record.initial_primary);
    co_await Promote(PromotionReason::kBootstrap, std::move(eligible));
  }
}

asio::awaitable<void> FailoverCoordinator::MaintainGroup(std::size_t rank) {
  if (rank < kRanksWithReservedTerm) {
    co_await UpdateTermRow(rank);
  }
  if (rank == 0) {
    SendFollowRequests();
    co_await StartSwitchoverIfDue();
  }
}

asio::awaitable<void> FailoverCoordinator::UpdateTermRow(std::size_t rank) {
  const auto now = Clock::now();
  const auto complete_term = m_group->WithView(
      [](const GroupView& view) { return view.IsTermComplete() ? view.term() : Term(); });
  if (complete_term > m_reported_complete_term) {
    m_reported_complete_term = complete_term;
    m_context.events.Emit(EventCode::kTermComplete,
                          {.group = m_group->id(), .term = complete_term});
  }
  const auto voters = m_group->record().ServingEndpointIds();
  const bool reservation_fits = m_reserved_task &&
                                m_reserved_task->allocation.term > complete_term &&
                                m_reserved_task->allocation.voters == voters;
  const bool row_fits = m_term_store.cached_row().complete >= complete_term;
  if (complete_term == Term() || (reservation_fits && row_fits) || now < m_next_term_row_update) {
    co_return;
  }
  if (!reservation_fits) {
    m_reserved_task.reset();
  }
  const auto kept_term = reservation_fits ? m_reserved_task->allocation.term : Term();
  Term new_term;
  const auto row = co_await m_term_store.Update(
      [&](TermRow& current) {
        current.MarkComplete(complete_term);
        // Abandons the earlier reservations of this coordinator, which it will not use, including
        // one that it has not recorded because the answer was lost.
        std::vector<Term> unused;
        for (const auto& allocation : current.allocations) {
          const auto term = allocation.term;
          if (allocation.owner == m_owner_id && term != kept_term && !m_used_terms.contains(term)) {
            unused.push_back(term);
          }
        }
        for (const auto term : unused) {
          current.Abandon(term);
        }
        if (kept_term == Term()) {
          new_term = current.Allocate(voters, m_owner_id).term;
        }
        return true;
      },
      now + kTableTimeout);
  m_next_term_row_update = Clock::now() + kTermRowUpdateInterval;
  if (!row || kept_term != Term()) {
    co_return;
  }
  m_reserved_task = row->PromotionTaskFor(new_term);
  m_context.events.Emit(
      EventCode::kTermReserved,
      {.group = m_group->id(), .term = new_term, .detail = "rank " + std::to_string(rank)});
}

void FailoverCoordinator::SendFollowRequests() {
  const auto now = Clock::now();
  if (now < m_next_follow_requests) {
    return;
  }
  m_next_follow_requests = now + kFollowRequestInterval;
  Term term;
  std::optional<EndpointId> primary;
  std::vector<EndpointId> not_following;
  m_group->WithView([&](const GroupView& view) {
    term = view.term();
    primary = view.primary();
    if (view.latest_observed_term() > term) {
      return 0;
    }
    for (const auto& [id, server] : view.servers()) {
      const bool follows = server.state.fenced == term && !server.state.primary_address.empty();
      if (id != primary && server.reachable && !follows) {
        not_following.push_back(id);
      }
    }
    return 0;
  });
  const auto source = primary ? m_group->Find(*primary) : nullptr;
  if (source == nullptr) {
    return;
  }
  FollowRequest request;
  request.term = term;
  request.address = source->spec.address;
  for (const auto& id : not_following) {
    if (const auto endpoint = m_group->Find(id)) {
      // One coroutine per server, so that a server that does not answer does not delay the others.
      Spawn(m_context.io, [group = m_group, endpoint, request]() -> asio::awaitable<void> {
        const auto request_sent_at = Clock::now();
        const auto state =
            co_await endpoint->client->Follow(request, request_sent_at + kFollowTimeout);
        if (state) {
          group->ObserveState(*state, request_sent_at);
        }
      });
    }
  }
}

bool FailoverCoordinator::NewVotersCaughtUp(const std::vector<EndpointId>& voters) const {
  // The lineage of a server is the term of the primary whose log it follows.
  return m_group->WithView([&](const GroupView& view) {
    const auto committed = view.committed().value();
    const auto caught_up = std::count_if(voters.begin(), voters.end(), [&](const EndpointId& id) {
      const auto* server = view.Find(id);
      return server != nullptr && server->reachable && server->state.lineage == view.term() &&
             server->state.held.value() + kMaxNewVoterLagEntries >= committed;
    });
    return static_cast<std::size_t>(caught_up) >= MajorityOf(voters.size());
  });
}

asio::awaitable<bool> FailoverCoordinator::HasTransactionsToWaitFor() {
  const auto now = Clock::now();
  if (!m_switchover_wanted_since) {
    m_switchover_wanted_since = now;
  }
  if (now >= *m_switchover_wanted_since + kLeavingGrace) {
    co_return false;
  }
  const auto primary = m_group->WithView([](const GroupView& view) { return view.primary(); });
  const auto endpoint = primary ? m_group->Find(*primary) : nullptr;
  if (endpoint == nullptr) {
    co_return false;
  }
  const StateRequest request;
  const auto state = co_await endpoint->client->GetState(request, now + kFollowTimeout);
  co_return state && state->open_transactions > 0;
}

asio::awaitable<bool> FailoverCoordinator::IsLeavingEndpointStillVoter() {
  const auto record = m_group->record();
  const auto voters = record.ServingEndpointIds();
  const auto now = Clock::now();
  if (voters.size() == record.endpoints.size() || now < m_next_term_row_check) {
    co_return false;
  }
  m_next_term_row_check = now + kTermRowCheckInterval;
  const auto row = co_await m_term_store.Refresh(now + kTableTimeout);
  if (!row || !row->HasVoterOutside(voters)) {
    m_leaving_voter_since.reset();
    co_return false;
  }
  if (!m_leaving_voter_since) {
    m_leaving_voter_since = now;
  }
  co_return now - *m_leaving_voter_since >= kLeavingVoterLimit;
}

asio::awaitable<void> FailoverCoordinator::StartSwitchoverIfDue() {
  const auto voters = m_group->record().ServingEndpointIds();
  const auto current_voters = m_group->WithView([](const GroupView& view) {
    return view.IsTermComplete() && view.latest_observed_term() == view.term()
               ? std::optional(view.voters())
               : std::nullopt;
  });
  const auto primary = m_group->WithView([](const GroupView& view) { return view.primary(); });
  if (!current_voters || Clock::now() < m_next_promotion || !NewVotersCaughtUp(voters)) {
    co_return;
  }
  const bool same_voters = std::is_permutation(current_voters->begin(), current_voters->end(),
                                               voters.begin(), voters.end());
  if (same_voters && !co_await IsLeavingEndpointStillVoter()) {
    m_switchover_wanted_since.reset();
    co_return;
  }
  if (co_await HasTransactionsToWaitFor()) {
    co_return;
  }
  m_context.events.Emit(EventCode::kSwitchoverStarted, {.group = m_group->id()});
  auto eligible = voters;
  // The primary stays if it is not leaving; otherwise the server that holds most of the log is
  // preferred.
  m_group->WithView([&](const GroupView& view) {
    std::stable_sort(
        eligible.begin(), eligible.end(), [&](const EndpointId& a, const EndpointId& b) {
          const auto held = [&](const EndpointId& id) {
            const auto* server = view.Find(id);
            return std::pair(id == primary, server == nullptr ? LogIndex() : server->state.held);
          };
          return held(b) < held(a);
        });
    return 0;
  });
  if (co_await Promote(PromotionReason::kSwitchover, std::move(eligible))) {
    m_switchover_wanted_since.reset();
  }
  m_next_promotion = Clock::now() + kPauseAfterPromotion;
}

asio::awaitable<std::optional<PromotionTask>> FailoverCoordinator::ClaimTerm(
    PromotionReason reason) {
  const auto latest_observed_term =
      m_group->WithView([](const GroupView& view) { return view.latest_observed_term(); });
  const auto voters = m_group->record().ServingEndpointIds();
  const auto usable = [&] {
    return m_reserved_task && m_reserved_task->allocation.term > latest_observed_term;
  };
  if (usable() && m_reserved_task->allocation.voters == voters) {
    const auto task = std::exchange(m_reserved_task, std::nullopt);
    m_used_terms.insert(task->allocation.term);
    m_context.events.Emit(EventCode::kReservedTermUsed,
                          {.group = m_group->id(), .term = task->allocation.term});
    co_return task;
  }
  Term term;
  const auto row = co_await m_term_store.Update(
      [&](TermRow& current) {
        // Terms that were used although the row does not list them are not allocated again.
        current.last = std::max(current.last, latest_observed_term);
        term = current.Allocate(voters, m_owner_id).term;
        return true;
      },
      Clock::now() + kTableTimeout);
  if (row) {
    m_used_terms.insert(term);
    m_context.events.Emit(EventCode::kTermAllocated, {.group = m_group->id(), .term = term});
    co_return row->PromotionTaskFor(term);
  }
  if (reason == PromotionReason::kFailure && usable()) {
    const auto task = std::exchange(m_reserved_task, std::nullopt);
    m_used_terms.insert(task->allocation.term);
    co_return task;
  }
  co_return std::nullopt;
}

asio::awaitable<bool> FailoverCoordinator::Promote(PromotionReason reason,
                                                   std::vector<EndpointId> eligible,
                                                   std::optional<EndpointId> suspect) {
  auto task = co_await ClaimTerm(reason);
  if (!task) {
    co_return false;
  }
  const auto term = task->allocation.term;
  PromotionPlan plan(std::move(*task), std::move(eligible), std::move(suspect));
  const auto promoted = co_await m_promoter->Run(plan, ReachableEndpoints());
  if (!promoted) {
    m_context.events.Emit(
        EventCode::kPromotionFailed,
        {.group = m_group->id(), .term = term, .detail = promoted.error().detail});
    co_return false;
  }
  const char* label = reason == PromotionReason::kFailure     ? "failure"
                      : reason == PromotionReason::kBootstrap ? "bootstrap"
                                                              : "switchover";
  m_context.metrics.CountPromotion(label);
  m_next_follow_requests = TimePoint();
  SendFollowRequests();
  m_group->RecordUse();
  co_return true;
}

}  // namespace cardamom
