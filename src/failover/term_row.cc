#include "failover/term_row.h"

#include <algorithm>
#include <utility>

namespace cardamom {

TermAllocation TermRow::Allocate(std::vector<EndpointId> voters, const std::string& owner) {
  last = Term(last.value() + 1);
  allocations.push_back({last, std::move(voters), owner});
  return allocations.back();
}

const TermAllocation* TermRow::Find(Term term) const {
  const auto it = std::find_if(allocations.begin(), allocations.end(),
                               [term](const TermAllocation& a) { return a.term == term; });
  return it == allocations.end() ? nullptr : &*it;
}

std::optional<PromotionTask> TermRow::PromotionTaskFor(Term term) const {
  const auto* own = Find(term);
  if (own == nullptr || term <= complete) {
    return std::nullopt;
  }
  PromotionTask task{*own, {}};
  for (const auto& allocation : allocations) {
    const bool earlier = allocation.term < term;
    if (earlier && std::find(task.voter_sets.begin(), task.voter_sets.end(), allocation.voters) ==
                       task.voter_sets.end()) {
      task.voter_sets.push_back(allocation.voters);
    }
  }
  if (task.voter_sets.empty()) {
    // The first term of a group: only its own voters may hold data.
    task.voter_sets.push_back(own->voters);
  }
  return task;
}

void TermRow::Abandon(Term term) {
  if (term > complete) {
    std::erase_if(allocations, [term](const TermAllocation& a) { return a.term == term; });
  }
}

bool TermRow::HasVoterOutside(const std::vector<EndpointId>& voters) const {
  return std::any_of(allocations.begin(), allocations.end(), [&](const TermAllocation& a) {
    return std::any_of(a.voters.begin(), a.voters.end(), [&](const EndpointId& id) {
      return std::find(voters.begin(), voters.end(), id) == voters.end();
    });
  });
}

void TermRow::Merge(const TermRow& held) {
  last = std::max(last, held.last);
  complete = std::max(complete, held.complete);
  for (const auto& allocation : held.allocations) {
    if (std::find(allocations.begin(), allocations.end(), allocation) == allocations.end()) {
      allocations.push_back(allocation);
    }
  }
  std::stable_sort(allocations.begin(), allocations.end(),
                   [](const auto& a, const auto& b) { return a.term < b.term; });
  std::erase_if(allocations, [this](const TermAllocation& a) { return a.term < complete; });
}

void TermRow::MarkComplete(Term term) {
  if (term <= complete || Find(term) == nullptr) {
    return;
  }
  complete = term;
  std::erase_if(allocations, [term](const TermAllocation& a) { return a.term < term; });
}

}  // namespace cardamom
