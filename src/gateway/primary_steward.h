// Decides when this proxy tries to replace a primary.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "gateway/directory.h"
#include "gateway/takeover.h"

namespace cardamom {

// When a takeover is due.
struct StewardPolicy {
  // Silence of a primary whose process refuses connections.
  Millis refused_limit{150};
  // Silence of a primary that might only be slow.
  Millis silent_limit{260};
  // A group in which nobody leads.
  Millis leaderless_limit{800};
  // Commits without an acknowledgement.
  Millis stall_limit{700};
  // Evidence of a stall older than this is forgotten.
  Millis stall_memory{2500};
};

// What the steward knows of a group.
struct StewardView {
  bool has_servers = false;
  // The list of servers is known to be whole.
  bool list_settled = false;
  // A server has no connection to spare, so that silence says nothing.
  bool at_connection_limit = false;
  bool has_primary = false;
  bool primary_leaving = false;
  PrimaryHealth health;
  // Since when no primary has been known.
  std::optional<TimePoint> leaderless_since;
  // The last try of this proxy left replicas stopped.
  bool unfinished = false;
};

// Why a takeover is due now, if it is. `delay` keeps proxies apart: the first one usually finishes
// before the next one starts. Pure and thread safe.
std::optional<TakeoverReason> JudgeTakeover(const StewardView& view,
                                            const StewardPolicy& policy,
                                            Duration delay,
                                            TimePoint now);

// Pause before the next try after one that ended with `result`, `gave_way` of them in a row. Each
// try calls the store, so many proxies that give way to one would keep it from its answers. Pure
// and thread safe.
Millis PauseAfter(TakeoverResult result, int gave_way);

// Not thread safe: all use is on the thread of the context.
class PrimarySteward {
 public:
  PrimarySteward(GatewayContext& context,
                 const Directory& directory,
                 Takeover& takeover,
                 OutageTakeover& outage);

  void Start();
  void Stop() { m_stopped = true; }

 private:
  asio::awaitable<void> Watch();
  void OnStoodStill();
  void Consider(const std::shared_ptr<GroupClient>& group);
  Duration DelayFor(const GroupId& group) const;

  struct State {
    std::optional<TimePoint> leaderless_since;
    std::optional<TimePoint> leaving_since;
    TimePoint not_before;
    // Tries in a row that gave way.
    int gave_way = 0;
    bool running = false;
    bool unfinished = false;
  };

  GatewayContext& m_context;
  const Directory& m_directory;
  Takeover& m_takeover;
  OutageTakeover& m_outage;
  std::map<GroupId, State> m_states;
  bool m_stopped = false;
};

}  // namespace cardamom
