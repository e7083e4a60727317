#include "routing/read_router.h"

#include <algorithm>

namespace cardamom {
namespace {

struct RankedChoice {
  ReadChoice choice;
  Duration cost;
};

bool Satisfies(const ReadCandidate& candidate, const ReadRequirement& need) {
  return candidate.applied.term >= need.position.term &&
         candidate.applied.index >= need.position.index;
}

// Expected wait until the candidate has applied the position; nullopt if it exceeds the longest
// allowed wait, the lag is unknown or the candidate is at an older term.
std::optional<Duration> ExpectedWait(const ReadCandidate& candidate,
                                     const ReadRequirement& need,
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
  const double requests_per_slot =
      static_cast<double>(candidate.outstanding) / static_cast<double>(candidate.slots);
  const auto load = std::chrono::duration_cast<Duration>(requests_per_slot * policy.load_weight);
  return candidate.round_trip_time + wait + load;
}

}  // namespace

std::vector<ReadChoice> ChooseReadEndpoints(const std::vector<ReadCandidate>& candidates,
                                            const ReadRequirement& need,
                                            const RoutingPolicy& policy) {
  std::vector<RankedChoice> ranked_choices;
  std::optional<RankedChoice> primary;
  bool all_overloaded = true;
  for (const auto& candidate : candidates) {
    if (!candidate.reachable) {
      continue;
    }
    if (candidate.is_primary) {
      primary = RankedChoice{{candidate.endpoint, true, Millis(0)},
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
    ranked_choices.push_back(
        {{candidate.endpoint, false, policy.max_wait}, CostOf(candidate, *wait, policy)});
    const double limit = policy.overload_per_slot * static_cast<double>(candidate.slots);
    all_overloaded = all_overloaded && static_cast<double>(candidate.outstanding) >= limit;
  }
  std::stable_sort(ranked_choices.begin(), ranked_choices.end(),
                   [](const RankedChoice& a, const RankedChoice& b) { return a.cost < b.cost; });
  if (primary) {
    const bool primary_first =
        !ranked_choices.empty() && all_overloaded && primary->cost < ranked_choices.front().cost;
    ranked_choices.insert(primary_first ? ranked_choices.begin() : ranked_choices.end(), *primary);
  }
  std::vector<ReadChoice> choices;
  choices.reserve(ranked_choices.size());
  for (const auto& ranked : ranked_choices) {
    choices.push_back(ranked.choice);
  }
  return choices;
}

}  // namespace cardamom
