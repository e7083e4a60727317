// Questions and orders to all servers of a group at once, as a change of primary needs them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "failover/successor.h"
#include "gateway/group_client.h"

namespace cardamom {

using ServerStatuses = std::map<EndpointId, EndpointStatus>;

// The answers to one question to several servers. A value type.
struct ServerAnswers {
  ServerStatuses statuses;
  std::map<EndpointId, Error> failures;
};

// Sends `order` to all of `targets` at once and gathers the answers. Not thread safe.
asio::awaitable<ServerAnswers> AskServers(GatewayContext& context,
                                          std::shared_ptr<GroupClient> group,
                                          std::vector<GroupClient::EndpointPtr> targets,
                                          ControlOrder order);

// Stops the replicas and the primaries of a group at `stop_at`, and says what their logs hold.
// `statuses`: what the servers said just before. Not thread safe.
asio::awaitable<std::vector<StoppedServer>> StopServers(GatewayContext& context,
                                                        std::shared_ptr<GroupClient> group,
                                                        ServerStatuses statuses,
                                                        ControlOrder stop);

// Whether a primary that did not take the order to step down works all the same. Not thread safe.
asio::awaitable<bool> AnyPrimaryWorks(std::shared_ptr<GroupClient> group,
                                      std::vector<StoppedServer> servers);

// Waits until `endpoint` leads. Returns false if it does not in the time that a promotion takes.
// Not thread safe.
asio::awaitable<bool> WaitForLead(std::shared_ptr<GroupClient> group, EndpointId endpoint);

// The logs of `servers` for a log line. Pure and thread safe.
std::string DescribeStopped(const std::vector<StoppedServer>& servers);

}  // namespace cardamom
