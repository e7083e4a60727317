#include "failover/promotion_plan.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "group/term_note.h"

namespace cardamom {
namespace {

template <typename Contains>
bool HasMajority(const std::vector<EndpointId>& voters, const Contains& contains) {
  const auto count = std::count_if(voters.begin(), voters.end(), contains);
  return static_cast<std::size_t>(count) >= MajorityOf(voters.size());
}

}  // namespace

PromotionPlan::PromotionPlan(PromotionTask task,
                             std::vector<EndpointId> eligible,
                             std::optional<EndpointId> suspect)
    : m_task(std::move(task)), m_eligible(std::move(eligible)), m_suspect(std::move(suspect)) {}

std::vector<EndpointId> PromotionPlan::Targets() const {
  std::set<EndpointId> targets(m_task.allocation.voters.begin(), m_task.allocation.voters.end());
  for (const auto& set : m_task.voter_sets) {
    targets.insert(set.begin(), set.end());
  }
  return {targets.begin(), targets.end()};
}

bool PromotionPlan::CanFinish(const std::vector<EndpointId>& reachable) const {
  const auto contains = [&](const EndpointId& id) {
    return std::find(reachable.begin(), reachable.end(), id) != reachable.end();
  };
  const auto& voters = m_task.allocation.voters;
  const bool has_candidate =
      std::any_of(m_eligible.begin(), m_eligible.end(), [&](const EndpointId& id) {
        return contains(id) && std::find(voters.begin(), voters.end(), id) != voters.end();
      });
  return has_candidate && HasMajority(voters, contains) &&
         std::all_of(m_task.voter_sets.begin(), m_task.voter_sets.end(),
                     [&](const auto& set) { return HasMajority(set, contains); });
}

void PromotionPlan::OnFenced(const EndpointId& endpoint, Position last) {
  m_fenced[endpoint] = last;
}

bool PromotionPlan::HasMajorities(const Fenced& fenced) const {
  const auto contains = [&](const EndpointId& id) { return fenced.contains(id); };
  return HasMajority(m_task.allocation.voters, contains) &&
         std::all_of(m_task.voter_sets.begin(), m_task.voter_sets.end(),
                     [&](const auto& set) { return HasMajority(set, contains); });
}

bool PromotionPlan::IsFenced() const {
  return HasMajorities(m_fenced);
}

PromotionPlan::Fenced PromotionPlan::CountedServers() const {
  if (m_suspect) {
    auto others = m_fenced;
    others.erase(*m_suspect);
    if (HasMajorities(others)) {
      return others;
    }
  }
  return m_fenced;
}

Position PromotionPlan::GreatestPosition() const {
  assert(IsFenced());
  Position best;
  for (const auto& [id, last] : CountedServers()) {
    best = std::max(best, last);
  }
  return best;
}

EndpointId PromotionPlan::LogSource() const {
  const auto best = GreatestPosition();
  const auto counted = CountedServers();
  const auto it = std::find_if(counted.begin(), counted.end(),
                               [&](const auto& item) { return item.second == best; });
  return it->first;
}

std::optional<EndpointId> PromotionPlan::Candidate() const {
  const auto best = GreatestPosition();
  const auto counted = CountedServers();
  const auto& voters = m_task.allocation.voters;
  std::optional<EndpointId> lagging_candidate;
  for (const auto& id : m_eligible) {
    const auto fenced = counted.find(id);
    if (fenced == counted.end() || std::find(voters.begin(), voters.end(), id) == voters.end()) {
      continue;
    }
    if (fenced->second == best) {
      return id;
    }
    if (!lagging_candidate) {
      lagging_candidate = id;
    }
  }
  return lagging_candidate;
}

}  // namespace cardamom
