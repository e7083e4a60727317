#include "gateway/successor_choice.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"
#include "gateway/takeover_trace.h"

namespace cardamom {
namespace {

// Longest wait for the list of servers just before an order.
constexpr Millis kListTimeout{400};

// Reads the server list while other requests are under way.
class BackgroundRead {
 public:
  BackgroundRead(GatewayContext& context, RefreshServers refresh) {
    if (!refresh) {
      m_state->done = true;
      m_state->read = true;
      return;
    }
    Spawn(context.io, [state = m_state, refresh = std::move(refresh)]() -> asio::awaitable<void> {
      const bool read = co_await refresh();
      state->read = read;
      state->done = true;
      state->changed.NotifyAll();
    });
  }

  // Waits until the list has been read. Returns false if the store does not answer in time.
  asio::awaitable<bool> Wait() {
    const auto state = m_state;
    const std::function<bool()> done = [state] { return state->done; };
    co_await state->changed.WaitUntil(done, m_deadline);
    co_return state->read;
  }

 private:
  struct State {
    bool done = false;
    bool read = false;
    Notifier changed;
  };
  const std::shared_ptr<State> m_state = std::make_shared<State>();
  const TimePoint m_deadline = Clock::now() + kListTimeout;
};

// What the group's servers reported before and when they were stopped.
StoppedGroup DescribeGroup(const GroupClient& group,
                           const ServerStatuses& before,
                           std::vector<StopResult> servers) {
  StoppedGroup described;
  described.servers = std::move(servers);
  described.newest = group.term();
  for (const auto& [id, status] : before) {
    described.newest = std::max(described.newest, status.term);
    if (status.is_primary) {
      described.primaries[id] = status.term;
    }
  }
  for (const auto& server : described.servers) {
    described.newest = std::max(described.newest, server.received.term);
  }
  described.listed = group.SnapshotServerList().servers;
  for (const auto& server : group.Departed()) {
    const auto& entry = server.endpoint->entry;
    described.departed.push_back({entry.id, entry.started_ms});
  }
  return described;
}

std::string DescribeStoppedPrimary(const StoppedPrimary& stopped) {
  return fmt::format("; nothing acknowledged after {}.{}, where {} was stopped",
                     stopped.log_end.term.value(), stopped.log_end.index.value(),
                     stopped.server.endpoint.value());
}

// Whether `servers` names every server that is listed, or was until a moment ago.
bool WereAllAsked(const GroupClient& group, const std::vector<StopResult>& servers) {
  std::set<EndpointId> asked;
  for (const auto& server : servers) {
    asked.insert(server.endpoint);
  }
  const auto& listed = group.endpoints();
  const auto departed = group.Departed();
  return std::all_of(listed.begin(), listed.end(),
                     [&](const auto& item) { return asked.contains(item.first); }) &&
         std::all_of(departed.begin(), departed.end(), [&](const DepartedServer& server) {
           return asked.contains(server.endpoint->entry.id);
         });
}

// End of the log of `endpoint`, which was stopped.
Position LogEndOf(const EndpointId& endpoint, const std::vector<StopResult>& servers) {
  Position log_end;
  for (const auto& server : servers) {
    if (server.endpoint == endpoint && server.stopped) {
      log_end = server.received;
    }
  }
  return log_end;
}

}  // namespace

asio::awaitable<SuccessorChoice> StopAndChooseSuccessor(
    GatewayContext& context,
    std::shared_ptr<GroupClient> group,
    ServerStatuses statuses,
    ControlRequest stop,
    PendingHold hold,
    RefreshServers refresh_servers,
    std::optional<StoppedPrimary> stopped_before,
    bool have_leases_ended) {
  const bool has_store = static_cast<bool>(refresh_servers);
  auto servers = co_await StopServers(context, group, statuses, stop);
  SuccessorChoice choice;
  choice.stopped_at = Clock::now();
  choice.logs = DescribeStopped(servers, choice.stopped_at) + DescribeList(*group, "list");
  const auto described = DescribeGroup(*group, statuses, servers);
  choice.stopped_primary = FindStoppedPrimary(described);
  if (!choice.stopped_primary && stopped_before && IsStillStopped(*stopped_before, described)) {
    choice.stopped_primary = stopped_before;
  }
  if (choice.stopped_primary) {
    servers = CoverByStoppedPrimary(std::move(servers), *choice.stopped_primary);
    choice.logs += DescribeStoppedPrimary(*choice.stopped_primary);
  }
  if (co_await AnyPrimaryWorks(group, servers)) {
    // It keeps acknowledging commits, since it did not obey the stop.
    choice.objection = "the primary works";
    co_return choice;
  }
  if (!ChooseSuccessor(servers)) {
    choice.objection = "no safe successor";
    co_return choice;
  }
  hold.Start();
  const auto held = co_await hold.Wait();
  choice.logs += "; " + DescribeHold(held, choice.stopped_at);
  // A server that is not known may hold the last commits if the list is changing, or cannot be
  // read. A primary that an earlier attempt stopped may have led again unseen.
  const bool may_miss_servers = !refresh_servers || group->SnapshotServerList().changing ||
                                (choice.stopped_primary && described.primaries.empty());
  const auto successor = ChooseSuccessor(servers, may_miss_servers ? held.log_end : held.passed_on);
  if (held.refused) {
    choice.objection = "a proxy has seen a greater token";
    co_return choice;
  }
  if (!successor) {
    choice.objection = "no log is known to hold what was acknowledged";
    co_return choice;
  }
  choice.log_end = LogEndOf(*successor, servers);
  // A primary that does not leave may restart and lead again.
  const auto& stopped = choice.stopped_primary;
  const bool holds_all = stopped && stopped->leaving && choice.log_end >= stopped->log_end;
  if (!held.silent.empty() && !have_leases_ended && !holds_all) {
    choice.objection = "proxies that gave no answer may pass on acknowledgements";
    choice.waits_for_proxies = true;
    co_return choice;
  }
  BackgroundRead list(context, std::move(refresh_servers));
  const auto repeated = co_await AreStillStopped(context, group, servers, stop);
  choice.logs += repeated.description;
  if (!repeated.is_confirmed) {
    choice.objection = "a server did not stay stopped";
    co_return choice;
  }
  if (!co_await list.Wait()) {
    choice.objection = "the list of servers was not read again";
    co_return choice;
  }
  // A process that starts while the order is under way learns of the takeover from the notice only.
  if (has_store && !co_await hold.WaitForNotice()) {
    choice.objection = "the notice was not written";
    co_return choice;
  }
  choice.logs += DescribeList(*group, "list at the choice");
  if (!WereAllAsked(*group, servers)) {
    choice.objection = "a server was listed after the others were stopped";
    co_return choice;
  }
  choice.successor = successor;
  co_return choice;
}

}  // namespace cardamom
