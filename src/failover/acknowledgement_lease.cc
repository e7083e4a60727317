#include "failover/acknowledgement_lease.h"

namespace cardamom {

bool HasAcknowledgementLease(BootTime started_at,
                             std::optional<BootTime> confirmed_at,
                             BootTime now) {
  return confirmed_at && *confirmed_at >= started_at && now - *confirmed_at < kAcknowledgementLease;
}

bool MayBeWitness(const WitnessCandidate& candidate) {
  // The log of a leaving server goes with it.
  return !candidate.is_primary && !candidate.leaving && candidate.listed_for >= kWitnessListedFor;
}

bool IsWitnessOf(const WitnessCandidate& candidate, Position commit) {
  // Logs that end in the same term are prefixes of one another.
  return MayBeWitness(candidate) && candidate.received.term == commit.term &&
         candidate.received >= commit;
}

}  // namespace cardamom
