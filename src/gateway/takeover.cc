#include "gateway/takeover.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"
#include "gateway/group_roster.h"
#include "gateway/takeover_trace.h"

namespace cardamom {
namespace {

constexpr Millis kStoreTimeout{800};
constexpr Millis kStoreTimeoutInOutage{200};
constexpr Millis kOrderTimeout{300};
constexpr Millis kAnnouncementPause{50};

std::string_view NameOf(TakeoverReason reason) {
  switch (reason) {
    case TakeoverReason::kFailed:
      return "failed";
    case TakeoverReason::kLeaving:
      return "leaving";
    case TakeoverReason::kStalled:
      return "stalled";
  }
  return "";
}

// What the row told before a token was claimed, for a log line.
std::string DescribeRow(const LoadedFenceRow& loaded) {
  if (loaded.row.holder.empty()) {
    return "no holder before";
  }
  return fmt::format(
      "{} held {}, {} ms ago{}", loaded.row.holder,
      loaded.row.open ? "an open row" : "a closed row", loaded.now_ms - loaded.row.at_ms,
      loaded.row.reserved ? fmt::format(", reserved token {}", loaded.row.reserved->token) : "");
}

std::vector<EndpointId> PrimariesIn(const ServerStatuses& statuses) {
  std::vector<EndpointId> primaries;
  for (const auto& [id, status] : statuses) {
    if (status.is_primary) {
      primaries.push_back(id);
    }
  }
  return primaries;
}

// Whether all replicas, as far as the list shows them, have answered: otherwise an attempt is
// likely to end without an order.
bool AreReplicasReached(const GroupClient& group, const ServerStatuses& statuses) {
  const auto& listed = group.endpoints();
  return std::all_of(listed.begin(), listed.end(), [&](const auto& item) {
    return statuses.contains(item.first) || group.primary_id() == item.first;
  });
}

// Whether the order will certainly not be carried out.
bool IsRefused(const Outcome<OrderResult>& ordered) {
  return ordered ? *ordered == OrderResult::kRejected : ordered.error().ran == Ran::kNo;
}

}  // namespace

Takeover::Takeover(GatewayContext& context,
                   TablePort table,
                   PromotionOrder order,
                   RefreshServers refresh_servers,
                   EraAge era_age,
                   OnStoreFailure on_store_failure,
                   HoldHooks hold_hooks,
                   OutageTakeover& outage)
    : m_context(context),
      m_fences(std::move(table)),
      m_order(std::move(order)),
      m_refresh_servers(std::move(refresh_servers)),
      m_era_age(std::move(era_age)),
      m_on_store_failure(std::move(on_store_failure)),
      m_hold_hooks(std::move(hold_hooks)),
      m_outage(outage) {}

void Takeover::Log(EventCode code, const GroupClient& group, const std::string& detail, Term term) {
  m_context.events.Emit(code, {.group = group.id(), .term = term, .detail = detail});
}

asio::awaitable<Takeover::ClaimResult> Takeover::ClaimToken(const GroupClient& group) {
  // A proxy that may proceed without the store does not wait long for it again.
  const auto timeout = m_outage.MayRun(group.id()) ? kStoreTimeoutInOutage : kStoreTimeout;
  const auto valid_until = BootClock::now() + kTokenValidity;
  const auto loaded = co_await m_fences.Load(group.id(), Clock::now() + timeout);
  if (!loaded) {
    m_on_store_failure();
    Log(EventCode::kPromotionFailed, group, "fence row: " + loaded.error().detail);
    co_return ClaimResult{std::nullopt, true};
  }
  const auto& self = m_context.settings.vm_id;
  const auto decision = loaded->IsHistoryLost()
                            ? DecideFirstFenceClaim(m_era_age(loaded->era))
                            : DecideFenceClaim(loaded->row, self, loaded->now_ms);
  if (decision == FenceClaim::kWait) {
    co_return ClaimResult();
  }
  Claim claim;
  claim.row = loaded->row;
  claim.roster = loaded->roster;
  claim.outstanding = FindOutstandingOrder(claim.row, loaded->IsHistoryLost(),
                                           OwnUnusedReservation(group, claim.row));
  claim.reserved_servers = FindReservedServers(claim.row, OwnUnusedReservation(group, claim.row));
  if (claim.outstanding == OutstandingOrder::kNone) {
    claim.stopped_primary = claim.row.stopped_primary;
  }
  claim.row.stopped_primary = claim.stopped_primary;
  claim.have_leases_ended = HaveLeasesEnded(claim.row, loaded->now_ms) &&
                            group.acknowledgements().hold().IsHeld(BootClock::now());
  ++claim.row.token;
  claim.row.holder = self;
  claim.row.at_ms = loaded->now_ms;
  claim.valid_until = valid_until;
  const auto written =
      co_await m_fences.Replace(group.id(), *loaded, claim.row, Clock::now() + kStoreTimeout);
  if (!written || !*written) {
    Log(EventCode::kPromotionFailed, group,
        written ? "another proxy took the token" : "token: " + written.error().detail);
    co_return ClaimResult{std::nullopt, !written};
  }
  Log(EventCode::kTermAllocated, group,
      fmt::format("token {}{}; {}", claim.row.token,
                  loaded->IsHistoryLost() ? ", the first one in this era of the store" : "",
                  DescribeRow(*loaded)));
  co_return ClaimResult{claim, false};
}

std::optional<TokenReservation> Takeover::OwnUnusedReservation(const GroupClient& group,
                                                               const FenceRow& row) const {
  const bool own = row.reserved && m_outage.HoldsUnusedReservation(group.id(), *row.reserved);
  return own ? row.reserved : std::nullopt;
}

asio::awaitable<bool> Takeover::AnnounceToken(const GroupClient& group, Claim& claim) {
  while (!claim.announced && BootClock::now() < claim.valid_until) {
    const auto answer =
        co_await m_order(group.id().value(), std::string(kNoEndpoint), claim.row.holder,
                         claim.row.token, Clock::now() + kOrderTimeout);
    claim.announced = answer.has_value();
    Log(EventCode::kTokenAnnounced, group,
        fmt::format("token {}, {}", claim.row.token,
                    claim.announced ? "earlier orders are void" : answer.error().detail));
    if (!claim.announced) {
      co_await Sleep(kAnnouncementPause);
    }
  }
  co_return claim.announced;
}

asio::awaitable<bool> Takeover::UpdateRow(const GroupClient& group,
                                          Claim& claim,
                                          std::function<FenceRow(FenceRow, std::int64_t)> change) {
  const auto loaded = co_await m_fences.Load(group.id(), Clock::now() + kStoreTimeout);
  if (!loaded || loaded->row.token != claim.row.token) {
    co_return false;
  }
  claim.row = change(claim.row, loaded->now_ms);
  claim.row.at_ms = loaded->now_ms;
  // A later process may know the servers of this attempt from the row only.
  const auto recorded = loaded->row.roster ? loaded->row.roster : claim.roster;
  claim.row.roster = AddKnownServers(recorded.value_or(GroupRoster()), group);
  const auto written =
      co_await m_fences.Replace(group.id(), *loaded, claim.row, Clock::now() + kStoreTimeout);
  co_return written.has_value() && *written;
}

asio::awaitable<bool> Takeover::SetOrderOutstanding(const GroupClient& group,
                                                    Claim& claim,
                                                    bool outstanding) {
  const bool announced = claim.announced;
  const auto stopped = outstanding ? std::nullopt : claim.stopped_primary;
  const auto change = [outstanding, announced, stopped](FenceRow row, std::int64_t /*now_ms*/) {
    row.open = outstanding;
    row.void_below = announced ? row.token : row.void_below;
    row.stopped_primary = stopped;
    // The attempt may end with a release.
    row.leases_end_at_ms = 0;
    return row;
  };
  co_return co_await UpdateRow(group, claim, change);
}

asio::awaitable<TakeoverResult> Takeover::Run(std::shared_ptr<GroupClient> group,
                                              TakeoverReason reason) {
  Log(EventCode::kPrimarySuspected, *group,
      fmt::format("{}; primary {}; {} failures", NameOf(reason),
                  group->primary_id() ? group->primary_id()->value() : "unknown",
                  group->health().failures),
      group->term());
  if (reason == TakeoverReason::kFailed && co_await IsPrimaryAlive(*group)) {
    co_return TakeoverResult::kHasPrimary;
  }
  auto taken = co_await ClaimToken(*group);
  if (!taken.claim && taken.store_unavailable && reason == TakeoverReason::kFailed) {
    co_return co_await m_outage.Run(group);
  }
  if (!taken.claim) {
    co_return TakeoverResult::kBackedOff;
  }
  auto claim = std::move(taken.claim);
  // A server that started since the list was last read may already have received commits that no
  // other replica has, so it must be asked too.
  const bool refreshed = co_await m_refresh_servers();
  if (!refreshed || group->IsListReturning()) {
    co_return TakeoverResult::kBackedOff;
  }
  if (claim->roster) {
    group->ExpectServers(*claim->roster);
  }
  co_return co_await Replace(group, reason, *claim);
}

asio::awaitable<TakeoverResult> Takeover::Replace(std::shared_ptr<GroupClient> group,
                                                  TakeoverReason reason,
                                                  Claim claim) {
  // A primary that only seems to be cut off is kept without an announcement, which would make the
  // reserved token void. A hold shows that an order may have been sent.
  const bool is_held = group->acknowledgements().hold().IsHeld(BootClock::now());
  const bool may_keep = claim.outstanding == OutstandingOrder::kNone ||
                        (claim.outstanding == OutstandingOrder::kReservation &&
                         reason == TakeoverReason::kStalled && !is_held);
  ServerStatuses statuses;
  if (may_keep) {
    const auto answers = co_await Survey(group);
    statuses = answers.statuses;
    const auto healthy = co_await FindHealthyPrimary(group, reason, statuses);
    if (healthy && (claim.outstanding == OutstandingOrder::kNone || !IsAnyPaused(statuses))) {
      co_return co_await KeepPrimary(group, claim, *healthy, statuses);
    }
  }
  if (claim.outstanding != OutstandingOrder::kNone) {
    const bool announced = co_await AnnounceToken(*group, claim);
    if (!announced) {
      co_return TakeoverResult::kUnfinished;
    }
    // The logs that are compared must be read after the last moment at which an earlier order could
    // be accepted, and after those accepted until then were carried out.
    const auto surveyed_again = co_await Survey(group);
    const auto before = std::exchange(statuses, surveyed_again.statuses);
    if (MustWaitUntilSettled(claim.outstanding, ShowNoTakeover(*group, statuses),
                             ToSurveyedServers(*group, surveyed_again), claim.reserved_servers)) {
      co_return co_await WaitUntilSettled(group, claim);
    }
    const bool checked =
        may_keep && !IsAnyPaused(before) && PrimariesIn(before) == PrimariesIn(statuses);
    std::optional<EndpointId> healthy;
    if (!checked) {
      healthy = co_await FindHealthyPrimary(group, reason, statuses);
    }
    if (healthy) {
      co_return co_await KeepPrimary(group, claim, *healthy, statuses);
    }
  }
  const auto result = co_await Promote(group, reason, statuses, claim);
  m_context.metrics.CountPromotion(result == TakeoverResult::kHasPrimary ? "done" : "failed");
  co_return result;
}

asio::awaitable<TakeoverResult> Takeover::Promote(std::shared_ptr<GroupClient> group,
                                                  TakeoverReason reason,
                                                  ServerStatuses statuses,
                                                  Claim claim) {
  // The terms at which replicas were paused may be greater than any that a server has led.
  auto leading = group->term();
  auto newest = leading;
  for (const auto& [id, status] : statuses) {
    leading = std::max(leading, status.term);
    newest = std::max({newest, status.term, status.paused_at});
  }
  const Term stop_at(newest.value() + 1);
  PendingHold hold(m_context, m_hold_hooks, group->id(), claim.row.token);
  // The row is marked before the logs are read, so that the order follows them at once.
  const bool marked = co_await SetOrderOutstanding(*group, claim, true);
  if (!marked) {
    Log(EventCode::kPromotionFailed, *group, "the row was not marked", stop_at);
    co_return TakeoverResult::kBackedOff;
  }
  // Not before the row is marked: proxies that have seen the token refuse a lower, reserved one,
  // which is needed if the store stops answering.
  if (AreReplicasReached(*group, statuses)) {
    hold.Start();
  }
  const ControlRequest stop{.term = stop_at, .valid_until = claim.valid_until};
  const auto choice =
      co_await StopAndChooseSuccessor(m_context, group, statuses, stop, hold, m_refresh_servers,
                                      claim.stopped_primary, claim.have_leases_ended);
  claim.stopped_primary = choice.stopped_primary;
  if (choice.waits_for_proxies) {
    Log(EventCode::kPromotionFailed, *group, choice.objection + ":" + choice.logs);
    co_return co_await WaitUntilLeasesEnd(group, claim, hold);
  }
  if (!choice.successor) {
    const auto result = co_await GiveUp(group, claim, choice.objection + ":" + choice.logs);
    if (hold.IsStarted() && result == TakeoverResult::kBackedOff) {
      ReleaseUnchanged(*group, claim, leading);
    }
    co_return result;
  }
  if (BootClock::now() > claim.valid_until) {
    Log(EventCode::kPromotionFailed, *group, "the token's validity has ended:" + choice.logs,
        stop_at);
    co_await ConfirmStoppedPrimary(*group, claim);
    co_await SetOrderOutstanding(*group, claim, false);
    co_return TakeoverResult::kUnfinished;
  }
  claim.stopped_primary.reset();
  const auto ordered_at = Clock::now();
  const auto ordered =
      co_await m_order(group->id().value(), choice.successor->value(), claim.row.holder,
                       claim.row.token, Clock::now() + kOrderTimeout);
  m_context.metrics.CountOrder(NameOf(ordered));
  claim.announced = claim.announced || ordered.has_value();
  Log(EventCode::kPromotionOrdered, *group,
      fmt::format("{} for {}, token {}, {}; sent {} ms after the logs:{}",
                  choice.successor->value(), NameOf(reason), claim.row.token,
                  DescribeOrder(ordered, Clock::now() - ordered_at),
                  ToMillis(ordered_at - choice.stopped_at).count(), choice.logs),
      stop_at);
  if (IsRefused(ordered)) {
    claim.stopped_primary = choice.stopped_primary;
    co_await ConfirmStoppedPrimary(*group, claim);
    co_await SetOrderOutstanding(*group, claim, false);
    ReleaseUnchanged(*group, claim, leading);
  }
  if (!ordered || *ordered != OrderResult::kAccepted) {
    co_return TakeoverResult::kUnfinished;
  }
  // The promotion itself resumes the other replicas.
  const auto promoted_at = co_await WaitUntilPrimary(group, *choice.successor);
  if (promoted_at) {
    m_hold_hooks.release(group->id(), {claim.row.token, Term(leading.value() + 1), choice.log_end});
    Log(EventCode::kPrimaryPromoted, *group,
        DescribePromoted(*group, *choice.successor, *promoted_at, claim.row.token), group->term());
    co_await SetOrderOutstanding(*group, claim, false);
    group->ClearStallEvidence();
  }
  co_return promoted_at ? TakeoverResult::kHasPrimary : TakeoverResult::kUnfinished;
}

}  // namespace cardamom
