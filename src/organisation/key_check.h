// Decides whether a caller's key admits a statement, and whether the configuration that says so is
// recent enough.
#pragma once

#include <optional>

#include "core/clock.h"
#include "directory/configuration.h"
#include "organisation/organisation.h"

namespace cardamom {

// Whether a configuration that was current at `confirmed_at` (nullopt: not known to have been) may
// decide on a statement received at `received_at`. `revoke` is the time after which a withdrawn key
// must be refused everywhere; 0 means no bound. Pure and thread safe.
//
// A key that `configuration` still holds was withdrawn after `confirmed_at`, if at all. The caller
// sent the statement before `received_at`, so less than `revoke` after the withdrawal.
bool IsRecentEnough(Millis revoke, std::optional<BootTime> confirmed_at, BootTime received_at);

enum class KeyResult {
  kAdmitted,
  // The key belongs to no organisation.
  kUnknownKey,
  // The key belongs to another organisation than the one that the transaction runs for.
  kMovedKey,
  // The configuration is too old to tell.
  kConfigurationTooOld,
};

// A value type.
struct KeyVerdict {
  KeyResult result = KeyResult::kAdmitted;
  // With kAdmitted: the organisation on whose behalf the statement runs; empty on public routes.
  OrganisationName organisation;
};

// Decides on a statement outside a transaction or on the opening of a session. `is_recent`: see
// IsRecentEnough. Pure and thread safe.
KeyVerdict CheckKey(const Configuration& configuration,
                    const Route& route,
                    const ApiKey& key,
                    bool is_recent);

// Decides on a statement of a transaction that began for `organisation`. Pure and thread safe.
KeyVerdict CheckKeyInTransaction(const Configuration& configuration,
                                 const Route& route,
                                 const ApiKey& key,
                                 bool is_recent,
                                 const OrganisationName& organisation);

}  // namespace cardamom
