// The row of a group in the store's table of terms: the allocated terms and their voters.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// A term and its voters, fixed when the term is allocated.
struct TermAllocation {
  Term term;
  std::vector<EndpointId> voters;
  // The only process that may promote in this term.
  std::string owner;

  bool operator==(const TermAllocation&) const = default;
};
BOOST_DESCRIBE_STRUCT(TermAllocation, (), (term, voters, owner))

// A term to promote in and the voter sets that have to be fenced first.
struct PromotionTask {
  TermAllocation allocation;
  std::vector<std::vector<EndpointId>> voter_sets;
};

// A value type; distinct objects may be used from distinct threads.
struct TermRow {
  // Greatest term known to be complete: a majority of its voters holds its first entry. 0 before
  // the first.
  Term complete;
  // Greatest term ever allocated; no term is allocated twice.
  Term last;
  // The allocated terms from the last complete one on, without abandoned ones, in ascending order.
  std::vector<TermAllocation> allocations;

  // Allocates the next term to `owner` and returns it.
  TermAllocation Allocate(std::vector<EndpointId> voters, const std::string& owner);

  // Returns the promotion task for the owner of `term`; nothing if that or a greater term is
  // complete, or if `term` is not allocated.
  std::optional<PromotionTask> PromotionTaskFor(Term term) const;

  // Records that a majority of the voters of `term` holds its first entry, and drops lower terms.
  // Has no effect if that or a greater term is complete, or if `term` is not allocated.
  void MarkComplete(Term term);

  // Removes the allocation of `term`. Precondition: its owner has not used the term and never will.
  // Has no effect on complete terms.
  void Abandon(Term term);

  // Whether a term that may still be used has a voter that is not among `voters`.
  bool HasVoterOutside(const std::vector<EndpointId>& voters) const;

  // Adds what `held` shows, which was read before the store came back from an older copy: its
  // allocations and the greater terms.
  void Merge(const TermRow& held);

  // Returns the allocation of `term`, or nullptr if there is none or it was removed; valid until
  // the row changes.
  const TermAllocation* Find(Term term) const;
};
BOOST_DESCRIBE_STRUCT(TermRow, (), (complete, last, allocations))

}  // namespace cardamom
