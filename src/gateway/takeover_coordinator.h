// Decides when this proxy attempts to replace a primary.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "gateway/directory.h"
#include "gateway/roster_keeper.h"
#include "gateway/takeover.h"

namespace cardamom {

// Limits after which a takeover is due.
struct SuspicionLimits {
  // Time without an answer from a primary whose address refuses connections.
  Millis refused_limit{150};
  // Time without an answer from a primary that might only be slow.
  Millis no_answer_limit{260};
  // Time without a known primary.
  Millis no_primary_limit{800};
  // Age of a commit that was not acknowledged.
  Millis stall_limit{700};
  // Evidence of a stall older than this is ignored.
  Millis stall_evidence_lifetime{2500};
};

// What the coordinator observes of a group.
struct GroupObservation {
  bool has_servers = false;
  // The server list is complete.
  bool list_settled = false;
  // A server is at its connection limit, so that a missing answer proves nothing.
  bool at_connection_limit = false;
  bool has_primary = false;
  bool primary_leaving = false;
  PrimaryHealth health;
  // Since when no primary has been known.
  std::optional<TimePoint> no_primary_since;
  // The last attempt of this proxy left replicas stopped, or another proxy has left a hold behind.
  bool unfinished = false;
};

// Returns why a takeover is due now, or nothing if none is. `delay` differs between proxies, so
// that the first one usually finishes before the next one starts. Pure and thread safe.
std::optional<TakeoverReason> FindTakeoverReason(const GroupObservation& observation,
                                                 const SuspicionLimits& limits,
                                                 Duration delay,
                                                 TimePoint now);

// Pause before the next attempt after one that ended with `result`; `back_offs` is the number of
// consecutive back-offs, by which the pause grows: each attempt calls the store, and the calls of
// many proxies would delay the store's answers to the one that replaces the primary. Pure and
// thread safe.
Millis PauseAfter(TakeoverResult result, int back_offs);

// Starts a takeover of a group when one is due, at most one per group at a time, and maintains the
// reserved tokens and the rosters. The referenced objects must outlive it. Not thread safe: all use
// is on the thread of the context.
class TakeoverCoordinator {
 public:
  TakeoverCoordinator(GatewayContext& context,
                      const Directory& directory,
                      Takeover& takeover,
                      OutageTakeover& outage,
                      RosterKeeper& rosters);

  // Starts to check all groups periodically. The coordinator must outlive the run of the context.
  void Start();
  // Ends the checks. A takeover in progress continues.
  void Stop() { m_stopped = true; }

 private:
  asio::awaitable<void> Watch();
  void OnProcessSuspended();
  void StartTakeoverIfDue(const std::shared_ptr<GroupClient>& group);
  Duration StartDelay(const GroupId& group) const;

  struct State {
    std::optional<TimePoint> no_primary_since;
    std::optional<TimePoint> leaving_since;
    TimePoint next_attempt_at;
    // Consecutive attempts that backed off.
    int back_offs = 0;
    bool running = false;
    bool unfinished = false;
  };

  GatewayContext& m_context;
  const Directory& m_directory;
  Takeover& m_takeover;
  OutageTakeover& m_outage;
  RosterKeeper& m_rosters;
  std::map<GroupId, State> m_states;
  bool m_stopped = false;
};

}  // namespace cardamom
