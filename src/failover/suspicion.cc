#include "failover/suspicion.h"

#include <algorithm>

#include "group/term_note.h"

namespace cardamom {

Suspicion AssessPrimary(const PrimaryEvidence& evidence, const SuspicionOptions& options) {
  if (evidence.fenced_above_for && *evidence.fenced_above_for >= options.abandoned_limit) {
    return Suspicion::kAbandonedPromotion;
  }
  const bool process_gone = evidence.connection_refused && evidence.failing_for.has_value();
  const Duration limit = process_gone ? options.refused_limit : options.no_answer_limit;
  const auto out_of_contact = static_cast<std::size_t>(
      std::count_if(evidence.contact_ages.begin(), evidence.contact_ages.end(),
                    [limit](Duration age) { return age >= limit; }));
  const auto majority = MajorityOf(evidence.voters);
  // With this many voters out of contact, the primary and the other voters are no majority.
  const auto blocking_minority = evidence.voters - majority + 1;
  if (out_of_contact >= blocking_minority) {
    return Suspicion::kNoProgress;
  }
  if (evidence.voters == 1 && evidence.failing_for && *evidence.failing_for >= limit) {
    return Suspicion::kNoProgress;
  }
  const bool peers_agree =
      evidence.peers_asked > 0 ? 2 * evidence.peers_without_contact > evidence.peers_asked : false;
  if (evidence.failing_for && *evidence.failing_for >= options.unreachable_limit && peers_agree) {
    return Suspicion::kUnreachable;
  }
  return Suspicion::kNone;
}

bool ShouldAskPeers(const PrimaryEvidence& evidence, const SuspicionOptions& options) {
  return evidence.failing_for && *evidence.failing_for >= options.unreachable_limit / 2;
}

}  // namespace cardamom
