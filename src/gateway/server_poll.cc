#include "gateway/server_poll.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kControlTimeout{400};
// A status request takes a slot, but healthy servers answer far sooner.
constexpr Millis kStatusTimeout{250};
// Last probe of a primary that seems to have failed.
constexpr Millis kLastProbeTimeout{120};
// Longest time from an accepted order to the answers of the new primary.
constexpr Millis kPromotionTimeout{3000};
constexpr Millis kPromotionPollInterval{50};
// A departed replica whose process has been gone for this long has acknowledged nothing since; what
// it had acknowledged before has reached the others.
constexpr Millis kGoneAfterProcessExit{4000};
// As above, for a server whose process is not known to be gone: neither the store nor this proxy
// receives anything from it.
constexpr Millis kGoneAfterNoAnswer{8000};

// A server that obeyed the stop shows it in its status: a replica is paused at `stop_at` or a
// greater term, and a primary that stepped down is no primary. With any other status the stop came
// too late.
bool IsStopped(const EndpointStatus& status, bool was_primary, Term stop_at) {
  return was_primary ? !status.is_primary : status.paused_at >= stop_at;
}

StopResult MakeStopResult(const Endpoint& endpoint,
                          const ServerAnswers& answers,
                          bool was_primary,
                          Term stop_at) {
  StopResult server;
  server.endpoint = endpoint.entry.id;
  server.leaving = endpoint.entry.leaving;
  server.was_primary = was_primary;
  const auto answer = answers.statuses.find(server.endpoint);
  if (answer != answers.statuses.end() && IsStopped(answer->second, was_primary, stop_at)) {
    server.stopped = true;
    server.received = answer->second.received;
  }
  return server;
}

StopResult MakeDepartedStopResult(const DepartedServer& departed,
                                  const ServerAnswers& paused,
                                  Term stop_at) {
  const ServerAnswers none;
  auto server =
      MakeStopResult(*departed.endpoint, departed.restarted ? none : paused, false, stop_at);
  server.leaving = true;
  const auto failure = paused.failures.find(server.endpoint);
  const bool process_gone =
      departed.restarted || (failure != paused.failures.end() &&
                             (failure->second.code == ResultCode::kBadAnswer ||
                              failure->second.code == ResultCode::kConnectionRefused));
  const auto gone_for = Clock::now() - departed.since;
  server.safe_to_ignore = gone_for > (process_gone ? kGoneAfterProcessExit : kGoneAfterNoAnswer);
  return server;
}

}  // namespace

asio::awaitable<ServerAnswers> SendToServers(GatewayContext& context,
                                             std::shared_ptr<GroupClient> group,
                                             std::vector<GroupClient::EndpointPtr> targets,
                                             ControlRequest request) {
  struct Gathered {
    ServerAnswers answers;
    std::size_t left = 0;
    Notifier changed;
  };
  const auto gathered = std::make_shared<Gathered>();
  gathered->left = targets.size();
  const auto timeout =
      request.operation == EndpointOperation::kStatus ? kStatusTimeout : kControlTimeout;
  const auto deadline = Clock::now() + timeout;
  for (const auto& endpoint : targets) {
    Spawn(context.io, [group, endpoint, request, deadline, gathered]() -> asio::awaitable<void> {
      const auto status = co_await group->SendControlRequest(endpoint, request, deadline);
      if (status) {
        gathered->answers.statuses[endpoint->entry.id] = *status;
      } else {
        gathered->answers.failures.insert_or_assign(endpoint->entry.id, status.error());
      }
      --gathered->left;
      gathered->changed.NotifyAll();
    });
  }
  const std::function<bool()> all_answered = [gathered] { return gathered->left == 0; };
  co_await gathered->changed.WaitUntil(all_answered, deadline + Millis(50));
  co_return gathered->answers;
}

asio::awaitable<std::vector<StopResult>> StopServers(GatewayContext& context,
                                                     std::shared_ptr<GroupClient> group,
                                                     ServerStatuses statuses,
                                                     ControlRequest stop) {
  std::vector<GroupClient::EndpointPtr> primaries;
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, endpoint] : group->endpoints()) {
    const auto status = statuses.find(id);
    const bool is_primary =
        status != statuses.end() ? status->second.is_primary : group->primary_id() == id;
    (is_primary ? primaries : replicas).push_back(endpoint);
  }
  const auto departed = group->Departed();
  auto asked = replicas;
  for (const auto& server : departed) {
    if (!server.restarted) {
      asked.push_back(server.endpoint);
    }
  }
  // A primary that did not report its status is not asked, so that nothing waits for it.
  auto reached = primaries;
  std::erase_if(reached,
                [&](const auto& endpoint) { return !statuses.contains(endpoint->entry.id); });
  stop.operation = EndpointOperation::kStepDown;
  const auto stepped = co_await SendToServers(context, group, reached, stop);
  stop.operation = EndpointOperation::kPause;
  const auto paused = co_await SendToServers(context, group, asked, stop);
  std::vector<StopResult> servers;
  servers.reserve(primaries.size() + replicas.size() + departed.size());
  for (const auto& endpoint : primaries) {
    servers.push_back(MakeStopResult(*endpoint, stepped, true, stop.term));
  }
  for (const auto& endpoint : replicas) {
    servers.push_back(MakeStopResult(*endpoint, paused, false, stop.term));
  }
  for (const auto& server : departed) {
    servers.push_back(MakeDepartedStopResult(server, paused, stop.term));
  }
  co_return servers;
}

asio::awaitable<bool> AnyPrimaryWorks(std::shared_ptr<GroupClient> group,
                                      std::vector<StopResult> servers) {
  for (const auto& server : servers) {
    const auto endpoint = group->Find(server.endpoint);
    if (!server.was_primary || server.stopped || !endpoint) {
      continue;
    }
    const auto position =
        co_await group->ProbeIfPrimary(endpoint, Clock::now() + kLastProbeTimeout);
    if (position || group->IsAtConnectionLimit()) {
      co_return true;
    }
  }
  co_return false;
}

std::vector<SurveyedServer> ToSurveyedServers(const ServerStatuses& statuses) {
  std::vector<SurveyedServer> servers;
  servers.reserve(statuses.size());
  for (const auto& [id, reported] : statuses) {
    servers.push_back({id, true, reported.is_primary, reported.term, reported.paused_at});
  }
  return servers;
}

bool ShowNoTakeover(const GroupClient& group, const ServerStatuses& statuses) {
  std::vector<EndpointId> listed;
  for (const auto& [id, endpoint] : group.endpoints()) {
    listed.push_back(id);
  }
  for (const auto& departed : group.Departed()) {
    listed.push_back(departed.endpoint->entry.id);
  }
  // If others answer in a newer term, the server that was the primary may be a paused replica now.
  const bool newest = std::all_of(statuses.begin(), statuses.end(), [&group](const auto& entry) {
    return entry.second.term <= group.term();
  });
  return ShowNoTakeover(listed, newest ? group.primary_id() : std::nullopt,
                        ToSurveyedServers(statuses));
}

asio::awaitable<std::optional<Position>> WaitUntilPrimary(std::shared_ptr<GroupClient> group,
                                                          EndpointId endpoint) {
  const auto deadline = Clock::now() + kPromotionTimeout;
  while (Clock::now() < deadline) {
    const auto server = group->Find(endpoint);
    if (!server) {
      co_return std::nullopt;
    }
    const auto position = co_await group->ProbeIfPrimary(server, Clock::now() + kControlTimeout);
    if (position) {
      co_return position;
    }
    co_await Sleep(kPromotionPollInterval);
  }
  co_return std::nullopt;
}

std::string DescribeStopped(const std::vector<StopResult>& servers) {
  std::string text;
  for (const auto& server : servers) {
    text +=
        fmt::format(" {}{}={}.{}{}", server.endpoint.value(), server.was_primary ? "(primary)" : "",
                    server.received.term.value(), server.received.index.value(),
                    server.stopped          ? ""
                    : server.safe_to_ignore ? "(departed)"
                                            : "(not stopped)");
  }
  return text;
}

std::string DescribeOrder(const Outcome<OrderResult>& ordered) {
  return ordered ? NameOf(ordered) : ordered.error().detail;
}

const char* NameOf(const Outcome<OrderResult>& ordered) {
  if (!ordered) {
    return "unanswered";
  }
  return *ordered == OrderResult::kAccepted ? "accepted" : "rejected";
}

std::string DescribePromoted(const EndpointId& primary, Position position) {
  return fmt::format("{} at {}.{}", primary.value(), position.term.value(), position.index.value());
}

}  // namespace cardamom
