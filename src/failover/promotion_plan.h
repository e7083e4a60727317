// Collects the answers to fence requests and chooses the new primary.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "failover/term_row.h"

namespace cardamom {

// Pure. Not thread safe.
class PromotionPlan {
 public:
  // `eligible` are the endpoints that may become primary, the preferred one first. `suspect`, if
  // any, is the primary that failed: it is fenced, but its log counts only if no majority can be
  // had without it. What it alone holds was never acknowledged, and it may be out of reach of the
  // others.
  PromotionPlan(PromotionTask task,
                std::vector<EndpointId> eligible,
                std::optional<EndpointId> suspect = std::nullopt);

  const TermAllocation& allocation() const { return m_task.allocation; }

  // Every server to fence: the voters of every set and those of the new term.
  std::vector<EndpointId> Targets() const;

  // Whether `reachable` holds enough servers to finish. A promotion that cannot finish must not
  // start, since fencing stops the working primary.
  bool CanFinish(const std::vector<EndpointId>& reachable) const;

  // Takes a server's answer: its last log entry when it was fenced.
  void OnFenced(const EndpointId& endpoint, Position last);

  // A majority of every set, and of the new term's voters, is fenced.
  bool IsFenced() const;

  // The greatest last entry among the fenced that count: where the new term starts. Precondition:
  // IsFenced().
  Position Best() const;
  // A server that holds Best(). Precondition: IsFenced().
  EndpointId Source() const;
  // The new primary: a fenced, eligible voter of the term, one that holds Best() if there is any.
  std::optional<EndpointId> Candidate() const;

 private:
  using Fenced = std::map<EndpointId, Position>;

  bool HasMajorities(const Fenced& fenced) const;
  // The fenced servers whose logs count.
  Fenced Counted() const;

  const PromotionTask m_task;
  const std::vector<EndpointId> m_eligible;
  const std::optional<EndpointId> m_suspect;
  Fenced m_fenced;
};

}  // namespace cardamom
