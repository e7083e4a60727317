// Describes for log lines what a takeover rests on: who answered, when and on which link.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "failover/successor.h"
#include "gateway/group_client.h"
#include "gateway/server_poll.h"

namespace cardamom {

// How `endpoint` answered the request to stop at `stop_at`. Pure and thread safe.
StopTrace TraceAnswer(const Endpoint& endpoint,
                      const ServerAnswers& answers,
                      bool was_primary,
                      Term stop_at);

// How long ago a server departed and what is known of its process. `asked`: its answer to a request
// just now. Not thread safe.
std::string DescribeDeparted(const DepartedServer& departed, const ServerAnswers& asked);

// How far the logs of `servers` reach, and for each the start of its process, the age of the link
// that answered, and how long before `stopped_at` the answer arrived. Pure and thread safe.
std::string DescribeStopped(const std::vector<StopResult>& servers, TimePoint stopped_at);

// How the answers to a repeated stop, sent at `asked_at` and complete at `complete_at`, differ from
// `servers`. Pure and thread safe.
std::string DescribeRepeatedStop(const std::vector<StopResult>& servers,
                                 const ServerAnswers& answers,
                                 TimePoint asked_at,
                                 TimePoint complete_at);

// The number of servers in the list of `group`, its version and its age, after the word `label`.
// Not thread safe.
std::string DescribeList(const GroupClient& group, const std::string& label);

// The outcome of an order that took `time`, and its label in a metric. An order without an answer
// may be carried out late. Pure and thread safe.
std::string DescribeOrder(const Outcome<OrderResult>& ordered, Duration time);
const char* NameOf(const Outcome<OrderResult>& ordered);

// The new primary, the end of its log, the start of the listed process and the token of the order.
// Not thread safe.
std::string DescribePromoted(const GroupClient& group,
                             const EndpointId& primary,
                             Position position,
                             std::uint64_t token);

}  // namespace cardamom
