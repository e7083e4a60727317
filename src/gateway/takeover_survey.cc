// What a takeover finds out about the servers before it stops any.
#include <algorithm>

#include "gateway/takeover.h"

namespace cardamom {
namespace {

// Last probe of a primary that seems to have failed.
constexpr Millis kLastProbeTimeout{120};
// A replica that still lacks an earlier position of the primary after this time is cut off from it.
constexpr Millis kStallCheck{300};
constexpr Millis kControlTimeout{400};

}  // namespace

asio::awaitable<ServerAnswers> Takeover::Survey(std::shared_ptr<GroupClient> group) {
  std::vector<GroupClient::EndpointPtr> all;
  for (const auto& [id, endpoint] : group->endpoints()) {
    all.push_back(endpoint);
  }
  const ControlRequest question{.prefer_opened_before = RestartsListedUntil()};
  co_return co_await SendToServers(m_context, group, all, question);
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
    // Paused replicas receive nothing, so they do not show whether the primary is cut off.
    if (reason == TakeoverReason::kStalled && !IsAnyPaused(statuses)) {
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

}  // namespace cardamom
