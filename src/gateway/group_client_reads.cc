// Choice of servers for reads, by the lag of the replicas.
#include "gateway/group_client.h"

#include <algorithm>
#include <chrono>

namespace cardamom {
namespace {

// A replica is asked only for positions older than its estimated lag by this margin.
constexpr Millis kLagMargin{20};
// A lag estimate is used for this long without a new answer.
constexpr Millis kLagEstimateLifetime{700};

}  // namespace

std::vector<GroupClient::EndpointPtr> GroupClient::ServersForRead(
    std::optional<Position> position,
    const std::vector<EndpointId>& tried) const {
  const auto now = Clock::now();
  const auto boot_now = BootClock::now();
  const auto covered = position ? m_watermarks.FirstCoveredAt(*position) : std::nullopt;
  std::vector<ServerCandidate> options;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) {
      continue;
    }
    ServerCandidate option;
    option.endpoint = id;
    option.is_primary = m_primary == id;
    option.reachable = now >= endpoint->backoff_until && !endpoint->entry.leaving;
    if (option.is_primary) {
      option.reachable = !m_health.failing_since && !IsDrained(*endpoint);
    }
    // A replica holds the position if it lags by less than the position's age.
    const auto lag = boot_now - endpoint->lag_updated_at < kLagEstimateLifetime ? endpoint->lag
                                                                                : Duration::zero();
    option.fresh = position &&
                   (lag == Duration::zero() || (covered && boot_now - *covered > lag + kLagMargin));
    option.expected_latency = endpoint->latency.ExpectedLatency(now);
    option.outstanding = endpoint->outstanding;
    options.push_back(option);
  }
  std::vector<EndpointPtr> servers;
  for (const auto& id : RankServers(options, ServerChoicePolicy())) {
    servers.push_back(Find(id));
  }
  return servers;
}

void GroupClient::OnReplicaAnswer(const EndpointPtr& endpoint, Position applied) {
  const auto now = BootClock::now();
  endpoint->last_position = std::max(endpoint->last_position, applied);
  endpoint->lag = m_watermarks.LagOf(applied, now);
  endpoint->lag_updated_at = now;
  endpoint->consecutive_failures = 0;
  endpoint->backoff_until = {};
}

void GroupClient::OnReplicaBehind(const EndpointPtr& endpoint, Position needed) {
  const auto now = BootClock::now();
  const auto covered = m_watermarks.FirstCoveredAt(needed);
  // A position that no sample covers yet is newer than all samples.
  const auto least = covered ? std::chrono::duration_cast<Duration>(now - *covered) : kLagMargin;
  endpoint->lag = std::max(endpoint->lag, least);
  endpoint->lag_updated_at = now;
}

}  // namespace cardamom
