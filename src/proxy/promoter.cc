#include "proxy/promoter.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kFenceTimeout{400};
// Wait for further fence answers once a majority of every voter set has answered.
constexpr Millis kFenceGrace{20};
constexpr Millis kCopyTimeout{1500};
constexpr Millis kCopyPoll{5};
constexpr Millis kPromoteTimeout{500};

}  // namespace

// State shared by the coroutines of one round of fence requests.
struct Promoter::FenceRound {
  std::mutex mutex;
  PromotionPlan& plan;
  std::size_t pending = 0;
  std::optional<TimePoint> majorities_fenced_at;
  bool ended = false;
  Notifier changed;

  explicit FenceRound(PromotionPlan& for_plan) : plan(for_plan) {}
};

Promoter::Promoter(ProxyContext& context, std::shared_ptr<Group> group)
    : m_context(context), m_group(std::move(group)) {}

asio::awaitable<Outcome<void>> Promoter::Run(PromotionPlan& plan,
                                             std::vector<EndpointId> reachable) {
  const auto failed = [](const char* why) { return Error{ResultCode::kNoPrimary, why}; };
  if (!plan.CanFinish(reachable)) {
    co_return failed("too few servers are reachable");
  }
  if (!co_await Fence(plan)) {
    co_return failed("too few servers were fenced");
  }
  const auto candidate = plan.Candidate();
  if (!candidate) {
    co_return failed("no eligible voter was fenced");
  }
  if (!co_await CopyLog(plan, *candidate)) {
    co_return failed("the log could not be copied");
  }
  if (!co_await OpenTerm(plan, *candidate)) {
    co_return failed("the candidate did not open the term");
  }
  co_return Outcome<void>();
}

asio::awaitable<bool> Promoter::Fence(PromotionPlan& plan) {
  const auto round = std::make_shared<FenceRound>(plan);
  const auto term = plan.allocation().term;
  const auto deadline = Clock::now() + kFenceTimeout;
  const auto targets = plan.Targets();
  round->pending = targets.size();
  for (const auto& id : targets) {
    const auto endpoint = m_group->Find(id);
    Spawn(m_context.io,
          [self = shared_from_this(), round, endpoint, id, term,
           deadline]() -> asio::awaitable<void> {
            std::optional<Outcome<ServerState>> state;
            if (endpoint != nullptr) {
              const FenceRequest request{term};
              state = co_await endpoint->client->Fence(request, deadline);
            }
            {
              const std::lock_guard lock(round->mutex);
              --round->pending;
              // The plan may be destroyed once the round has ended.
              if (state && *state && !round->ended) {
                round->plan.OnFenced(id, (*state)->last);
                if (round->plan.IsFenced() && !round->majorities_fenced_at) {
                  round->majorities_fenced_at = Clock::now();
                }
              }
            }
            if (state && *state) {
              self->m_context.events.Emit(EventCode::kServerFenced,
                                          {.group = self->m_group->id(),
                                           .endpoint = id,
                                           .term = term,
                                           .index = (*state)->last.index});
            }
            round->changed.NotifyAll();
          });
  }
  const auto finished = [&] {
    const std::lock_guard lock(round->mutex);
    return round->pending == 0 || round->majorities_fenced_at.has_value();
  };
  co_await round->changed.WaitUntil(finished, deadline);
  const auto all_answered = [&] {
    const std::lock_guard lock(round->mutex);
    return round->pending == 0;
  };
  // A server that answers a little later may already hold the whole log, so that no copy is needed.
  co_await round->changed.WaitUntil(all_answered, std::min(deadline, Clock::now() + kFenceGrace));
  const std::lock_guard lock(round->mutex);
  round->ended = true;
  co_return plan.IsFenced();
}

asio::awaitable<bool> Promoter::CopyLog(const PromotionPlan& plan, const EndpointId& candidate) {
  const auto greatest_position = plan.GreatestPosition();
  const auto target = m_group->Find(candidate);
  const auto source = m_group->Find(plan.LogSource());
  if (target == nullptr || source == nullptr) {
    co_return false;
  }
  const auto term = plan.allocation().term;
  const auto deadline = Clock::now() + kCopyTimeout;
  bool copy_accepted = false;
  while (Clock::now() < deadline) {
    const StateRequest state_request;
    const auto state = co_await target->client->GetState(state_request, deadline);
    if (state && state->last == greatest_position) {
      co_return true;
    }
    if (!copy_accepted) {
      FollowRequest request{term, source->spec.address, greatest_position};
      const auto copying = co_await target->client->Follow(std::move(request), deadline);
      copy_accepted = copying.has_value();
    }
    co_await Sleep(kCopyPoll);
  }
  co_return false;
}

asio::awaitable<bool> Promoter::OpenTerm(const PromotionPlan& plan, const EndpointId& candidate) {
  const auto target = m_group->Find(candidate);
  if (target == nullptr) {
    co_return false;
  }
  const auto& allocation = plan.allocation();
  const auto request_sent_at = Clock::now();
  PromoteRequest request;
  request.term = allocation.term;
  request.last = plan.GreatestPosition();
  request.note = EncodeJson(TermNote{candidate, allocation.voters});
  const auto state =
      co_await target->client->Promote(std::move(request), request_sent_at + kPromoteTimeout);
  if (!state) {
    co_return false;
  }
  m_context.events.Emit(EventCode::kPrimaryPromoted, {.group = m_group->id(),
                                                      .endpoint = candidate,
                                                      .term = allocation.term,
                                                      .index = state->start});
  m_group->ObserveState(*state, request_sent_at);
  co_return true;
}

}  // namespace cardamom
