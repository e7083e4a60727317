#include "routing/server_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamom {

void LatencyEstimate::OnResponse(Duration latency, TimePoint now) {
  const auto decayed_excess = ExpectedLatency(now) - m_base;
  const auto sample = static_cast<double>((latency - m_base).count());
  m_excess_ns =
      static_cast<double>(decayed_excess.count()) * (1 - kSampleWeight) + sample * kSampleWeight;
  m_updated_at = now;
}

void LatencyEstimate::OnFailure(Duration penalty, TimePoint now) {
  OnResponse(std::max(penalty, ExpectedLatency(now)), now);
}

Duration LatencyEstimate::ExpectedLatency(TimePoint now) const {
  const auto idle = std::chrono::duration<double>(now - m_updated_at) / kDecayTime;
  return m_base + Duration(static_cast<Duration::rep>(m_excess_ns * std::exp(-idle)));
}

std::vector<EndpointId> RankServers(const std::vector<ServerCandidate>& candidates,
                                    const ServerChoicePolicy& policy) {
  std::vector<std::pair<double, EndpointId>> ranked;
  for (const auto& candidate : candidates) {
    if (!candidate.reachable || (!candidate.fresh && !candidate.is_primary)) {
      continue;
    }
    auto cost = static_cast<double>(candidate.expected_latency.count()) *
                (1 + policy.outstanding_weight * static_cast<double>(candidate.outstanding));
    if (candidate.is_primary) {
      cost *= policy.primary_cost_factor;
    }
    ranked.emplace_back(cost, candidate.endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<EndpointId> order;
  order.reserve(ranked.size());
  for (auto& entry : ranked) {
    order.push_back(std::move(entry.second));
  }
  return order;
}

}  // namespace cardamom
