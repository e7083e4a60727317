#include "gateway/primary_steward.h"

#include <algorithm>

#include <xxhash.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kTick{25};
// Proxies delay their takeovers by up to kSteps - 1 steps, chosen by a hash of the VM's and the
// group's names.
constexpr std::uint64_t kSteps = 8;
constexpr Millis kStep{30};
// If more than this lies between two ticks, the process counts as suspended in between, and its
// evidence against primaries as invalid.
constexpr Millis kStoodStill{250};
// Pause after an attempt that did not finish.
constexpr Millis kRetryPause{80};
// Doublings of that pause on consecutive back-offs: up to 640 ms, about half of the hold-off before
// an order.
constexpr int kMostDoublings = 3;
// Pause after an attempt that ended with a working primary.
constexpr Millis kAfterTakeover{500};

}  // namespace

std::optional<TakeoverReason> JudgeTakeover(const StewardView& view,
                                            const StewardPolicy& policy,
                                            Duration delay,
                                            TimePoint now) {
  if (!view.has_servers || !view.list_settled || view.at_connection_limit) {
    return std::nullopt;
  }
  if (view.unfinished) {
    return view.has_primary && !view.health.failing_since ? TakeoverReason::kStalled
                                                          : TakeoverReason::kFailed;
  }
  if (view.leaderless_since && now - *view.leaderless_since > policy.leaderless_limit + delay) {
    return TakeoverReason::kFailed;
  }
  if (!view.has_primary) {
    return std::nullopt;
  }
  if (view.health.failing_since) {
    const auto limit = view.health.refused ? policy.refused_limit : policy.silent_limit;
    if (view.health.failures >= 2 && now - *view.health.failing_since > limit + delay) {
      return TakeoverReason::kFailed;
    }
    return std::nullopt;
  }
  if (view.primary_leaving) {
    return TakeoverReason::kLeaving;
  }
  if (view.health.stalled_since) {
    const auto age = now - *view.health.stalled_since;
    if (age > policy.stall_limit + delay && age < policy.stall_memory + delay) {
      return TakeoverReason::kStalled;
    }
  }
  return std::nullopt;
}

Millis PauseAfter(TakeoverResult result, int gave_way) {
  switch (result) {
    case TakeoverResult::kHasPrimary:
      return kAfterTakeover;
    case TakeoverResult::kUnfinished:
      return kRetryPause;
    case TakeoverResult::kBackedOff:
      break;
  }
  return kRetryPause * (1 << std::clamp(gave_way - 1, 0, kMostDoublings));
}

PrimarySteward::PrimarySteward(GatewayContext& context,
                               const Directory& directory,
                               Takeover& takeover,
                               OutageTakeover& outage)
    : m_context(context), m_directory(directory), m_takeover(takeover), m_outage(outage) {}

void PrimarySteward::Start() {
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Watch(); });
}

Duration PrimarySteward::DelayFor(const GroupId& group) const {
  const auto name = m_context.settings.vm_id + "/" + group.value();
  return kStep * static_cast<int>(XXH64(name.data(), name.size(), 0) % kSteps);
}

asio::awaitable<void> PrimarySteward::Watch() {
  auto last_tick = BootClock::now();
  while (!m_stopped) {
    const auto now = BootClock::now();
    if (now - last_tick > kStoodStill) {
      OnStoodStill();
    }
    last_tick = now;
    for (const auto& [id, group] : m_directory.groups()) {
      Consider(group);
      m_outage.MaintainReservation(group);
    }
    co_await Sleep(kTick);
  }
}

void PrimarySteward::OnStoodStill() {
  for (const auto& [id, group] : m_directory.groups()) {
    group->ResetFailureEvidence();
  }
  for (auto& [id, state] : m_states) {
    if (state.leaderless_since) {
      state.leaderless_since = Clock::now();
    }
  }
}

void PrimarySteward::Consider(const std::shared_ptr<GroupClient>& group) {
  auto& state = m_states[group->id()];
  const auto now = Clock::now();
  const auto primary = group->primary();
  if (primary || group->endpoints().empty()) {
    state.leaderless_since.reset();
  } else if (!state.leaderless_since) {
    state.leaderless_since = now;
  }
  StewardView view;
  view.has_servers = !group->endpoints().empty();
  view.list_settled = group->IsListSettled();
  view.at_connection_limit = group->IsAtConnectionLimit();
  view.has_primary = primary != nullptr;
  view.health = group->health();
  view.leaderless_since = state.leaderless_since;
  view.unfinished = state.unfinished;
  const auto delay = DelayFor(group->id());
  if (primary && primary->entry.leaving) {
    view.primary_leaving = now - *primary->leaving_since > delay * 2;
  }
  const auto reason = JudgeTakeover(view, StewardPolicy(), delay, now);
  if (!reason || state.running || now < state.not_before) {
    return;
  }
  state.running = true;
  Spawn(m_context.io, [this, group, reason = *reason]() -> asio::awaitable<void> {
    const auto result = co_await m_takeover.Run(group, reason);
    auto& state = m_states[group->id()];
    state.running = false;
    state.unfinished = result == TakeoverResult::kUnfinished;
    state.gave_way = result == TakeoverResult::kBackedOff ? state.gave_way + 1 : 0;
    // A proxy that may proceed without the store does not back off.
    const bool alone = m_outage.MayRun(group->id());
    state.not_before = Clock::now() + (alone ? kRetryPause : PauseAfter(result, state.gave_way)) +
                       DelayFor(group->id()) / 4;
  });
}

}  // namespace cardamom
