#include "gateway/server_poll.h"

#include <algorithm>
#include <utility>

#include "async/spawn.h"
#include "gateway/takeover_trace.h"

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
// A server that restarted is in the list after this time: two heartbeats, the delay of the list,
// and the time for which missing entries are retained.
constexpr Millis kRestartIsListed{7000};

// A server that obeyed the stop shows it in its status: a replica is paused at `stop_at` or a
// greater term, and a primary that stepped down is no primary. With any other status the stop came
// too late.
bool IsStopped(const EndpointStatus& status, bool was_primary, Term stop_at) {
  return was_primary ? !status.is_primary : status.paused_at >= stop_at;
}

// Whether the log is shorter than the server reported just before the stop: it restarted or was
// rolled back in between.
bool HasLostEntries(const EndpointStatus& stopped,
                    const EndpointId& id,
                    const ServerStatuses& before) {
  const auto reported = before.find(id);
  return reported != before.end() && stopped.received < reported->second.received;
}

BootTime ToBootTime(TimePoint time) {
  // If this process was suspended since, the result is later than the true time.
  return BootClock::now() - (Clock::now() - time);
}

// Collects the results of stopping the servers of a group.
class StopResults {
 public:
  StopResults(const GroupClient& group,
              const ServerStatuses& before,
              Term stop_at,
              TimePoint restarts_listed_until)
      : m_group(group),
        m_before(before),
        m_stop_at(stop_at),
        m_restarts_listed_until(restarts_listed_until) {}

  void AddListed(const GroupClient::EndpointPtr& endpoint,
                 const ServerAnswers& answers,
                 bool was_primary) {
    auto server = MakeResult(*endpoint, answers, was_primary);
    m_servers.push_back(server);
    const auto opened_at = answers.links_opened_at.find(server.endpoint);
    if (server.stopped && opened_at->second >= m_restarts_listed_until && MayLackEntries(server)) {
      AddEarlierProcess(server, opened_at->second,
                        was_primary || m_group.IsLatestPrimary(endpoint));
    }
  }

  void AddDeparted(const DepartedServer& departed, const ServerAnswers& paused) {
    const ServerAnswers none;
    const auto& answers = departed.restarted ? none : paused;
    auto server = MakeResult(*departed.endpoint, answers, false);
    server.leaving = true;
    if (server.stopped) {
      m_servers.push_back(server);
      // The list does not show whether the server has restarted.
      if (MayLackEntries(server)) {
        AddEarlierProcess(server, answers.links_opened_at.at(server.endpoint),
                          departed.was_primary);
      }
      return;
    }
    if (const auto* successor = FindAtAddress(*departed.endpoint)) {
      server.stopped = true;
      server.received = successor->received;
      server.was_primary = departed.was_primary;
      server.trace = successor->trace;
      server.trace.cause = "log taken over by " + successor->endpoint.value();
      m_servers.push_back(server);
      return;
    }
    server.was_primary = departed.was_primary;
    server.covered_by = PositionCovering(departed, paused);
    server.trace.cause = DescribeDeparted(departed, paused);
    m_servers.push_back(server);
  }

  void AddDepartedEarlier(Position covered_by) {
    StopResult server;
    server.leaving = true;
    server.covered_by = covered_by;
    server.trace.cause = "departed earlier";
    m_servers.push_back(server);
  }

  std::vector<StopResult> Take() { return std::move(m_servers); }

 private:
  StopResult MakeResult(const Endpoint& endpoint,
                        const ServerAnswers& answers,
                        bool was_primary) const {
    StopResult server;
    server.endpoint = endpoint.entry.id;
    server.leaving = endpoint.entry.leaving;
    server.was_primary = was_primary;
    server.trace = TraceAnswer(endpoint, answers, was_primary, m_stop_at);
    const auto answer = answers.statuses.find(server.endpoint);
    if (answer != answers.statuses.end() && IsStopped(answer->second, was_primary, m_stop_at) &&
        !HasLostEntries(answer->second, server.endpoint, m_before)) {
      server.stopped = true;
      server.received = answer->second.received;
    } else if (answer != answers.statuses.end() && server.trace.cause.empty()) {
      server.trace.cause = "its log is shorter than just before";
    }
    return server;
  }

  // The stopped server that took over the address of `departed`, and with it its log. A server that
  // started there without a log does not hold the latest position that a primary reported.
  const StopResult* FindAtAddress(const Endpoint& departed) const {
    for (const auto& server : m_servers) {
      const auto endpoint = m_group.Find(server.endpoint);
      if (server.stopped && endpoint && endpoint->entry.id != departed.entry.id &&
          endpoint->entry.address == departed.entry.address && !departed.entry.address.empty() &&
          !MayLackEntries(server) && server.received >= departed.last_position) {
        return &server;
      }
    }
    return nullptr;
  }

  // A server that restarted without its log holds the latest position that the primary reported
  // only if the primary sent it the log again.
  bool MayLackEntries(const StopResult& answered) const {
    const auto latest = m_group.watermarks().LatestPosition();
    return !latest || answered.received < *latest;
  }

  // The process before the one that answered had ended when the link was opened, so a position that
  // the primary was asked for later covers what it acknowledged.
  void AddEarlierProcess(const StopResult& answered, TimePoint link_opened_at, bool was_primary) {
    StopResult earlier;
    earlier.endpoint = answered.endpoint;
    earlier.was_primary = was_primary;
    earlier.leaving = true;
    earlier.covered_by = m_group.watermarks().PositionCovering(ToBootTime(link_opened_at));
    earlier.trace.cause = "a process that ended before the link was opened";
    m_servers.push_back(earlier);
  }

  const GroupClient& m_group;
  const ServerStatuses& m_before;
  const Term m_stop_at;
  const TimePoint m_restarts_listed_until;
  std::vector<StopResult> m_servers;
};

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
      const auto answer = co_await group->SendControlRequest(endpoint, request, deadline);
      if (answer) {
        gathered->answers.statuses[endpoint->entry.id] = answer->status;
        gathered->answers.links_opened_at[endpoint->entry.id] = answer->link_opened_at;
        gathered->answers.answered_at[endpoint->entry.id] = Clock::now();
      } else {
        gathered->answers.failures.insert_or_assign(endpoint->entry.id, answer.error());
      }
      --gathered->left;
      gathered->changed.NotifyAll();
    });
  }
  const std::function<bool()> all_answered = [gathered] { return gathered->left == 0; };
  co_await gathered->changed.WaitUntil(all_answered, deadline + Millis(50));
  co_return gathered->answers;
}

std::optional<Position> PositionCovering(const DepartedServer& departed,
                                         const ServerAnswers& asked) {
  const auto& id = departed.endpoint->entry.id;
  const auto failure = asked.failures.find(id);
  const auto failed_with = [&](ResultCode code) {
    return failure != asked.failures.end() && failure->second.code == code;
  };
  const bool answered = !departed.restarted && asked.statuses.contains(id);
  if (answered || failed_with(ResultCode::kOverloaded) ||
      failed_with(ResultCode::kUnmatchedAnswer)) {
    // The server is alive and may still acknowledge commits.
    return std::nullopt;
  }
  const bool process_gone = departed.restarted || departed.ended_by ||
                            failed_with(ResultCode::kBadAnswer) ||
                            failed_with(ResultCode::kConnectionRefused);
  return process_gone ? departed.position_after_exit : departed.position_after_no_answer;
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
    if (!server.restarted && !server.never_listed) {
      asked.push_back(server.endpoint);
    }
  }
  // A primary that did not report its status is not asked, so that nothing waits for it.
  auto reached = primaries;
  std::erase_if(reached,
                [&](const auto& endpoint) { return !statuses.contains(endpoint->entry.id); });
  const auto restarts_listed_until = stop.opened_before.value_or(RestartsListedUntil());
  stop.prefer_opened_before = restarts_listed_until;
  stop.operation = EndpointOperation::kStepDown;
  const auto stepped = co_await SendToServers(context, group, reached, stop);
  stop.operation = EndpointOperation::kPause;
  const auto paused = co_await SendToServers(context, group, asked, stop);
  StopResults results(*group, statuses, stop.term, restarts_listed_until);
  for (const auto& endpoint : primaries) {
    results.AddListed(endpoint, stepped, true);
  }
  for (const auto& endpoint : replicas) {
    results.AddListed(endpoint, paused, false);
  }
  for (const auto& server : departed) {
    results.AddDeparted(server, paused);
  }
  if (const auto& position = group->DepartedPosition()) {
    results.AddDepartedEarlier(*position);
  }
  co_return results.Take();
}

asio::awaitable<RepeatedStop> AreStillStopped(GatewayContext& context,
                                              std::shared_ptr<GroupClient> group,
                                              std::vector<StopResult> servers,
                                              ControlRequest stop) {
  // A stopped primary keeps its log if it restarts, and shows then that it is one again.
  std::erase_if(servers, [&](const StopResult& server) {
    return !server.stopped || !group->Find(server.endpoint);
  });
  std::vector<GroupClient::EndpointPtr> targets;
  targets.reserve(servers.size());
  for (const auto& server : servers) {
    targets.push_back(group->Find(server.endpoint));
  }
  stop.operation = EndpointOperation::kPause;
  const auto asked_at = Clock::now();
  const auto answers = co_await SendToServers(context, group, targets, stop);
  RepeatedStop repeated;
  repeated.is_confirmed =
      std::all_of(servers.begin(), servers.end(), [&](const StopResult& server) {
        const auto answer = answers.statuses.find(server.endpoint);
        return answer != answers.statuses.end() &&
               IsStopped(answer->second, server.was_primary, stop.term) &&
               answer->second.received == server.received;
      });
  repeated.description = DescribeRepeatedStop(servers, answers, asked_at, Clock::now());
  co_return repeated;
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

TimePoint RestartsListedUntil() {
  return Clock::now() - kRestartIsListed;
}

std::vector<SurveyedServer> ToSurveyedServers(const GroupClient& group,
                                              const ServerAnswers& answers) {
  const auto listed_until = RestartsListedUntil();
  auto servers = ToSurveyedServers(answers.statuses);
  for (auto& server : servers) {
    const auto endpoint = group.Find(server.endpoint);
    if (endpoint && answers.links_opened_at.at(server.endpoint) < listed_until) {
      server.started_ms = endpoint->entry.started_ms;
    }
  }
  return servers;
}

bool IsAnyPaused(const ServerStatuses& statuses) {
  return std::any_of(statuses.begin(), statuses.end(),
                     [](const auto& entry) { return entry.second.paused_at > entry.second.term; });
}

bool ShowNoTakeover(const GroupClient& group, const ServerStatuses& statuses) {
  std::vector<EndpointId> listed;
  for (const auto& [id, endpoint] : group.endpoints()) {
    listed.push_back(id);
  }
  for (const auto& departed : group.Departed()) {
    if (!departed.announced) {
      listed.push_back(departed.endpoint->entry.id);
    }
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

}  // namespace cardamom
