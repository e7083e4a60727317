// The row of a group in the platform's table: which terms were allocated, and with which voters.
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
  // The process that may promote in this term; no other one ever does.
  std::string owner;

  bool operator==(const TermAllocation&) const = default;
};
BOOST_DESCRIBE_STRUCT(TermAllocation, (), (term, voters, owner))

// A term to promote in and the voter sets that have to be fenced first.
struct PromotionTask {
  TermAllocation allocation;
  std::vector<std::vector<EndpointId>> sets;
};

// A value type; distinct objects may be used from distinct threads.
struct TermRow {
  // Greatest term known to be complete; 0 before the first.
  Term complete;
  // Greatest term ever allocated; terms are never handed out twice.
  Term last;
  // Every allocated term from the last complete one on, in ascending order.
  std::vector<TermAllocation> allocations;

  // Allocates the next term.
  TermAllocation Allocate(std::vector<EndpointId> voters, const std::string& owner);

  // What the owner of `term` has to do to promote; nothing if a greater term is complete or the
  // term is unknown.
  std::optional<PromotionTask> TaskOf(Term term) const;

  // Notes that a majority of the voters of `term` holds its first entry. Never goes back.
  void MarkComplete(Term term);

  // Takes back a term that its owner has not used and never will.
  void Abandon(Term term);

  // Whether a term that may still be used has a voter that `voters` does not name.
  bool HasVoterBeyond(const std::vector<EndpointId>& voters) const;

  // The entry of `term`, if it is still kept.
  const TermAllocation* Find(Term term) const;
};
BOOST_DESCRIBE_STRUCT(TermRow, (), (complete, last, allocations))

}  // namespace cardamom
