#include "fleet/quota_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <xxhash.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

// Requests to other VMs for one batch of operations, each for at most kPermissionTime.
constexpr int kMaxAttempts = 2;
// Longest wait for an answer to a batch: the one in progress and the next one, each with its
// attempts and the wait of a local meter.
constexpr Millis kMaxWait{900};
constexpr std::int64_t kDefaultRetryMs = 500;
constexpr Millis kEventInterval{1000};

}  // namespace

asio::awaitable<std::optional<std::string>> QuotaClient::Admit(OrganisationName organisation,
                                                               RequestId request) {
  if (m_service.QuotaOf(organisation) == nullptr) {
    co_return std::nullopt;
  }
  auto& queue = m_queues[organisation];
  if (!queue.next) {
    queue.next = std::make_shared<Batch>();
  }
  const auto batch = queue.next;
  ++batch->wanted;
  if (!queue.sending) {
    queue.sending = true;
    Spawn(m_context.io,
          [this, organisation]() -> asio::awaitable<void> { co_await SendBatches(organisation); });
  }
  const std::function<bool()> done = [batch] { return batch->done; };
  co_await batch->answered.WaitUntil(done, Clock::now() + kMaxWait);
  // A process that was suspended must not use permissions later than meters count on.
  const bool in_time = BootClock::now() - batch->sent_at <= kPermissionTime;
  if (batch->done && in_time && batch->granted > 0) {
    --batch->granted;
    m_context.metrics.CountQuota("admitted", 1);
    co_return std::nullopt;
  }
  co_return Refuse(m_queues[organisation], organisation, request, batch->retry_ms);
}

std::string QuotaClient::Refuse(Queue& queue,
                                const OrganisationName& organisation,
                                const RequestId& request,
                                std::int64_t retry_ms) {
  m_context.metrics.CountQuota("refused", 1);
  ++queue.refused;
  if (Clock::now() >= queue.next_event) {
    queue.next_event = Clock::now() + kEventInterval;
    m_context.events.Emit(EventCode::kQuotaRefused,
                          {.request = request.value(),
                           .detail = fmt::format("{}: {} refused since the last such event",
                                                 organisation.value(), queue.refused)});
    queue.refused = 0;
  }
  // Up to twice the time, so that callers do not return all at once.
  const auto base = retry_ms > 0 ? retry_ms : kDefaultRetryMs;
  const auto hash = XXH3_64bits(request.value().data(), request.value().size());
  const auto spread = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(base));
  return fmt::format("the quota of the organisation is used up; retry in {} ms", base + spread);
}

asio::awaitable<void> QuotaClient::SendBatches(OrganisationName organisation) {
  // Entries of the map are never removed, so the reference stays valid.
  auto& queue = m_queues[organisation];
  while (queue.next) {
    const auto batch = std::exchange(queue.next, nullptr);
    co_await AskMeters(organisation, batch);
    batch->done = true;
    batch->answered.NotifyAll();
  }
  queue.sending = false;
}

asio::awaitable<void> QuotaClient::AskMeters(OrganisationName organisation, BatchPtr batch) {
  const std::vector<VmEntry> meters = m_service.RolesOf(organisation).meters;
  int attempts = 0;
  for (const auto& meter : meters) {
    batch->sent_at = BootClock::now();
    if (meter.id == m_service.self().id) {
      const auto reply = co_await m_service.Permit(organisation, batch->wanted);
      batch->granted = reply.granted;
      batch->retry_ms = reply.retry_ms;
      co_return;
    }
    if (attempts == kMaxAttempts) {
      co_return;
    }
    if (m_peers.IsInBackoff(meter)) {
      continue;
    }
    ++attempts;
    PeerQuotaRequest message;
    message.permission = PermissionRequest{organisation.value(), batch->wanted};
    const auto reply =
        co_await m_peers.Send(meter, std::move(message), Clock::now() + kPermissionTime);
    if (reply && reply->permission) {
      batch->granted = std::clamp<std::int64_t>(reply->permission->granted, 0, batch->wanted);
      batch->retry_ms = reply->permission->retry_ms;
      co_return;
    }
  }
}

}  // namespace cardamom
