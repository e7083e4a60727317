// Bounds the time for which a proxy passes on acknowledgements of commits without having heard of a
// takeover, so that a holder need not reach every proxy.
//
// A holder writes a notice to the store before it compares logs. A proxy passes on what servers
// acknowledge while it holds a lease: its copy of the notices was current within
// kAcknowledgementLease. So once that time has passed since the notice was written, every proxy has
// read it or has no lease. Without a lease a commit is passed on only once a witness has received
// it: a replica that every takeover compares.
#pragma once

#include <optional>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// A relay confirms its copy of the notices every 1.6 s, and the other proxies follow their relays.
constexpr Millis kAcknowledgementLease{2500};
// A server that has been listed for this long is known to the holder of every order that may still
// be carried out: its list is read when the order is sent, and an order is carried out at most 13 s
// later.
constexpr Millis kWitnessListedFor{15'000};

// Whether a proxy whose process started at `started_at`, and whose copy of the notices was last
// known to be current at `confirmed_at`, holds a lease. A process that starts during a hold is not
// asked to hold, so a copy from before its start is not enough. Pure and thread safe.
bool HasAcknowledgementLease(BootTime started_at,
                             std::optional<BootTime> confirmed_at,
                             BootTime now);

// What a proxy knows of a listed server. A value type.
struct WitnessCandidate {
  bool is_primary = false;
  bool leaving = false;
  // How long this proxy has seen this process of the server listed.
  Duration listed_for{};
  // Greatest position that this process has reported.
  Position received;
};

// Whether the server may be a witness. Pure and thread safe.
bool MayBeWitness(const WitnessCandidate& candidate);

// Whether the server shows that no takeover can miss a commit at or before `commit`, a position of
// the primary's log. Pure and thread safe.
bool IsWitnessOf(const WitnessCandidate& candidate, Position commit);

}  // namespace cardamom
