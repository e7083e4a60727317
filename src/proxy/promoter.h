// Carries out a promotion: fences the servers, copies the log to the candidate and makes it the
// primary of the new term.
#pragma once

#include <memory>
#include <vector>

#include "failover/promotion_plan.h"
#include "proxy/group.h"

namespace cardamom {

// Not thread safe: used by one failover coordinator, for one promotion at a time.
class Promoter : public std::enable_shared_from_this<Promoter> {
 public:
  Promoter(ProxyContext& context, std::shared_ptr<Group> group);

  // Carries out `plan` unless `reachable` holds too few servers to finish it. Errors: kNoPrimary,
  // whose detail names the step that failed; servers may then be fenced, so that a promotion in a
  // greater term has to follow. Precondition: the calling coroutine runs on a strand.
  asio::awaitable<Outcome<void>> Run(PromotionPlan& plan, std::vector<EndpointId> reachable);

 private:
  struct FenceRound;

  asio::awaitable<bool> Fence(PromotionPlan& plan);
  asio::awaitable<bool> CopyLog(const PromotionPlan& plan, const EndpointId& candidate);
  asio::awaitable<bool> OpenTerm(const PromotionPlan& plan, const EndpointId& candidate);

  ProxyContext& m_context;
  const std::shared_ptr<Group> m_group;
};

}  // namespace cardamom
