#include "gateway/commit_witness.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "failover/acknowledgement_lease.h"
#include "gateway/server_poll.h"

namespace cardamom {
namespace {

constexpr Millis kPause{25};

WitnessCandidate Describe(const GroupClient& group, const GroupClient::EndpointPtr& endpoint) {
  WitnessCandidate candidate;
  candidate.is_primary = group.primary_id() == endpoint->entry.id;
  candidate.leaving = endpoint->entry.leaving;
  candidate.listed_for = Clock::now() - endpoint->listed_since;
  return candidate;
}

std::vector<GroupClient::EndpointPtr> FindCandidates(const GroupClient& group) {
  std::vector<GroupClient::EndpointPtr> candidates;
  for (const auto& [id, endpoint] : group.endpoints()) {
    if (MayBeWitness(Describe(group, endpoint))) {
      candidates.push_back(endpoint);
    }
  }
  return candidates;
}

}  // namespace

bool MayPassOnCommits(const GroupClient& group) {
  return group.acknowledgements().HasLease() || !FindCandidates(group).empty();
}

asio::awaitable<bool> IsWitnessed(GatewayContext& context,
                                  std::shared_ptr<GroupClient> group,
                                  Position commit,
                                  TimePoint deadline) {
  for (auto candidates = FindCandidates(*group); !candidates.empty() && Clock::now() < deadline;
       candidates = FindCandidates(*group)) {
    const ControlRequest question{.opened_before = Clock::now() - kWitnessListedFor};
    const auto answers = co_await SendToServers(context, group, candidates, question);
    for (const auto& endpoint : candidates) {
      const auto answer = answers.statuses.find(endpoint->entry.id);
      if (answer == answers.statuses.end() || group->Find(endpoint->entry.id) != endpoint) {
        continue;
      }
      auto candidate = Describe(*group, endpoint);
      candidate.is_primary = candidate.is_primary || answer->second.is_primary;
      candidate.received = answer->second.received;
      if (IsWitnessOf(candidate, commit)) {
        co_return true;
      }
    }
    co_await Sleep(kPause);
  }
  co_return false;
}

}  // namespace cardamom
