// Requests to all servers of a group at once, as a takeover needs them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "directory/table_port.h"
#include "failover/outage_rules.h"
#include "failover/successor.h"
#include "gateway/group_client.h"

namespace cardamom {

using ServerStatuses = std::map<EndpointId, EndpointStatus>;

// The answers to one request to several servers. A value type.
struct ServerAnswers {
  ServerStatuses statuses;
  // When the links were opened on which the statuses arrived.
  std::map<EndpointId, TimePoint> links_opened_at;
  // When they arrived.
  std::map<EndpointId, TimePoint> answered_at;
  std::map<EndpointId, Error> failures;
};

// The list shows every process that started before this time. Thread safe.
TimePoint RestartsListedUntil();

// Sends `order` to all of `targets` at once and collects the answers that arrive in time: 250 ms
// for a status, 400 ms for anything else. Not thread safe.
asio::awaitable<ServerAnswers> SendToServers(GatewayContext& context,
                                             std::shared_ptr<GroupClient> group,
                                             std::vector<GroupClient::EndpointPtr> targets,
                                             ControlRequest request);

// The position that covers all commits that a departed server acknowledged: nothing if it may still
// acknowledge some, or no primary has been asked since. `asked` holds its answer to a request just
// now. Not thread safe.
std::optional<Position> PositionCovering(const DepartedServer& departed,
                                         const ServerAnswers& asked);

// Pauses the replicas of a group at `stop.term`, makes the primaries step down, and returns how far
// their logs reach. Departed servers that have not restarted are paused as well; the result has an
// entry for every departed server. If a server may have restarted before it answered, the result
// has a further entry for its earlier process. `stop.operation` is ignored. `statuses`: what the
// servers reported just before; a primary that is missing there is not asked. Not thread safe.
asio::awaitable<std::vector<StopResult>> StopServers(GatewayContext& context,
                                                     std::shared_ptr<GroupClient> group,
                                                     ServerStatuses statuses,
                                                     ControlRequest stop);

// What the servers answered when a stop was repeated.
struct RepeatedStop {
  // Each is stopped with the log that it had when it was first stopped.
  bool is_confirmed = false;
  // For a log line: how long it took, servers that answered on a link that was opened since, and
  // those that did not stay stopped.
  std::string description;
};

// Repeats `stop` to the servers that StopServers stopped. A replica that restarts is not paused any
// more, and may receive and acknowledge commits of a primary that was not reached. Takes one round
// trip, at most 400 ms. Not thread safe.
asio::awaitable<RepeatedStop> AreStillStopped(GatewayContext& context,
                                              std::shared_ptr<GroupClient> group,
                                              std::vector<StopResult> servers,
                                              ControlRequest stop);

// Whether a primary that did not step down still works, or is alive but too busy to answer. Not
// thread safe.
asio::awaitable<bool> AnyPrimaryWorks(std::shared_ptr<GroupClient> group,
                                      std::vector<StopResult> servers);

// What the servers in `statuses` reported. Pure and thread safe.
std::vector<SurveyedServer> ToSurveyedServers(const ServerStatuses& statuses);

// As above, with the start of each server that answered on a link from before RestartsListedUntil.
// Not thread safe.
std::vector<SurveyedServer> ToSurveyedServers(const GroupClient& group,
                                              const ServerAnswers& answers);

// Whether a server is paused at a newer term than that of its log. Pure and thread safe.
bool IsAnyPaused(const ServerStatuses& statuses);

// Whether the servers of the group that are listed, or departed without notice, show that no
// takeover is under way. Not thread safe.
bool ShowNoTakeover(const GroupClient& group, const ServerStatuses& statuses);

// Waits until `endpoint` is the primary and returns the end of its log. Returns nothing if that
// takes longer than 3 s, the longest time that a promotion takes, or if the server is no longer
// listed. Not thread safe.
asio::awaitable<std::optional<Position>> WaitUntilPrimary(std::shared_ptr<GroupClient> group,
                                                          EndpointId endpoint);

}  // namespace cardamom
