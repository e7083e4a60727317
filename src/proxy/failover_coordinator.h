// Failover coordinator: watches the primary of a group and replaces it if it fails.
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

// Also carries out switchovers: planned promotions after the record has changed the voters. Runs
// for each group in a proxy's GroupRegistry; the rank of the VM decides whether and how soon it
// acts, rank 0 first. If two coordinators act at the same time, the failover takes longer, but no
// data is lost.
//
// Not thread safe: after Start, used only by its own coroutine, except Stop.
class FailoverCoordinator : public std::enable_shared_from_this<FailoverCoordinator> {
 public:
  // Asks some peers whether they reach the primary and adds their answers to `evidence`.
  using AskPeersHook =
      std::function<asio::awaitable<void>(const GroupId& group, PrimaryEvidence& evidence)>;

  // The referenced arguments must outlive the coroutine that Start starts.
  FailoverCoordinator(ProxyContext& context,
                      std::shared_ptr<Group> group,
                      Membership& membership,
                      PlatformClient& platform,
                      AskPeersHook ask_peers);

  // Starts the coroutine. Call once.
  void Start();
  // Makes the coroutine end after its current step and pause; does not wait for it. Thread safe.
  void Stop() { m_stopped = true; }

 private:
  enum class PromotionReason { kFailure, kBootstrap, kSwitchover };

  asio::awaitable<void> Run();
  asio::awaitable<void> Step();
  asio::awaitable<void> WatchPrimary(std::size_t rank);
  asio::awaitable<void> Bootstrap();
  asio::awaitable<void> MaintainGroup(std::size_t rank);
  // Starts a switchover if the record requires other voters than the current term has, or if
  // IsLeavingEndpointStillVoter.
  asio::awaitable<void> StartSwitchoverIfDue();
  // Whether a switchover should wait, for kLeavingGrace at most, for open transactions that it
  // would abort.
  asio::awaitable<bool> HasTransactionsToWaitFor();
  // Whether, for at least kLeavingVoterLimit, a term that may still be used has had a leaving
  // endpoint as a voter. A running owner replaces such a reservation in less time, so its process
  // is taken to have ended. Completing a greater term removes the reservation.
  asio::awaitable<bool> IsLeavingEndpointStillVoter();
  bool NewVotersCaughtUp(const std::vector<EndpointId>& voters) const;

  asio::awaitable<bool> Promote(PromotionReason reason,
                                std::vector<EndpointId> eligible,
                                std::optional<EndpointId> suspect = std::nullopt);
  asio::awaitable<std::optional<PromotionTask>> ClaimTerm(PromotionReason reason);
  // Sends a follow request to every reachable server that does not follow the current primary.
  void SendFollowRequests();
  asio::awaitable<void> UpdateTermRow(std::size_t rank);

  PrimaryEvidence GatherEvidence(const GroupView& view) const;
  // Gathers the evidence from the group's current view.
  PrimaryEvidence GatherCurrentEvidence() const;
  std::vector<EndpointId> EligibleAfterFailure(Suspicion suspicion) const;
  std::vector<EndpointId> ReachableEndpoints() const;

  ProxyContext& m_context;
  const std::shared_ptr<Group> m_group;
  Membership& m_membership;
  TermStore m_term_store;
  // Owner of the terms that this coordinator allocates; unique to it.
  const std::string m_owner_id;
  const std::shared_ptr<Promoter> m_promoter;
  const AskPeersHook m_ask_peers;
  const SuspicionOptions m_suspicion_options;
  std::atomic<bool> m_stopped{false};
  // A term reserved in advance, with the voter sets to fence for a promotion in it.
  std::optional<PromotionTask> m_reserved_task;
  // Terms of this coordinator that a promotion has used, whether or not it finished.
  std::set<Term> m_used_terms;
  std::optional<TimePoint> m_suspected_since;
  // Since when m_higher_term has had its value.
  std::optional<TimePoint> m_higher_term_since;
  // The greatest observed term if it is greater than the current one, else 0.
  Term m_higher_term;
  std::optional<TimePoint> m_switchover_wanted_since;
  TimePoint m_next_term_row_update;
  TimePoint m_next_term_row_check;
  std::optional<TimePoint> m_leaving_voter_since;
  TimePoint m_next_follow_requests;
  TimePoint m_next_promotion;
  // The last term that an event reported as complete.
  Term m_reported_complete_term;
};

}  // namespace cardamom
