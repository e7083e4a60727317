// Watches the primary of a group and replaces it.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "failover/promotion_plan.h"
#include "failover/suspicion.h"
#include "membership/membership.h"
#include "proxy/group.h"
#include "proxy/promoter.h"
#include "proxy/term_store.h"

namespace cardamom {

// Runs on every proxy that may become steward; the VM's rank decides how soon it acts. Two stewards
// that act at once cost time, never data. Used from its own coroutine alone, but for Stop.
class Steward : public std::enable_shared_from_this<Steward> {
 public:
  // Asks some peers whether they reach the primary; fills in the answers.
  using AskPeers =
      std::function<asio::awaitable<void>(const GroupId& group, PrimaryEvidence& evidence)>;

  Steward(ProxyContext& context,
          std::shared_ptr<Group> group,
          Membership& membership,
          PlatformClient& platform,
          AskPeers ask_peers);

  void Start();
  void Stop() { m_stopped = true; }

 private:
  enum class Reason { kFailure, kBootstrap, kSwitchover };

  asio::awaitable<void> Run();
  asio::awaitable<void> Step();
  asio::awaitable<void> WatchPrimary(std::size_t rank);
  asio::awaitable<void> Bootstrap();
  asio::awaitable<void> Maintain(std::size_t rank);
  // Starts a planned promotion if the record asks for other voters.
  asio::awaitable<void> FollowRecord();
  // Whether a planned change should wait, within bounds, for transactions that it would abort.
  asio::awaitable<bool> HasTransactionsToWaitFor();
  // Whether a term reserved by a process that is gone keeps a leaving endpoint as a voter.
  // Completing a greater term clears it away.
  asio::awaitable<bool> IsLeavingEndpointHeldBack();
  bool NewVotersCaughtUp(const std::vector<EndpointId>& voters) const;

  asio::awaitable<bool> Promote(Reason reason,
                                std::vector<EndpointId> eligible,
                                std::optional<EndpointId> suspect = std::nullopt);
  asio::awaitable<std::optional<PromotionTask>> TakeTerm(Reason reason);
  // Makes every server follow the current primary.
  void SpreadTerm();
  asio::awaitable<void> UpdateRow(std::size_t rank);

  PrimaryEvidence Gather(const GroupView& view) const;
  // Gather for the present view.
  PrimaryEvidence GatherNow() const;
  std::vector<EndpointId> EligibleAfterFailure(Suspicion suspicion) const;
  std::vector<EndpointId> Reachable() const;

  ProxyContext& m_context;
  const std::shared_ptr<Group> m_group;
  Membership& m_membership;
  TermStore m_store;
  // Owner of the terms that this steward allocates; unique to it.
  const std::string m_owner;
  const std::shared_ptr<Promoter> m_promoter;
  const AskPeers m_ask_peers;
  const SuspicionOptions m_options;
  std::atomic<bool> m_stopped{false};
  // A term reserved in advance, with what it needs to promote.
  std::optional<PromotionTask> m_reserved;
  // Terms of this process that a promotion has used, whether it finished or not.
  std::set<Term> m_used_terms;
  std::optional<TimePoint> m_suspected_since;
  std::optional<TimePoint> m_fenced_above_since;
  Term m_fenced_above;
  std::optional<TimePoint> m_switchover_wanted_since;
  TimePoint m_next_row_update;
  TimePoint m_next_row_check;
  std::optional<TimePoint> m_held_back_since;
  TimePoint m_next_spread;
  TimePoint m_next_promotion;
  Term m_told_complete;
};

}  // namespace cardamom
