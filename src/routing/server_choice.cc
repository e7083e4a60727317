#include "routing/server_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamom {

void LatencyEstimate::OnAnswer(Duration latency, TimePoint now) {
  const auto faded = Expect(now) - m_base;
  const auto sample = static_cast<double>((latency - m_base).count());
  m_excess_ns = static_cast<double>(faded.count()) * (1 - kWeight) + sample * kWeight;
  m_updated = now;
}

void LatencyEstimate::OnFailure(Duration penalty, TimePoint now) {
  OnAnswer(std::max(penalty, Expect(now)), now);
}

Duration LatencyEstimate::Expect(TimePoint now) const {
  const auto idle = std::chrono::duration<double>(now - m_updated) / kFade;
  return m_base + Duration(static_cast<Duration::rep>(m_excess_ns * std::exp(-idle)));
}

std::vector<EndpointId> OrderServers(const std::vector<ServerOption>& options,
                                     const ServerChoicePolicy& policy) {
  std::vector<std::pair<double, EndpointId>> ranked;
  for (const auto& option : options) {
    if (!option.reachable || (!option.fresh && !option.is_primary)) {
      continue;
    }
    auto cost = static_cast<double>(option.expected.count()) *
                (1 + policy.weight_of_outstanding * static_cast<double>(option.outstanding));
    if (option.is_primary) {
      cost *= policy.primary_reluctance;
    }
    ranked.emplace_back(cost, option.endpoint);
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
