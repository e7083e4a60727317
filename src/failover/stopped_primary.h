// Decides whether a primary that a takeover stopped shows where the acknowledged commits of its
// group end.
//
// Servers that left, or restarted without their logs, are covered by a position that a primary
// reported afterwards. A group whose primary was stopped has none to ask. The end of the log of the
// stopped primary covers them all, as long as nothing has led the group since.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "failover/fence_row.h"
#include "failover/successor.h"

namespace cardamom {

// What is known of a group's servers when StopResults were collected. A value type.
struct StoppedGroup {
  std::vector<StopResult> servers;
  // The greatest term that a server reported.
  Term newest;
  // The term of each server that reported to be the primary just before.
  std::map<EndpointId, Term> primaries;
  // The listed processes.
  std::vector<ServerIncarnation> listed;
  // The processes that disappeared from the list.
  std::vector<ServerIncarnation> departed;
};

// Returns the primary that was stopped. Nothing if there was none, if another one may have led in
// its term or later, or if it did not stop. Pure and thread safe.
std::optional<StoppedPrimary> FindStoppedPrimary(const StoppedGroup& group);

// Whether `stopped`, of an earlier attempt, has not led since: it is listed, stopped and has the
// same log, or it was leaving and is gone; and no server reports a later term or to be the primary.
// Precondition: no order can have been accepted since. Pure and thread safe.
bool IsStillStopped(const StoppedPrimary& stopped, const StoppedGroup& group);

// Returns `servers` with the position of `stopped` for each that is not known to be covered by an
// earlier one, and with `stopped` as the old primary. Precondition: IsStillStopped. Pure and thread
// safe.
std::vector<StopResult> CoverByStoppedPrimary(std::vector<StopResult> servers,
                                              const StoppedPrimary& stopped);

}  // namespace cardamom
