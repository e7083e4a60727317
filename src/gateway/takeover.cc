#include "gateway/takeover.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kStoreTimeout{800};
constexpr Millis kStoreTimeoutInOutage{200};
constexpr Millis kControlTimeout{400};
// Last probe of a primary that seems to have failed.
constexpr Millis kLastProbeTimeout{120};
constexpr Millis kOrderTimeout{300};
// A replica that still lacks an earlier position of the primary after this time is cut off from it.
constexpr Millis kStallCheck{300};

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

}  // namespace

Takeover::Takeover(GatewayContext& context,
                   TablePort table,
                   PromotionOrder order,
                   RefreshServers refresh_servers,
                   StoreWasUnavailable store_was_unavailable,
                   EraAge era_age,
                   OnStoreFailure on_store_failure,
                   OutageTakeover& outage)
    : m_context(context),
      m_fences(std::move(table)),
      m_order(std::move(order)),
      m_refresh_servers(std::move(refresh_servers)),
      m_store_was_unavailable(std::move(store_was_unavailable)),
      m_era_age(std::move(era_age)),
      m_on_store_failure(std::move(on_store_failure)),
      m_outage(outage) {}

void Takeover::Log(EventCode code, const GroupClient& group, const std::string& detail, Term term) {
  m_context.events.Emit(code, {.group = group.id(), .term = term, .detail = detail});
}

asio::awaitable<Takeover::ClaimResult> Takeover::ClaimToken(const GroupClient& group) {
  // A proxy that may proceed without the store does not wait long for it again.
  const auto timeout = m_outage.MayRun(group.id()) ? kStoreTimeoutInOutage : kStoreTimeout;
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
  claim.order_may_be_pending = claim.row.open;
  claim.history_lost = loaded->IsHistoryLost();
  ++claim.row.token;
  claim.row.holder = self;
  claim.row.at_ms = loaded->now_ms;
  claim.valid_until = BootClock::now() + kTokenValidity;
  const auto written =
      co_await m_fences.Replace(group.id(), *loaded, claim.row, Clock::now() + kStoreTimeout);
  if (!written || !*written) {
    Log(EventCode::kPromotionFailed, group,
        written ? "another proxy took the token" : "token: " + written.error().detail);
    co_return ClaimResult{std::nullopt, !written};
  }
  Log(EventCode::kTermAllocated, group,
      fmt::format("token {}{}", claim.row.token,
                  claim.history_lost ? ", the first one in this era of the store" : ""));
  co_return ClaimResult{claim, false};
}

asio::awaitable<bool> Takeover::HoldOffForEarlierEra(std::shared_ptr<GroupClient> group,
                                                     Claim& claim,
                                                     const ServerStatuses& statuses) {
  if (!claim.history_lost) {
    co_return false;
  }
  if (ShowNoTakeover(*group, statuses)) {
    claim.order_may_be_pending = false;
    const bool marked = co_await SetOrderPending(*group, claim, false);
    co_return !marked;
  }
  Log(EventCode::kPromotionFailed, *group,
      "waits for what was ordered in an earlier era of the store");
  co_await Sleep(kHoldOffAfterOrder);
  co_return true;
}

bool Takeover::MayBeStoppedByReservation(const GroupClient& group,
                                         const Claim& claim,
                                         const ServerStatuses& statuses) const {
  const bool stopped = std::any_of(statuses.begin(), statuses.end(), [](const auto& entry) {
    return entry.second.paused_at > entry.second.term;
  });
  return stopped && claim.row.reserved && m_store_was_unavailable() &&
         !m_outage.HoldsUnusedReservation(group.id(), *claim.row.reserved);
}

asio::awaitable<bool> Takeover::SetOrderPending(const GroupClient& group,
                                                Claim& claim,
                                                bool pending) {
  const auto loaded = co_await m_fences.Load(group.id(), Clock::now() + kStoreTimeout);
  if (!loaded || loaded->row.token != claim.row.token) {
    co_return false;
  }
  claim.row.open = pending;
  claim.row.at_ms = loaded->now_ms;
  const auto written =
      co_await m_fences.Replace(group.id(), *loaded, claim.row, Clock::now() + kStoreTimeout);
  co_return written.has_value() && *written;
}

asio::awaitable<void> Takeover::Resume(std::shared_ptr<GroupClient> group,
                                       Claim claim,
                                       std::optional<EndpointId> primary) {
  if (claim.order_may_be_pending) {
    // An order of an earlier holder may be pending. The logs that the holder compared must not
    // change before the order is carried out.
    co_return;
  }
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, endpoint] : group->endpoints()) {
    if (primary != id) {
      replicas.push_back(endpoint);
    }
  }
  const ControlRequest resume{.operation = EndpointOperation::kResume,
                              .valid_until = claim.valid_until};
  co_await SendToServers(m_context, group, replicas, resume);
}

asio::awaitable<bool> Takeover::ConfirmStall(std::shared_ptr<GroupClient> group,
                                             const ServerStatuses& before) {
  Position primary_at;
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, status] : before) {
    if (status.is_primary) {
      primary_at = std::max(primary_at, status.received);
    } else if (const auto endpoint = group->Find(id)) {
      replicas.push_back(endpoint);
    }
  }
  co_await Sleep(kStallCheck);
  const ControlRequest question;
  const auto after = co_await SendToServers(m_context, group, replicas, question);
  const auto& statuses = after.statuses;
  co_return !statuses.empty() &&
      std::all_of(statuses.begin(), statuses.end(),
                  [&](const auto& entry) { return entry.second.received < primary_at; });
}

asio::awaitable<bool> Takeover::IsPrimaryAlive(GroupClient& group) {
  const auto primary = group.primary();
  if (!primary) {
    co_return false;
  }
  const auto position = co_await group.ProbeIfPrimary(primary, Clock::now() + kLastProbeTimeout);
  // A server that is too busy to complete the handshake is alive.
  co_return position.has_value() || group.IsAtConnectionLimit();
}

asio::awaitable<std::optional<EndpointId>> Takeover::FindHealthyPrimary(
    std::shared_ptr<GroupClient> group,
    TakeoverReason reason,
    const ServerStatuses& statuses) {
  for (const auto& [id, status] : statuses) {
    const auto endpoint = group->Find(id);
    if (!status.is_primary || !endpoint || endpoint->entry.leaving) {
      continue;
    }
    if (reason == TakeoverReason::kStalled) {
      const bool stalled = co_await ConfirmStall(group, statuses);
      if (stalled) {
        continue;
      }
    }
    const auto position = co_await group->ProbeIfPrimary(endpoint, Clock::now() + kControlTimeout);
    if (position) {
      co_return id;
    }
  }
  co_return std::nullopt;
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
  if (!refreshed) {
    co_return TakeoverResult::kBackedOff;
  }
  if (claim->row.reserved) {
    group->ExpectServers(claim->row.reserved->servers);
  }
  std::vector<GroupClient::EndpointPtr> all;
  for (const auto& [id, endpoint] : group->endpoints()) {
    all.push_back(endpoint);
  }
  const ControlRequest question;
  const auto answers = co_await SendToServers(m_context, group, all, question);
  const auto& statuses = answers.statuses;
  if (co_await HoldOffForEarlierEra(group, *claim, statuses)) {
    co_return TakeoverResult::kUnfinished;
  }
  if (!claim->order_may_be_pending && MayBeStoppedByReservation(*group, *claim, statuses)) {
    Log(EventCode::kPromotionFailed, *group,
        fmt::format("waits for what was ordered with the reserved token {}",
                    claim->row.reserved->token));
    // The next holder sees in the row that an order may be pending, and finishes it.
    co_await SetOrderPending(*group, *claim, true);
    co_await Sleep(kHoldOffAfterOrder);
    co_return TakeoverResult::kUnfinished;
  }
  // A takeover that another holder has begun is finished, whatever the primary answers now: the
  // pending order may be carried out at any moment, and a primary that kept working would
  // acknowledge commits that the next one lacks.
  if (!claim->order_may_be_pending) {
    const auto healthy_primary = co_await FindHealthyPrimary(group, reason, statuses);
    if (healthy_primary) {
      Log(EventCode::kPromotionFailed, *group, healthy_primary->value() + " is the primary");
      const bool paused = std::any_of(statuses.begin(), statuses.end(), [](const auto& entry) {
        return entry.second.paused_at > entry.second.term;
      });
      if (paused) {
        co_await Resume(group, *claim, healthy_primary);
      }
      group->ClearStallEvidence();
      co_return TakeoverResult::kHasPrimary;
    }
  }
  const auto result = co_await Promote(group, reason, statuses, *claim);
  m_context.metrics.CountPromotion(result == TakeoverResult::kHasPrimary ? "done" : "failed");
  co_return result;
}

asio::awaitable<TakeoverResult> Takeover::Promote(std::shared_ptr<GroupClient> group,
                                                  TakeoverReason reason,
                                                  ServerStatuses statuses,
                                                  Claim claim) {
  auto term = group->term();
  for (const auto& [id, status] : statuses) {
    term = std::max({term, status.term, status.paused_at});
  }
  const Term stop_at(term.value() + 1);
  const ControlRequest stop{.term = stop_at};
  const auto servers = co_await StopServers(m_context, group, statuses, stop);
  const auto logs = DescribeStopped(servers);
  // A working primary keeps acknowledging commits unless it obeyed the stop.
  const bool works = co_await AnyPrimaryWorks(group, servers);
  const bool unchanged = works || co_await AreStillStopped(m_context, group, servers, stop);
  const auto successor = works || !unchanged ? std::nullopt : ChooseSuccessor(servers);
  if (!successor) {
    Log(EventCode::kPromotionFailed, *group,
        (works        ? "the primary works:"
         : !unchanged ? "a server did not stay stopped:"
                      : "no safe successor:") +
            logs,
        stop_at);
    co_await Resume(group, claim, std::nullopt);
    co_return claim.order_may_be_pending ? TakeoverResult::kUnfinished : TakeoverResult::kBackedOff;
  }
  // From here on other proxies hold off for as long as the order may take.
  const bool marked = co_await SetOrderPending(*group, claim, true);
  if (!marked || BootClock::now() > claim.valid_until) {
    Log(EventCode::kPromotionFailed, *group,
        "the pending mark was not confirmed while the token was valid:" + logs, stop_at);
    co_return TakeoverResult::kUnfinished;
  }
  const auto ordered = co_await m_order(group->id().value(), successor->value(), claim.row.holder,
                                        claim.row.token, Clock::now() + kOrderTimeout);
  const auto outcome = !ordered                             ? ordered.error().detail
                       : *ordered == OrderResult::kAccepted ? std::string("accepted")
                                                            : std::string("rejected");
  Log(EventCode::kPromotionOrdered, *group,
      fmt::format("{} for {}, token {}, {}; logs:{}", successor->value(), NameOf(reason),
                  claim.row.token, outcome, logs),
      stop_at);
  if (!ordered || *ordered != OrderResult::kAccepted) {
    co_return TakeoverResult::kUnfinished;
  }
  // The promotion itself resumes the other replicas.
  const bool promoted = co_await WaitUntilPrimary(group, *successor);
  if (promoted) {
    Log(EventCode::kPrimaryPromoted, *group, successor->value(), group->term());
    co_await SetOrderPending(*group, claim, false);
    group->ClearStallEvidence();
  }
  co_return promoted ? TakeoverResult::kHasPrimary : TakeoverResult::kUnfinished;
}

}  // namespace cardamom
