// Unit and property tests of routing, limits, retry, membership and configuration.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

#include "config/config_state.h"
#include "limits/admission_queue.h"
#include "limits/concurrency_limit.h"
#include "limits/connection_share.h"
#include "membership/rendezvous.h"
#include "retry/retry_policy.h"
#include "routing/read_router.h"

namespace cardamom {
namespace {

TimePoint At(int ms) {
  return TimePoint() + Millis(ms);
}

// ROUTING

ReadCandidate Candidate(const std::string& id, std::uint64_t applied, bool primary = false) {
  ReadCandidate candidate;
  candidate.endpoint = EndpointId(id);
  candidate.is_primary = primary;
  candidate.applied = {Term(1), LogIndex(applied)};
  candidate.lag = Millis(0);
  candidate.slots = 5;
  return candidate;
}

TEST(ReadRouterTest, PrefersReplicaOverPrimary) {
  const auto choices =
      ChooseReadEndpoints({Candidate("p", 9, true), Candidate("a", 3), Candidate("b", 9)},
                          {.position = {Term(1), LogIndex(9)}}, {.max_wait = Millis(0)});
  ASSERT_FALSE(choices.empty());
  EXPECT_EQ(choices.front().endpoint, EndpointId("a"));
}

TEST(ReadRouterTest, PrimaryOnlyReadUsesOnlyPrimary) {
  const auto choices =
      ChooseReadEndpoints({Candidate("p", 9, true), Candidate("a", 9)}, {.primary_only = true}, {});
  ASSERT_EQ(choices.size(), 1U);
  EXPECT_TRUE(choices.front().is_primary);
}

TEST(ReadRouterTest, PrefersIdlePrimaryWhenReplicasAreOverloaded) {
  auto busy = Candidate("a", 9);
  busy.outstanding = 100;
  const auto choices = ChooseReadEndpoints({Candidate("p", 9, true), busy}, {}, {});
  EXPECT_TRUE(choices.front().is_primary);
}

RC_GTEST_PROP(ReadRouterProperty, NeverChoosesAServerOfAnOlderLineageOrFarBehind, ()) {
  const auto servers = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(1, 4), rc::gen::inRange(0, 20), rc::gen::inRange(0, 200)));
  const ReadRequirement need{.position = {Term(2), LogIndex(10)}};
  const RoutingPolicy policy;
  std::vector<ReadCandidate> candidates;
  for (const auto& [term, applied, lag] : servers) {
    auto candidate =
        Candidate("s" + std::to_string(candidates.size()), static_cast<std::uint64_t>(applied));
    candidate.applied.term = Term(static_cast<std::uint64_t>(term));
    candidate.lag = Millis(lag);
    candidates.push_back(candidate);
  }
  // The reference result filters the candidates by the definition.
  std::set<EndpointId> allowed;
  for (const auto& candidate : candidates) {
    const bool lineage = candidate.applied.term >= need.position.term;
    const bool soon =
        candidate.applied.index >= need.position.index || *candidate.lag <= policy.max_wait;
    if (lineage && soon) {
      allowed.insert(candidate.endpoint);
    }
  }
  std::set<EndpointId> chosen;
  for (const auto& choice : ChooseReadEndpoints(candidates, need, policy)) {
    chosen.insert(choice.endpoint);
  }
  RC_ASSERT(chosen == allowed);
}

// LIMITS

TEST(AdmissionQueueTest, HigherPriorityGoesFirstAndEvictsWhenFull) {
  AdmissionQueue queue(1);
  EXPECT_EQ(queue.RequestAdmission(Priority::kRead, At(100), At(0), 1, {}).admission,
            Admission::kRun);
  const auto read = queue.RequestAdmission(Priority::kRead, At(100), At(0), 1, {});
  EXPECT_EQ(read.admission, Admission::kQueued);
  const auto write = queue.RequestAdmission(Priority::kWrite, At(100), At(0), 1, {});
  EXPECT_EQ(write.admission, Admission::kQueued);
  EXPECT_EQ(write.evicted, read.ticket);
  EXPECT_EQ(queue.RequestAdmission(Priority::kRead, At(100), At(0), 1, {}).admission,
            Admission::kRefused);
  EXPECT_EQ(queue.OnRequestFinished(At(1), 1), std::vector<AdmissionQueue::Ticket>{write.ticket});
}

TEST(AdmissionQueueTest, RefusesRequestThatWouldMissItsDeadline) {
  AdmissionQueue queue(10);
  queue.RequestAdmission(Priority::kRead, At(100), At(0), 1, {});
  EXPECT_EQ(queue.RequestAdmission(Priority::kRead, At(20), At(0), 1, Millis(50)).admission,
            Admission::kRefused);
}

// Reference implementation: searches an unsorted list for the first request at each step.
class ReferenceQueue {
 public:
  std::vector<std::uint64_t> OnRequestFinished(int now, std::size_t limit) {
    --m_running;
    std::vector<std::uint64_t> admitted;
    while (m_running < limit && !m_waiting.empty()) {
      auto best = m_waiting.begin();
      for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (std::pair(it->priority, it->ticket) < std::pair(best->priority, best->ticket)) {
          best = it;
        }
      }
      if (best->deadline > now) {
        ++m_running;
        admitted.push_back(best->ticket);
      }
      m_waiting.erase(best);
    }
    return admitted;
  }
  void Run() { ++m_running; }
  void Queue(int priority, std::uint64_t ticket, int deadline) {
    m_waiting.push_back({priority, ticket, deadline});
  }
  void Remove(std::uint64_t ticket) {
    std::erase_if(m_waiting, [ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
  }
  std::size_t running() const { return m_running; }

 private:
  struct Waiter {
    int priority;
    std::uint64_t ticket;
    int deadline;
  };
  std::size_t m_running = 0;
  std::vector<Waiter> m_waiting;
};

RC_GTEST_PROP(AdmissionQueueProperty, MatchesReferenceQueueWithinLimits, ()) {
  constexpr std::size_t kCapacity = 4;
  constexpr std::size_t kLimit = 3;
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 2), rc::gen::inRange(0, 3), rc::gen::inRange(1, 50)));
  AdmissionQueue queue(kCapacity);
  ReferenceQueue reference;
  int now = 0;
  for (const auto& [step_kind, priority, time_to_deadline] : steps) {
    ++now;
    if (step_kind == 1 && reference.running() > 0) {
      RC_ASSERT(queue.OnRequestFinished(At(now), kLimit) ==
                reference.OnRequestFinished(now, kLimit));
    } else {
      const auto decision = queue.RequestAdmission(static_cast<Priority>(priority),
                                                   At(now + time_to_deadline), At(now), kLimit, {});
      if (decision.evicted) {
        reference.Remove(*decision.evicted);
      }
      if (decision.admission == Admission::kRun) {
        reference.Run();
      } else if (decision.admission == Admission::kQueued) {
        reference.Queue(priority, decision.ticket, now + time_to_deadline);
      }
    }
    RC_ASSERT(queue.running() <= kLimit);
    RC_ASSERT(queue.waiting() <= kCapacity);
    RC_ASSERT(queue.running() == reference.running());
  }
}

TEST(ConcurrencyLimitTest, GrowsWhileLatencyStaysAtItsFloorAndShrinksWhenItRises) {
  ConcurrencyLimit limit({.min_limit = 2, .max_limit = 20, .initial_limit = 4});
  for (int i = 0; i < 500; ++i) {
    limit.OnResponse(Millis(2), limit.limit());
  }
  EXPECT_EQ(limit.limit(), 20U);
  for (int i = 0; i < 500; ++i) {
    limit.OnResponse(Millis(60), limit.limit());
  }
  EXPECT_LT(limit.limit(), 10U);
}

RC_GTEST_PROP(ConnectionShareProperty, SharesAndSpareSharesStayWithinConnections, ()) {
  const auto homes = static_cast<std::size_t>(*rc::gen::inRange(1, 60));
  const auto spare = static_cast<std::size_t>(*rc::gen::inRange(0, 5));
  const auto connections = homes + spare + static_cast<std::size_t>(*rc::gen::inRange(0, 500));
  const auto share = ConnectionShare(connections, homes, spare);
  RC_ASSERT(share >= 1U);
  RC_ASSERT(share * (homes + spare) <= connections);
}

// RETRY

TEST(RetryPolicyTest, DoesNotRetryNonIdempotentRequestThatMayHaveRun) {
  for (const auto& info : AllResultCodes()) {
    const Error error{info.code, "", Ran::kUnknown};
    const AttemptContext context{false, At(100), At(0)};
    if (info.code == ResultCode::kTransport || info.code == ResultCode::kBadAnswer) {
      EXPECT_EQ(DecideRetry(error, context), RetryDecision::kReturnError) << info.name;
    }
  }
}

TEST(RetryPolicyTest, NothingIsRepeatedAfterTheDeadline) {
  for (const auto& info : AllResultCodes()) {
    EXPECT_EQ(DecideRetry({info.code, "", Ran::kNo}, {true, At(100), At(100)}),
              RetryDecision::kReturnError);
  }
}

TEST(RetryBudgetTest, RetriesAreAShareOfTheFirstAttempts) {
  RetryBudget budget(0.5, 2);
  EXPECT_TRUE(budget.TryConsumeToken());
  EXPECT_TRUE(budget.TryConsumeToken());
  EXPECT_FALSE(budget.TryConsumeToken());
  budget.OnFirstAttempt();
  EXPECT_FALSE(budget.TryConsumeToken());
  budget.OnFirstAttempt();
  EXPECT_TRUE(budget.TryConsumeToken());
}

// MEMBERSHIP

std::vector<VmEntry> Vms(int count) {
  std::vector<VmEntry> vms;
  for (int i = 0; i < count; ++i) {
    VmEntry vm;
    vm.id = VmId("vm" + std::to_string(i));
    vm.domain = FailureDomain("d" + std::to_string(i % 3));
    vms.push_back(vm);
  }
  return vms;
}

RC_GTEST_PROP(RendezvousProperty, RemovingVmKeepsOrderOfOthers, (const std::string& name)) {
  const auto count = *rc::gen::inRange(2, 30);
  auto vms = Vms(count);
  const auto before = RankVms(vms, name);
  const auto lost = static_cast<std::size_t>(*rc::gen::inRange(0, count));
  auto expected = before;
  std::erase(expected, vms[lost]);
  vms.erase(vms.begin() + static_cast<std::ptrdiff_t>(lost));
  RC_ASSERT(RankVms(vms, name) == expected);
}

RC_GTEST_PROP(RendezvousProperty, HomesAreSpreadOverFailureDomains, (const std::string& name)) {
  const auto homes = ChooseHomes(Vms(9), name, 3);
  std::set<FailureDomain> domains;
  for (const auto& vm : homes) {
    domains.insert(vm.domain);
  }
  RC_ASSERT(domains.size() == 3U);
}

TEST(RendezvousTest, LeavingVmsAreNotRanked) {
  auto vms = Vms(3);
  vms[1].leaving = true;
  EXPECT_EQ(RankVms(vms, "g").size(), 2U);
}

// CONFIGURATION

ConfigSnapshot Snapshot(std::uint64_t revision, const std::string& record) {
  return {Revision(revision), {{GroupId("g"), Revision(revision), "", record}}};
}

constexpr const char* kValidRecord =
    R"({"schema":2,"group":"g","endpoints":[{"id":"a","address":"127.0.0.1:1"}],)"
    R"("initial_primary":"a"})";

RC_GTEST_PROP(ConfigStateProperty,
              AdoptedRevisionsOnlyGrow,
              (const std::vector<std::uint8_t>& revisions)) {
  ConfigState state;
  Revision greatest;
  for (const auto revision : revisions) {
    state.Adopt(Snapshot(revision, kValidRecord));
    greatest = std::max(greatest, Revision(revision));
    RC_ASSERT(state.revision() == greatest);
  }
}

TEST(ConfigStateTest, UnknownSchemaKeepsTheLastReadableRecord) {
  ConfigState state;
  state.Adopt(Snapshot(1, kValidRecord));
  const auto change = state.Adopt(Snapshot(2, R"({"schema":9,"group":"g"})"));
  EXPECT_TRUE(change.adopted);
  EXPECT_EQ(change.unreadable_groups, std::vector<GroupId>{GroupId("g")});
  EXPECT_TRUE(state.records().contains(GroupId("g")));
}

TEST(ConfigStateTest, IsFreshWhileConfirmedAndNotBehindForLong) {
  ConfigState state;
  EXPECT_FALSE(state.IsFresh(At(0), Millis(100)));
  state.Adopt(Snapshot(1, kValidRecord));
  state.Confirm(Revision(1), At(1000));
  EXPECT_TRUE(state.IsFresh(At(1100), Millis(100)));
  EXPECT_FALSE(state.IsFresh(At(1101), Millis(100)));
  state.Confirm(Revision(2), At(2000));
  EXPECT_TRUE(state.IsFresh(At(2050), Millis(100)));
  state.Confirm(Revision(2), At(2200));
  EXPECT_FALSE(state.IsFresh(At(2200), Millis(100)));
}

}  // namespace
}  // namespace cardamom
