#include "gateway/link_check.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "async/spawn.h"
#include "gateway/statement_limits.h"

namespace cardamom {
namespace {

bool IsOwnSuccess(const Reply& reply, SessionState state) {
  return reply.ok() && reply.signature == "-" && reply.state == state;
}

}  // namespace

bool IsAnyAmbiguous(const BatchReply& batch) {
  return std::any_of(batch.replies.begin(), batch.replies.end(),
                     [](const auto& answer) { return answer.is_ambiguous; });
}

asio::awaitable<bool> ConfirmLink(LinkPool::Lease& lease, TimePoint deadline) {
  if (!lease) {
    co_return false;
  }
  std::vector<EndpointRequest> requests{OwnRequest(EndpointOperation::kBeginReadOnly),
                                        OwnRequest(EndpointOperation::kRollback)};
  const auto answer = co_await lease->link->Run(std::move(requests), deadline);
  if (!answer.failure && answer.surplus == 0 &&
      IsOwnSuccess(answer.replies[0].reply, SessionState::kInTransaction) &&
      IsOwnSuccess(answer.replies[1].reply, SessionState::kIdle)) {
    co_return true;
  }
  lease.Discard();
  co_return false;
}

void ConfirmInBackground(asio::io_context& context, LinkPool::Lease lease) {
  const auto held = std::make_shared<LinkPool::Lease>(std::move(lease));
  Spawn(context, [held]() -> asio::awaitable<void> {
    co_await ConfirmLink(*held, Clock::now() + kConfirmTimeout);
  });
}

}  // namespace cardamom
