// Stops the servers of a group and chooses the one to promote.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "failover/stopped_primary.h"
#include "gateway/server_poll.h"
#include "gateway/takeover_hold.h"

namespace cardamom {

// The server to promote, or why there is none. A value type.
struct SuccessorChoice {
  std::optional<EndpointId> successor;
  std::string objection;
  // There is none only because proxies that gave no answer may pass on acknowledgements.
  bool waits_for_proxies = false;
  // End of the successor's log.
  Position log_end;
  // The compared logs and the answers of the proxies, for a log line, and when the servers had been
  // stopped.
  std::string logs;
  TimePoint stopped_at;
  // The primary that was stopped, now or by an earlier attempt, if it shows where the acknowledged
  // commits end.
  std::optional<StoppedPrimary> stopped_primary;
};

// Reads the server list again. Returns false if the store does not answer.
using RefreshServers = std::function<asio::awaitable<bool>()>;

// Stops the servers of a group as StopServers does, compares their logs and chooses the server to
// promote. There is none if a primary works, if no log is known to hold what the proxies have
// passed on, if a server did not stay stopped, or if one was listed meanwhile, which may hold
// commits that the others lack. `hold` is started unless no log could be chosen. `refresh_servers`
// is not called if it is empty. `stopped_before`: the primary that an earlier attempt stopped, if
// no order can have been accepted since. `have_leases_ended`: proxies that give no answer pass on
// no acknowledgements either. Not thread safe.
asio::awaitable<SuccessorChoice> StopAndChooseSuccessor(
    GatewayContext& context,
    std::shared_ptr<GroupClient> group,
    ServerStatuses statuses,
    ControlRequest stop,
    PendingHold hold,
    RefreshServers refresh_servers,
    std::optional<StoppedPrimary> stopped_before,
    bool have_leases_ended);

}  // namespace cardamom
