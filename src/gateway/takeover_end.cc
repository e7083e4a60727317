// How an attempt of a takeover ends that has ordered no promotion.
#include <utility>

#include <fmt/format.h>

#include "async/notifier.h"
#include "failover/acknowledgement_lease.h"
#include "gateway/takeover.h"

namespace cardamom {
namespace {

// Longest time of the calls that mark the row.
constexpr Millis kStoreTimeout{1600};

}  // namespace

asio::awaitable<TakeoverResult> Takeover::WaitUntilSettled(std::shared_ptr<GroupClient> group,
                                                           Claim claim) {
  const bool written = co_await UpdateRow(*group, claim, MarkEarlierOrdersVoid);
  Log(EventCode::kPromotionFailed, *group,
      fmt::format("waits for orders accepted before token {}{}", claim.row.token,
                  written ? "" : "; the row was not written"));
  if (written) {
    co_await Sleep(kPromotionTime);
  }
  co_return TakeoverResult::kUnfinished;
}

asio::awaitable<void> Takeover::Resume(std::shared_ptr<GroupClient> group,
                                       Claim claim,
                                       std::optional<EndpointId> primary) {
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

asio::awaitable<TakeoverResult> Takeover::KeepPrimary(std::shared_ptr<GroupClient> group,
                                                      Claim claim,
                                                      EndpointId primary,
                                                      ServerStatuses statuses) {
  Log(EventCode::kPromotionFailed, *group, primary.value() + " is the primary");
  claim.stopped_primary.reset();
  const bool have_leases_ended = claim.row.leases_end_at_ms > 0;
  if (claim.row.open || claim.row.stopped_primary || have_leases_ended) {
    const bool written = co_await SetOrderOutstanding(*group, claim, false);
    if (!written && have_leases_ended) {
      // A later holder would take the proxies for stopped after a release.
      co_return TakeoverResult::kUnfinished;
    }
  }
  if (IsAnyPaused(statuses)) {
    if (BootClock::now() > claim.valid_until) {
      co_return TakeoverResult::kUnfinished;
    }
    co_await Resume(group, claim, primary);
  }
  group->ClearStallEvidence();
  const bool none_outstanding = claim.announced || claim.outstanding == OutstandingOrder::kNone;
  if (none_outstanding &&
      (claim.announced || group->acknowledgements().hold().IsHeld(BootClock::now()))) {
    ReleaseUnchanged(*group, claim, statuses.at(primary).term);
  }
  co_return TakeoverResult::kHasPrimary;
}

void Takeover::ReleaseUnchanged(const GroupClient& group, const Claim& claim, Term leading) {
  m_hold_hooks.release(group.id(), {claim.row.token, leading, std::nullopt});
}

asio::awaitable<TakeoverResult> Takeover::GiveUp(std::shared_ptr<GroupClient> group,
                                                 Claim claim,
                                                 std::string reason) {
  Log(EventCode::kPromotionFailed, *group, reason);
  const bool valid = BootClock::now() <= claim.valid_until;
  co_await Resume(group, claim, std::nullopt);
  co_await ConfirmStoppedPrimary(*group, claim);
  const bool closed = co_await SetOrderOutstanding(*group, claim, false);
  if (!closed || !valid) {
    co_return TakeoverResult::kUnfinished;
  }
  co_return TakeoverResult::kBackedOff;
}

asio::awaitable<TakeoverResult> Takeover::WaitUntilLeasesEnd(std::shared_ptr<GroupClient> group,
                                                             Claim claim,
                                                             PendingHold hold) {
  co_await Resume(group, claim, std::nullopt);
  co_await ConfirmStoppedPrimary(*group, claim);
  const bool noticed = co_await hold.WaitForNotice();
  if (!noticed || BootClock::now() - hold.started_at() > kHoldBeforeMark - kStoreTimeout) {
    co_await SetOrderOutstanding(*group, claim, false);
    co_return TakeoverResult::kUnfinished;
  }
  const auto mark = [stopped = claim.stopped_primary, announced = claim.announced](
                        FenceRow row, std::int64_t now_ms) {
    row.void_below = announced ? row.token : row.void_below;
    row.stopped_primary = stopped;
    return MarkNoticePosted(std::move(row), now_ms);
  };
  const bool written = co_await UpdateRow(*group, claim, mark);
  if (written) {
    co_await Sleep(kAcknowledgementLease);
  }
  co_return TakeoverResult::kUnfinished;
}

asio::awaitable<void> Takeover::ConfirmStoppedPrimary(const GroupClient& group, Claim& claim) {
  if (!claim.stopped_primary || claim.announced) {
    co_return;
  }
  auto row = claim.row;
  row.open = false;
  if (FindOutstandingOrder(row, false, std::nullopt) == OutstandingOrder::kNone) {
    co_return;
  }
  const bool announced = co_await AnnounceToken(group, claim);
  if (!announced) {
    claim.stopped_primary.reset();
  }
}

}  // namespace cardamom
