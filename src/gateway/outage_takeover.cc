#include "gateway/outage_takeover.h"

#include <utility>

#include <fmt/format.h>
#include <boost/algorithm/string/join.hpp>

#include "async/spawn.h"
#include "gateway/takeover_trace.h"

namespace cardamom {
namespace {

constexpr Millis kStoreTimeout{800};
constexpr Millis kOrderTimeout{300};
// A server that restarted is in every proxy's list after this time: two heartbeats, the delay of
// the list and the delay through a relay.
constexpr Millis kListPropagationTime{5000};
// A proxy reserves only after it has been the reservation owner for this time, so that the previous
// owner has observed the change too.
constexpr Millis kMinOwnershipTime{5000};
// Time between two attempts to reserve.
constexpr Millis kReservePause{3000};

}  // namespace

OutageTakeover::OutageTakeover(GatewayContext& context,
                               TablePort table,
                               PromotionOrder order,
                               OutageHooks hooks)
    : m_context(context),
      m_fences(std::move(table)),
      m_order(std::move(order)),
      m_hooks(std::move(hooks)) {}

bool OutageTakeover::IsReservationUsable(const HeldReservation& held, GroupClient& group) const {
  // Proxies refuse the hold of a token that is lower than one that they have seen.
  return held.reservation && held.reservation->token >= group.acknowledgements().hold().token() &&
         !held.unusable && !held.ordered_successor &&
         EraOfToken(held.reservation->token) == m_hooks.store_era() &&
         held.reservation->term == group.term() &&
         held.reservation->servers == group.SnapshotServerList().servers;
}

bool OutageTakeover::MayRun(const GroupId& group) const {
  const auto it = m_held.find(group);
  return it != m_held.end() && it->second.reservation && !it->second.unusable &&
         EraOfToken(it->second.reservation->token) == m_hooks.store_era() &&
         m_hooks.store_unavailable_since();
}

bool OutageTakeover::HoldsUnusedReservation(const GroupId& group,
                                            const TokenReservation& reservation) const {
  const auto it = m_held.find(group);
  return it != m_held.end() && it->second.reservation == reservation &&
         !it->second.ordered_successor && !it->second.unusable;
}

void OutageTakeover::MaintainReservation(std::shared_ptr<GroupClient> group) {
  auto& held = m_held[group->id()];
  const auto now = Clock::now();
  if (!m_hooks.is_reservation_owner(group->id())) {
    held.owner_since.reset();
    // The token of the new reservation owner replaces this one.
    held.unusable = true;
    return;
  }
  held.owner_since = held.owner_since.value_or(now);
  const bool due = now - *held.owner_since >= kMinOwnershipTime && now >= held.next_attempt_at;
  const bool possible =
      group->primary() && !group->health().failing_since && !m_hooks.store_unavailable_since();
  if (held.reserving || held.running || !due || !possible || IsReservationUsable(held, *group)) {
    return;
  }
  held.reserving = true;
  Spawn(m_context.io, [this, group]() -> asio::awaitable<void> { co_await Reserve(group); });
}

asio::awaitable<void> OutageTakeover::Reserve(std::shared_ptr<GroupClient> group) {
  auto reservation = co_await WriteReservation(group);
  auto& held = m_held[group->id()];
  held.reserving = false;
  held.next_attempt_at = Clock::now() + kReservePause;
  if (!reservation) {
    co_return;
  }
  m_context.events.Emit(EventCode::kTermReserved,
                        {.group = group->id(),
                         .term = reservation->term,
                         .detail = fmt::format("token {} with {} servers", reservation->token,
                                               reservation->servers.size())});
  held.reservation = std::move(reservation);
  held.ordered_successor.reset();
  held.unanswered = false;
  held.unusable = false;
}

asio::awaitable<std::optional<TokenReservation>> OutageTakeover::WriteReservation(
    std::shared_ptr<GroupClient> group) {
  const auto primary = group->primary();
  if (!primary || group->SnapshotServerList().changing) {
    co_return std::nullopt;
  }
  // The primary is asked for its term, since that of its last log entry may be older.
  std::vector<GroupClient::EndpointPtr> asked;
  for (const auto& [id, endpoint] : group->endpoints()) {
    asked.push_back(endpoint);
  }
  const auto loaded = co_await m_fences.Load(group->id(), Clock::now() + kStoreTimeout);
  if (!loaded) {
    co_return std::nullopt;
  }
  if (loaded->roster) {
    group->ExpectServers(*loaded->roster);
  }
  const auto snapshot = group->SnapshotServerList();
  if (!loaded->IsHistoryLost()) {
    asked = {primary};
  } else if (DecideFirstFenceClaim(m_hooks.era_age(loaded->era)) == FenceClaim::kWait) {
    co_return std::nullopt;
  }
  const ControlRequest question;
  const auto answers = co_await SendToServers(m_context, group, asked, question);
  const auto status = answers.statuses.find(primary->entry.id);
  if (status == answers.statuses.end() || !status->second.is_primary) {
    co_return std::nullopt;
  }
  auto row = loaded->row;
  if (loaded->IsHistoryLost()) {
    row.open = !ShowNoTakeover(*group, answers.statuses);
  }
  if (!MayReserve(snapshot, row, loaded->now_ms)) {
    co_return std::nullopt;
  }
  TokenReservation wanted;
  wanted.holder = m_context.settings.vm_id;
  wanted.term = status->second.term;
  wanted.servers = snapshot.servers;
  const bool own = row.reserved && HoldsUnusedReservation(group->id(), *row.reserved);
  const auto own_unused = own ? row.reserved : std::nullopt;
  row.stopped_primary.reset();
  row.leases_end_at_ms = 0;
  row = AddReservation(std::move(row), std::move(wanted), own_unused);
  const auto written =
      co_await m_fences.Replace(group->id(), *loaded, row, Clock::now() + kStoreTimeout);
  if (!written || !*written) {
    co_return std::nullopt;
  }
  co_return row.reserved;
}

TakeoverResult OutageTakeover::BackOff(const GroupClient& group, const std::string& reason) {
  m_context.events.Emit(
      EventCode::kPromotionFailed,
      {.group = group.id(), .term = group.term(), .detail = "reserved token: " + reason});
  return TakeoverResult::kBackedOff;
}

asio::awaitable<std::vector<SurveyedServer>> OutageTakeover::Survey(
    std::shared_ptr<GroupClient> group,
    TimePoint opened_before) {
  std::vector<GroupClient::EndpointPtr> targets;
  for (const auto& [id, endpoint] : group->endpoints()) {
    if (group->primary_id() != id) {
      targets.push_back(endpoint);
    }
  }
  const ControlRequest status_request{.opened_before = opened_before};
  const auto answers = co_await SendToServers(m_context, group, targets, status_request);
  co_return ToSurveyedServers(answers.statuses);
}

void OutageTakeover::ReleaseUnchanged(const GroupId& group, const TokenReservation& reservation) {
  m_hooks.hold.release(group, {reservation.token, reservation.term, std::nullopt});
}

asio::awaitable<SuccessorChoice> OutageTakeover::StopAndChoose(std::shared_ptr<GroupClient> group,
                                                               TokenReservation reservation,
                                                               TimePoint opened_before,
                                                               PendingHold hold) {
  const Term stop_at(reservation.term.value() + 1);
  const ControlRequest stop{.term = stop_at, .opened_before = opened_before};
  const ServerStatuses none;
  // The store, which could tell of further servers, does not answer.
  const RefreshServers no_refresh;
  auto choice = co_await StopAndChooseSuccessor(m_context, group, none, stop, hold, no_refresh,
                                                std::nullopt, false);
  if (!choice.successor) {
    BackOff(*group, choice.objection + ":" + choice.logs);
    co_return choice;
  }
  if (group->SnapshotServerList().servers != reservation.servers) {
    BackOff(*group, "the servers changed after they were stopped");
    choice.successor.reset();
    co_return choice;
  }
  m_context.events.Emit(EventCode::kReservedTermUsed,
                        {.group = group->id(),
                         .term = stop_at,
                         .detail = fmt::format("token {} for {}; logs:{}", reservation.token,
                                               choice.successor->value(), choice.logs)});
  co_return choice;
}

asio::awaitable<TakeoverResult> OutageTakeover::Order(std::shared_ptr<GroupClient> group,
                                                      EndpointId successor) {
  auto& held = m_held[group->id()];
  held.ordered_successor = successor;
  const auto reservation = *held.reservation;
  const auto token = reservation.token;
  const auto ordered_at = Clock::now();
  const auto ordered =
      co_await m_order(group->id().value(), successor.value(), held.reservation->holder, token,
                       Clock::now() + kOrderTimeout);
  m_context.metrics.CountOrder(NameOf(ordered));
  m_context.events.Emit(
      EventCode::kPromotionOrdered,
      {.group = group->id(),
       .detail =
           fmt::format("{} for failed, reserved token {}, {}; sent {} ms after the logs:{}",
                       successor.value(), token, DescribeOrder(ordered, Clock::now() - ordered_at),
                       ToMillis(ordered_at - held.stopped_at).count(), held.logs)});
  if (!ordered) {
    held.unanswered = true;
    co_return TakeoverResult::kUnfinished;
  }
  if (*ordered == OrderResult::kRejected) {
    // The platform has seen a greater token, or the successor does not run. The takeover has to
    // wait for the store.
    held.unusable = true;
    if (!held.unanswered) {
      ReleaseUnchanged(group->id(), reservation);
    }
    co_return TakeoverResult::kBackedOff;
  }
  const auto promoted_at = co_await WaitUntilPrimary(group, successor);
  if (promoted_at) {
    m_hooks.hold.release(group->id(), {token, Term(reservation.term.value() + 1), held.log_end});
    m_context.events.Emit(EventCode::kPrimaryPromoted,
                          {.group = group->id(),
                           .term = group->term(),
                           .detail = DescribePromoted(*group, successor, *promoted_at, token)});
    m_context.metrics.CountPromotion("done");
  }
  co_return promoted_at ? TakeoverResult::kHasPrimary : TakeoverResult::kUnfinished;
}

asio::awaitable<TakeoverResult> OutageTakeover::Run(std::shared_ptr<GroupClient> group) {
  auto& held = m_held[group->id()];
  if (!MayRun(group->id()) || held.reserving) {
    co_return TakeoverResult::kBackedOff;
  }
  held.running = true;
  const auto result = co_await RunWithReservation(group);
  held.running = false;
  co_return result;
}

asio::awaitable<TakeoverResult> OutageTakeover::RunWithReservation(
    std::shared_ptr<GroupClient> group) {
  const auto& held = m_held[group->id()];
  const auto store_unavailable_since = m_hooks.store_unavailable_since();
  if (held.ordered_successor && BootClock::now() > held.valid_until) {
    co_return BackOff(*group, "its validity has ended");
  }
  if (held.ordered_successor) {
    // Repeats the same order, which has no further effect if it is carried out twice.
    co_return co_await Order(group, *held.ordered_successor);
  }
  const auto reservation = *held.reservation;
  const auto others = co_await m_hooks.ask_other_homes(group->id());
  if (!IsStoreUnavailableForAll(others)) {
    co_return BackOff(*group,
                      "the store answers other homes, or too few homes report it unavailable");
  }
  const auto opened_before = *store_unavailable_since - kListPropagationTime;
  const auto surveyed = co_await Survey(group, opened_before);
  const auto objection = FindReservationConflict(reservation, group->SnapshotServerList(),
                                                 group->primary_id(), surveyed);
  if (objection) {
    co_return BackOff(*group, *objection);
  }
  // The store can't tell a proxy that is not reached of this takeover, also once it is available
  // again.
  const auto unreached = co_await m_hooks.find_unreached();
  if (!unreached.empty()) {
    co_return BackOff(*group, "proxies that gave no answer may pass on acknowledgements: " +
                                  boost::algorithm::join(unreached, " "));
  }
  // Asked before the servers are stopped, since a stopped server prevents a second attempt.
  PendingHold hold(m_context, m_hooks.hold, group->id(), reservation.token);
  hold.Start();
  const auto held_by = co_await hold.Wait();
  if (held_by.refused || !held_by.silent.empty()) {
    m_held[group->id()].unusable = true;
    ReleaseUnchanged(group->id(), reservation);
    co_return BackOff(*group, "not every proxy holds; " + DescribeHold(held_by, Clock::now()));
  }
  const auto valid_until = BootClock::now() + kTokenValidity;
  m_held[group->id()].valid_until = valid_until;
  const auto choice = co_await StopAndChoose(group, reservation, opened_before, hold);
  if (!choice.successor || BootClock::now() > valid_until) {
    // The servers stay stopped. A proxy that finds them so finishes the takeover once the store is
    // available again.
    m_held[group->id()].unusable = true;
    ReleaseUnchanged(group->id(), reservation);
    co_return TakeoverResult::kBackedOff;
  }
  m_held[group->id()].log_end = choice.log_end;
  m_held[group->id()].logs = choice.logs;
  m_held[group->id()].stopped_at = choice.stopped_at;
  co_return co_await Order(group, *choice.successor);
}

}  // namespace cardamom
