#include "gateway/takeover_coordinator.h"

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
constexpr Millis kSuspensionGap{250};
// Pause after an attempt that did not finish.
constexpr Millis kBaseRetryDelay{80};
// Doublings of that pause on consecutive back-offs: up to 640 ms, about half of the hold-off before
// an order.
constexpr int kMaxBackoffDoublings = 3;
// Pause after an attempt that ended with a working primary.
constexpr Millis kAfterTakeover{500};

}  // namespace

std::optional<TakeoverReason> FindTakeoverReason(const GroupObservation& observation,
                                                 const SuspicionLimits& limits,
                                                 Duration delay,
                                                 TimePoint now) {
  if (!observation.has_servers || !observation.list_settled || observation.at_connection_limit) {
    return std::nullopt;
  }
  if (observation.unfinished) {
    return observation.has_primary && !observation.health.failing_since ? TakeoverReason::kStalled
                                                                        : TakeoverReason::kFailed;
  }
  if (observation.no_primary_since &&
      now - *observation.no_primary_since > limits.no_primary_limit + delay) {
    return TakeoverReason::kFailed;
  }
  if (!observation.has_primary) {
    return std::nullopt;
  }
  if (observation.health.failing_since) {
    const auto limit = observation.health.refused ? limits.refused_limit : limits.no_answer_limit;
    if (observation.health.failures >= 2 &&
        now - *observation.health.failing_since > limit + delay) {
      return TakeoverReason::kFailed;
    }
    return std::nullopt;
  }
  if (observation.primary_leaving) {
    return TakeoverReason::kLeaving;
  }
  if (observation.health.stalled_since) {
    const auto age = now - *observation.health.stalled_since;
    if (age > limits.stall_limit + delay && age < limits.stall_evidence_lifetime + delay) {
      return TakeoverReason::kStalled;
    }
  }
  return std::nullopt;
}

Millis PauseAfter(TakeoverResult result, int back_offs) {
  switch (result) {
    case TakeoverResult::kHasPrimary:
      return kAfterTakeover;
    case TakeoverResult::kUnfinished:
      return kBaseRetryDelay;
    case TakeoverResult::kBackedOff:
      break;
  }
  return kBaseRetryDelay * (1 << std::clamp(back_offs - 1, 0, kMaxBackoffDoublings));
}

TakeoverCoordinator::TakeoverCoordinator(GatewayContext& context,
                                         const Directory& directory,
                                         Takeover& takeover,
                                         OutageTakeover& outage,
                                         RosterKeeper& rosters)
    : m_context(context),
      m_directory(directory),
      m_takeover(takeover),
      m_outage(outage),
      m_rosters(rosters) {}

void TakeoverCoordinator::Start() {
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Watch(); });
}

Duration TakeoverCoordinator::StartDelay(const GroupId& group) const {
  const auto name = m_context.settings.vm_id + "/" + group.value();
  return kStep * static_cast<int>(XXH64(name.data(), name.size(), 0) % kSteps);
}

asio::awaitable<void> TakeoverCoordinator::Watch() {
  auto last_tick = BootClock::now();
  while (!m_stopped) {
    const auto now = BootClock::now();
    if (now - last_tick > kSuspensionGap) {
      OnProcessSuspended();
    }
    last_tick = now;
    for (const auto& [id, group] : m_directory.groups()) {
      StartTakeoverIfDue(group);
      // Both replace the group's row, so that one would void the other's write.
      if (!m_rosters.Maintain(group)) {
        m_outage.MaintainReservation(group);
      }
    }
    co_await Sleep(kTick);
  }
}

void TakeoverCoordinator::OnProcessSuspended() {
  for (const auto& [id, group] : m_directory.groups()) {
    group->ResetFailureEvidence();
  }
  for (auto& [id, state] : m_states) {
    if (state.no_primary_since) {
      state.no_primary_since = Clock::now();
    }
  }
}

void TakeoverCoordinator::StartTakeoverIfDue(const std::shared_ptr<GroupClient>& group) {
  auto& state = m_states[group->id()];
  const auto now = Clock::now();
  const auto primary = group->primary();
  if (primary || group->endpoints().empty()) {
    state.no_primary_since.reset();
  } else if (!state.no_primary_since) {
    state.no_primary_since = now;
  }
  GroupObservation observation;
  observation.has_servers = !group->endpoints().empty();
  observation.list_settled = group->IsListSettled();
  observation.at_connection_limit = group->IsAtConnectionLimit();
  observation.has_primary = primary != nullptr;
  observation.health = group->health();
  observation.no_primary_since = state.no_primary_since;
  const auto delay = StartDelay(group->id());
  const auto& hold = group->acknowledgements().hold();
  observation.unfinished = state.unfinished || hold.IsLeftBehind(BootClock::now() - delay);
  if (primary && primary->entry.leaving) {
    observation.primary_leaving = now - *primary->leaving_since > delay * 2;
  }
  const auto reason = FindTakeoverReason(observation, SuspicionLimits(), delay, now);
  if (!reason || state.running || now < state.next_attempt_at) {
    return;
  }
  state.running = true;
  Spawn(m_context.io, [this, group, reason = *reason]() -> asio::awaitable<void> {
    const auto result = co_await m_takeover.Run(group, reason);
    auto& state = m_states[group->id()];
    state.running = false;
    state.unfinished = result == TakeoverResult::kUnfinished;
    state.back_offs = result == TakeoverResult::kBackedOff ? state.back_offs + 1 : 0;
    // A proxy that may proceed without the store does not back off.
    const bool may_run_without_store = m_outage.MayRun(group->id());
    state.next_attempt_at =
        Clock::now() +
        (may_run_without_store ? kBaseRetryDelay : PauseAfter(result, state.back_offs)) +
        StartDelay(group->id()) / 4;
  });
}

}  // namespace cardamom
