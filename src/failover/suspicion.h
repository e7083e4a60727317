// Decides whether a primary has failed.
#pragma once

#include <optional>
#include <vector>

#include "core/clock.h"

namespace cardamom {

// The failover coordinator's observations of the primary of a term. A value type.
struct PrimaryEvidence {
  std::size_t voters = 0;
  // Time since the last contact with the primary, for each other voter that answers the
  // coordinator.
  std::vector<Duration> contact_ages;
  // How long the coordinator's requests to the primary have been failing; not set if the last one
  // was answered.
  std::optional<Duration> failing_for;
  // The last request failed because the connection was refused: no process listens at the address.
  bool connection_refused = false;
  // Number of peers that were asked, and of those among them that cannot reach the primary either.
  std::size_t peers_asked = 0;
  std::size_t peers_without_contact = 0;
  // How long a term has been observed that is greater than the primary's and has no primary yet: a
  // promotion fenced servers with it. Not set if there is none.
  std::optional<Duration> fenced_above_for;
};

struct SuspicionOptions {
  // Longest time without an answer from a primary whose process is gone.
  Millis refused_limit{200};
  // Longest time without an answer from a primary that may only be slow. Must exceed the longest
  // time for which a healthy server is slow.
  Millis no_answer_limit{750};
  // Longest time without an answer to the proxies from a primary that its replicas still reach.
  Millis unreachable_limit{1000};
  // Time after which a promotion that fenced servers and did not finish counts as abandoned.
  Millis abandoned_limit{600};
};

enum class Suspicion {
  kNone,
  // Too few voters are in contact with the primary for a write to be acknowledged.
  kNoProgress,
  // The proxies cannot reach the primary, though its replicas can.
  kUnreachable,
  // A promotion fenced servers and did not finish.
  kAbandonedPromotion,
};

// Returns why the primary should be replaced, or kNone. Pure and thread safe.
Suspicion AssessPrimary(const PrimaryEvidence& evidence, const SuspicionOptions& options);

// Whether the coordinator should ask its peers before it calls AssessPrimary. Pure and thread safe.
bool ShouldAskPeers(const PrimaryEvidence& evidence, const SuspicionOptions& options);

}  // namespace cardamom
