// Decides whether a primary has failed.
#pragma once

#include <optional>
#include <vector>

#include "core/clock.h"

namespace cardamom {

// What the steward observes of a term's primary.
struct PrimaryEvidence {
  std::size_t voters = 0;
  // For each voter but the primary that answers the steward: how long ago it heard from the
  // primary.
  std::vector<Duration> contact_ages;
  // How long requests of the steward to the primary have been failing.
  std::optional<Duration> failing;
  // The last request failed because nothing listens there.
  bool refused = false;
  // Among the peers that were asked, those that cannot reach the primary either.
  std::size_t peers_asked = 0;
  std::size_t peers_failing = 0;
  // A greater term than the primary's has been used to fence servers; no primary leads it.
  std::optional<Duration> fenced_above;
};

struct SuspicionOptions {
  // Silence of a primary whose process is gone.
  Millis refused_limit{200};
  // Silence of a primary that might only be slow. It has to exceed the longest slow spell.
  Millis silence_limit{750};
  // Silence towards proxies of a primary that its replicas still hear.
  Millis unreachable_limit{1000};
  // Age of a fence whose promoter did not finish.
  Millis abandoned_limit{600};
};

enum class Suspicion {
  kNone,
  // Too few voters hear the primary for a write to be acknowledged.
  kNoProgress,
  // The proxies cannot reach it, though its replicas hear it.
  kUnreachable,
  // A promotion stopped half-way.
  kAbandonedPromotion,
};

// Pure and thread safe.
Suspicion JudgePrimary(const PrimaryEvidence& evidence, const SuspicionOptions& options);

// Whether the steward should ask its peers before JudgePrimary can tell.
bool ShouldAskPeers(const PrimaryEvidence& evidence, const SuspicionOptions& options);

}  // namespace cardamom
