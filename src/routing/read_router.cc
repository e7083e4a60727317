#include "routing/read_router.h"

#include <algorithm>

namespace cardamom {
namespace {

struct Ranked {
  ReadChoice choice;
  Duration cost;
};

bool Satisfies(const ReadCandidate& candidate, const ReadNeed& need) {
  return candidate.applied.term >= need.position.term &&
         candidate.applied.index >= need.position.index;
}

// Expected wait until the candidate has applied the position; nullopt if it exceeds the longest
// allowed wait, the lag is unknown or the candidate is at an older term.
std::optional<Duration> ExpectedWait(const ReadCandidate& candidate,
                                     const ReadNeed& need,
                                     const RoutingPolicy& policy) {
  if (Satisfies(candidate, need)) {
    return Duration::zero();
  }
  if (candidate.applied.term < need.position.term || !candidate.lag) {
    return std::nullopt;
  }
  const auto wait = std::max(Duration::zero(), *candidate.lag - need.position_age);
  if (wait > policy.max_wait) {
    return std::nullopt;
  }
  return wait;
}

Duration CostOf(const ReadCandidate& candidate, Duration wait, const RoutingPolicy& policy) {
  const double per_slot =
      static_cast<double>(candidate.outstanding) / static_cast<double>(candidate.slots);
  const auto load = std::chrono::duration_cast<Duration>(per_slot * policy.load_weight);
  return candidate.distance + wait + load;
}

}  // namespace

std::vector<ReadChoice> ChooseRead(const std::vector<ReadCandidate>& candidates,
                                   const ReadNeed& need,
                                   const RoutingPolicy& policy) {
  std::vector<Ranked> replicas;
  std::optional<Ranked> primary;
  bool all_overloaded = true;
  for (const auto& candidate : candidates) {
    if (!candidate.reachable) {
      continue;
    }
    if (candidate.is_primary) {
      primary = Ranked{{candidate.endpoint, true, Millis(0)},
                       CostOf(candidate, Duration::zero(), policy)};
      continue;
    }
    if (need.primary_only) {
      continue;
    }
    const auto wait = ExpectedWait(candidate, need, policy);
    if (!wait) {
      continue;
    }
    replicas.push_back(
        {{candidate.endpoint, false, policy.max_wait}, CostOf(candidate, *wait, policy)});
    const double limit = policy.overload_per_slot * static_cast<double>(candidate.slots);
    all_overloaded = all_overloaded && static_cast<double>(candidate.outstanding) >= limit;
  }
  std::stable_sort(replicas.begin(), replicas.end(),
                   [](const Ranked& a, const Ranked& b) { return a.cost < b.cost; });
  if (primary) {
    const bool primary_first =
        !replicas.empty() && all_overloaded && primary->cost < replicas.front().cost;
    replicas.insert(primary_first ? replicas.begin() : replicas.end(), *primary);
  }
  std::vector<ReadChoice> choices;
  choices.reserve(replicas.size());
  for (const auto& ranked : replicas) {
    choices.push_back(ranked.choice);
  }
  return choices;
}

}  // namespace cardamom
