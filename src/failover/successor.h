// Chooses the next primary on a platform that carries out promotion orders.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// Where a StopResult comes from, for log lines: no decision rests on it. A value type.
struct StopTrace {
  // Start of the listed process in Unix milliseconds.
  std::int64_t started_ms = 0;
  // When the link was opened on which the server answered, and when the answer arrived; not set if
  // it gave none.
  std::optional<TimePoint> link_opened_at;
  std::optional<TimePoint> answered_at;
  // Why the server counts as it does, if it did not answer for itself.
  std::string cause;
};

// The result of stopping a server: a stopped one receives no more entries of the old term, since
// the primary stepped down or the replica was paused.
struct StopResult {
  EndpointId endpoint;
  // The server was the primary of the old term.
  bool was_primary = false;
  // The server answered that it is stopped; it receives nothing until it is ordered to.
  bool stopped = false;
  // The server is leaving or no longer listed, so it must not become primary.
  bool leaving = false;
  // The server, or an earlier process of it, has ended, and no commit after this position was
  // acknowledged through it. So nothing is lost without it if the successor's log reaches this
  // position. Nothing if no such position is known.
  std::optional<Position> covered_by;
  // Last entry of the server's log; valid only if `stopped`.
  Position received;
  StopTrace trace;
};

// Returns the server to promote, which is known to hold every acknowledged commit, or nothing if
// there is none. A commit is acknowledged once one replica has received it, so it is on two
// servers, and there are two cases:
// - Every server is stopped or covered by the chosen replica, except for at most one lost primary.
//   The chosen replica has the longest log of the stopped ones. Two lost primaries, such as one
//   that was just promoted and the former one, may have been the only two that held a commit.
// - The old primary is stopped, no other primary is lost, and the chosen replica holds its whole
//   log, whether or not the other replicas are stopped.
// A stopped old primary may become primary again if no replica is known to hold every commit.
// Several entries with the same id stand for successive processes of one server. The log of the
// chosen server reaches `acknowledged`, the greatest position that callers were told of. Pure and
// thread safe.
std::optional<EndpointId> ChooseSuccessor(const std::vector<StopResult>& servers,
                                          Position acknowledged = {});

}  // namespace cardamom
