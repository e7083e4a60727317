// Carries out a promotion: fences, copies the log, opens the term.
#pragma once

#include <memory>
#include <vector>

#include "failover/promotion_plan.h"
#include "proxy/group.h"

namespace cardamom {

// Used by one steward, one promotion at a time.
class Promoter : public std::enable_shared_from_this<Promoter> {
 public:
  Promoter(ProxyContext& context, std::shared_ptr<Group> group);

  // Carries out `plan` unless `reachable` holds too few servers to finish it. Errors: kNoPrimary,
  // whose detail says which step failed; servers may then be fenced, and a greater term has to
  // follow.
  asio::awaitable<Outcome<void>> Run(PromotionPlan& plan, std::vector<EndpointId> reachable);

 private:
  struct FenceRound;

  asio::awaitable<bool> Fence(PromotionPlan& plan);
  asio::awaitable<bool> CopyLog(const PromotionPlan& plan, const EndpointId& candidate);
  asio::awaitable<bool> Open(const PromotionPlan& plan, const EndpointId& candidate);

  ProxyContext& m_context;
  const std::shared_ptr<Group> m_group;
};

}  // namespace cardamom
