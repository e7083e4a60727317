// Collects the answers to fence requests and chooses the new primary.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "failover/term_row.h"

namespace cardamom {

// Performs no I/O. Not thread safe.
class PromotionPlan {
 public:
  // `eligible` lists the endpoints that may become primary, in order of preference. `suspect`, if
  // any, is the primary that failed: it is fenced, but its log counts only if there is no majority
  // without it. Entries that only the suspect holds were never acknowledged, and the other servers
  // may be unable to reach it to copy them.
  PromotionPlan(PromotionTask task,
                std::vector<EndpointId> eligible,
                std::optional<EndpointId> suspect = std::nullopt);

  // The term to promote in.
  const TermAllocation& allocation() const { return m_task.allocation; }

  // Every server to fence: the voters of every set and those of the new term.
  std::vector<EndpointId> Targets() const;

  // Whether `reachable` holds enough servers to finish. A promotion that cannot finish must not
  // start, since fencing stops a primary that still works.
  bool CanFinish(const std::vector<EndpointId>& reachable) const;

  // Records that `endpoint` was fenced, with its last log entry at that time.
  void OnFenced(const EndpointId& endpoint, Position last);

  // Whether a majority of every voter set and of the new term's voters is fenced.
  bool IsFenced() const;

  // The greatest last entry among the fenced servers whose logs count; the new term starts after
  // it. Precondition: IsFenced().
  Position GreatestPosition() const;
  // A server whose log counts and ends with GreatestPosition(). Precondition: IsFenced().
  EndpointId LogSource() const;
  // The new primary: a fenced, eligible voter of the term whose log counts, preferably one that
  // holds GreatestPosition(); nothing if there is no such voter. Precondition: IsFenced().
  std::optional<EndpointId> Candidate() const;

 private:
  using Fenced = std::map<EndpointId, Position>;

  bool HasMajorities(const Fenced& fenced) const;
  // The fenced servers whose logs count.
  Fenced CountedServers() const;

  const PromotionTask m_task;
  const std::vector<EndpointId> m_eligible;
  const std::optional<EndpointId> m_suspect;
  Fenced m_fenced;
};

}  // namespace cardamom
