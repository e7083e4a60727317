#include "gateway/roster_keeper.h"

#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"
#include "gateway/group_roster.h"

namespace cardamom {
namespace {

constexpr Millis kStoreTimeout{800};
constexpr Millis kAttemptInterval{1000};

}  // namespace

RosterKeeper::RosterKeeper(GatewayContext& context, TablePort table, RosterHooks hooks)
    : m_context(context), m_fences(std::move(table)), m_hooks(std::move(hooks)) {}

bool RosterKeeper::IsRowUnchanged(const State& state, const GroupClient& group) const {
  return state.recorded && state.era == m_hooks.store_era() &&
         state.token >= group.acknowledgements().hold().token();
}

bool RosterKeeper::IsDue(const State& state, const GroupClient& group) const {
  // A server whose process has ended is covered sooner than one that only gives no answer, but that
  // it has ended may show only when it is asked.
  return !IsRowUnchanged(state, group) || LeastRosterServers(group) != state.recorded->servers;
}

bool RosterKeeper::Maintain(const std::shared_ptr<GroupClient>& group) {
  auto& state = m_states[group->id()];
  if (!m_hooks.is_owner(group->id())) {
    // The next owner may record another one.
    state.recorded.reset();
    return state.running;
  }
  if (state.running || Clock::now() < state.next_attempt_at || !m_hooks.is_store_available() ||
      !group->IsListSettled() || !group->primary() || group->health().failing_since ||
      !IsDue(state, *group)) {
    return state.running;
  }
  state.running = true;
  Spawn(m_context.io, [this, group]() -> asio::awaitable<void> {
    co_await Record(group);
    auto& state = m_states[group->id()];
    state.running = false;
    state.next_attempt_at = Clock::now() + kAttemptInterval;
  });
  return true;
}

asio::awaitable<void> RosterKeeper::Record(std::shared_ptr<GroupClient> group) {
  auto& state = m_states[group->id()];
  const auto primary = group->primary();
  std::vector<GroupClient::EndpointPtr> targets;
  for (const auto& [id, endpoint] : group->endpoints()) {
    targets.push_back(endpoint);
  }
  for (const auto& server : group->Departed()) {
    if (!server.restarted && !server.never_listed) {
      targets.push_back(server.endpoint);
    }
  }
  const ControlRequest question;
  const auto answers = co_await SendToServers(m_context, group, targets, question);
  const auto known = MakeRoster(*group, answers);
  const bool is_recorded =
      IsRowUnchanged(state, *group) && known.servers == state.recorded->servers;
  if (is_recorded || !IsSupported(known, primary->entry.id, answers.statuses)) {
    co_return;
  }
  auto loaded = co_await m_fences.Load(group->id(), Clock::now() + kStoreTimeout);
  if (!loaded) {
    co_return;
  }
  if (loaded->roster) {
    group->ExpectServers(*loaded->roster);
  }
  auto roster = MakeRoster(*group, answers);
  if (loaded->row.roster == roster) {
    SetRecorded(group->id(), *loaded);
    co_return;
  }
  if (!IsSupported(roster, primary->entry.id, answers.statuses)) {
    co_return;
  }
  co_await Write(group, std::move(*loaded), std::move(roster));
}

asio::awaitable<bool> RosterKeeper::Write(std::shared_ptr<GroupClient> group,
                                          LoadedFenceRow loaded,
                                          GroupRoster roster) {
  // The row of a new era is first written by a claim or a reservation, which find out whether an
  // order of an earlier era may be outstanding.
  if (loaded.IsHistoryLost() || loaded.row.open ||
      DecideFenceClaim(loaded.row, "", loaded.now_ms) == FenceClaim::kWait) {
    co_return false;
  }
  auto row = loaded.row;
  row.roster = roster;
  // A primary leads.
  row.stopped_primary.reset();
  const auto written =
      co_await m_fences.Replace(group->id(), loaded, row, Clock::now() + kStoreTimeout);
  if (!written || !*written) {
    co_return false;
  }
  const auto covered_by = roster.covered_by.value_or(Position());
  m_context.events.Emit(
      EventCode::kRosterRecorded,
      {.group = group->id(),
       .term = group->term(),
       .detail = fmt::format("{} servers, others covered by {}.{}", roster.servers.size(),
                             covered_by.term.value(), covered_by.index.value())});
  loaded.row = std::move(row);
  SetRecorded(group->id(), loaded);
  co_return true;
}

void RosterKeeper::SetRecorded(const GroupId& group, const LoadedFenceRow& loaded) {
  auto& state = m_states[group];
  state.recorded = loaded.row.roster;
  state.era = loaded.era;
  state.token = loaded.row.token;
}

}  // namespace cardamom
