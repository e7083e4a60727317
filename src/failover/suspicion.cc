#include "failover/suspicion.h"

#include <algorithm>

#include "group/term_note.h"

namespace cardamom {

Suspicion JudgePrimary(const PrimaryEvidence& evidence, const SuspicionOptions& options) {
  if (evidence.fenced_above && *evidence.fenced_above >= options.abandoned_limit) {
    return Suspicion::kAbandonedPromotion;
  }
  const bool gone = evidence.refused && evidence.failing.has_value();
  const Duration limit = gone ? options.refused_limit : options.silence_limit;
  const auto lost = static_cast<std::size_t>(
      std::count_if(evidence.contact_ages.begin(), evidence.contact_ages.end(),
                    [limit](Duration age) { return age >= limit; }));
  const auto majority = MajorityOf(evidence.voters);
  // With this many voters out of contact, the primary and the other voters are no majority.
  const auto enough_lost = evidence.voters - majority + 1;
  if (lost >= enough_lost) {
    return Suspicion::kNoProgress;
  }
  if (evidence.voters == 1 && evidence.failing && *evidence.failing >= limit) {
    return Suspicion::kNoProgress;
  }
  const bool peers_agree =
      evidence.peers_asked > 0 ? 2 * evidence.peers_failing > evidence.peers_asked : false;
  if (evidence.failing && *evidence.failing >= options.unreachable_limit && peers_agree) {
    return Suspicion::kUnreachable;
  }
  return Suspicion::kNone;
}

bool ShouldAskPeers(const PrimaryEvidence& evidence, const SuspicionOptions& options) {
  return evidence.failing && *evidence.failing >= options.unreachable_limit / 2;
}

}  // namespace cardamom
