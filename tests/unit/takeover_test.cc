// A primary is replaced without losing an acknowledged commit, whichever process dies or is
// suspended during the takeover.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <regex>

#include "gateway/takeover_coordinator.h"
#include "gateway/takeover_trace.h"
#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

using TakeoverTest = TakeoverFixture;

TEST_F(TakeoverTest, ALostPrimaryIsReplacedByTheLongestLog) {
  m_fake_group.server(1).replication_blocked = true;
  m_fake_group.Commit(m_fake_group.server(0), "w1");
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(2).is_primary);
  EXPECT_FALSE(Row().open);
}

TEST_F(TakeoverTest, AHealthyPrimaryStays) {
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, NobodyIsPromotedWhileAReplicaDoesNotAnswer) {
  m_fake_group.server(2).replication_blocked = true;
  m_fake_group.Commit(m_fake_group.server(0), "w1");
  m_fake_group.server(1).unresponsive = true;
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, LogOfAnUnlistedReplicaStillCounts) {
  m_fake_group.server(2).replication_blocked = true;
  m_fake_group.Commit(m_fake_group.server(0), "w1");
  auto entries = m_fake_group.Entries();
  entries.erase(entries.begin() + 1);
  m_listed = entries;
  m_fake_group.server(0).unresponsive = true;
  // The unlisted replica answers, and its log is longer than the listed one's. It must not become
  // primary because it is unlisted, and the listed one lacks a commit, so no server is promoted.
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a lost commit (LOST on the bench) that was acknowledged between an order and its
// execution. The order of a first holder got no answer; the next attempt found the old primary
// working and resumed the replicas, and then the order was carried out.
TEST_F(TakeoverTest, ReplicasAreResumedOnlyOnceThePendingOrderOfAnotherHolderIsVoid) {
  m_fake_group.server(1).paused_at = Term(2);
  m_fake_group.server(2).paused_at = Term(2);
  m_table.Put("fences", "orders", EncodeJson(FenceRow{7, "vm-1", true, m_table.now_ms}));
  const auto began = Clock::now();
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kUnfinished);
  EXPECT_GE(Clock::now() - began, kPromotionTime);
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term(2));
  EXPECT_EQ(m_fake_group.server(2).paused_at, Term(2));
  // Nobody, this proxy included, reads logs before accepted orders have been carried out.
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kBackedOff);
  EXPECT_EQ(HandleOrder("e1", 7), OrderResult::kRejected);
  PassPromotionTime();
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(m_fake_group.server(0).is_primary);
  EXPECT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
}

// Guards against a lost commit (LOST on the bench): while the listed replicas were stopped, a
// server that this proxy's list did not show yet started and acknowledged commits.
TEST_F(TakeoverTest, RereadsTheServerListBeforeTheChoice) {
  auto entries = m_fake_group.Entries();
  entries.pop_back();
  GroupSettings settings;
  m_gateway.group->Update(entries, settings);
  m_fake_group.server(1).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(2).is_primary);
}

// Guards against a lost commit (LOST on the bench): all slots of a working primary were taken by
// commits that waited for stopped replicas, so that it answered no status request. It was taken for
// lost, but kept acknowledging commits through a server that had just started.
TEST_F(TakeoverTest, WorkingPrimaryWithoutAFreeSlotIsNotReplaced) {
  m_fake_group.server(0).slots_exhausted = true;
  m_table.Put("fences", "orders", EncodeJson(FenceRow{7, "vm-1", true, m_table.now_ms}));
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kStalled));
  PassPromotionTime();
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, StoppedPrimaryIsPromotedAgainIfNoReplicaHoldsItsWholeLog) {
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(1).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  ASSERT_EQ(m_orders.size(), 1U);
  EXPECT_EQ(m_orders.front().first, "e0");
  EXPECT_TRUE(m_fake_group.server(0).is_primary);
}

TEST_F(TakeoverTest, LostAnswerLeavesTheRowOpenForTheNextAttempt) {
  m_fake_group.server(0).unresponsive = true;
  m_lose_answer = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(Row().open);
  m_lose_answer = false;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_EQ(m_orders.size(), 1U);
  EXPECT_EQ(Row().void_below, Row().token);
  PassPromotionTime();
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  ASSERT_EQ(m_orders.size(), 2U);
  EXPECT_LT(m_orders[0].second, m_orders[1].second);
  EXPECT_FALSE(Row().open);
}

TEST_F(TakeoverTest, BacksOffWhileAnotherHolderIsWithinItsHoldOff) {
  m_table.Put("fences", "orders", EncodeJson(FenceRow{7, "vm-2", false, m_table.now_ms - 100}));
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  m_table.now_ms += kHoldOff.count() + 100;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
}

TEST_F(TakeoverTest, WithoutTheStoreNobodyIsPromoted) {
  m_fake_group.server(0).unresponsive = true;
  m_table.unavailable = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, LeavingPrimaryIsReplacedWithoutLosingACommit) {
  m_fake_group.Commit(m_fake_group.server(0), "w1");
  m_fake_group.server(0).entry.leaving = true;
  GroupSettings settings;
  m_gateway.group->Update(m_fake_group.Entries(), settings);
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kLeaving));
  EXPECT_FALSE(m_fake_group.server(0).is_primary);
  const bool kept = std::any_of(m_orders.begin(), m_orders.end(), [&](const auto& order) {
    return m_fake_group.Find(order.first)->log.size() == 1;
  });
  EXPECT_TRUE(kept);
}

TEST_F(TakeoverTest, ReplicasStoppedByADeadHolderAreResumed) {
  m_fake_group.server(1).paused_at = Term(2);
  m_fake_group.server(2).paused_at = Term(2);
  m_table.Put("fences", "orders", EncodeJson(FenceRow{7, "vm-2", false, m_table.now_ms - 5000}));
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
}

// Guards against the replacement of a working primary: a holder that died left its replicas paused,
// so that they lack the primary's last entries.
TEST_F(TakeoverTest, APrimaryWhoseReplicasWereLeftPausedStays) {
  m_fake_group.server(1).paused_at = Term(2);
  m_fake_group.server(2).paused_at = Term(2);
  EXPECT_FALSE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w2"));
}

// Safety of the choice: the chosen server holds every commit that at least one replica received.
RC_GTEST_PROP(SuccessorProperty, HoldsEveryAcknowledgedCommit, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 6);
  std::vector<StopResult> servers;
  std::vector<std::uint64_t> logs;
  std::uint64_t longest_replica = 0;
  for (std::size_t i = 0; i < count; ++i) {
    StopResult server;
    server.endpoint = EndpointId("e" + std::to_string(i));
    server.was_primary = i == 0;
    server.stopped = *rc::gen::arbitrary<bool>();
    server.leaving = *rc::gen::arbitrary<bool>();
    const auto log = *rc::gen::inRange<std::uint64_t>(0, 9);
    logs.push_back(log);
    server.received = server.stopped ? Position{Term(1), LogIndex(log)} : Position{};
    if (i > 0) {
      longest_replica = std::max(longest_replica, log);
    }
    servers.push_back(server);
  }
  // A primary holds all that its replicas received.
  logs[0] = std::max(logs[0], longest_replica);
  if (servers[0].stopped) {
    servers[0].received = Position{Term(1), LogIndex(logs[0])};
  }
  const auto chosen = ChooseSuccessor(servers);
  RC_PRE(chosen.has_value());
  for (std::size_t i = 1; i < count; ++i) {
    if (servers[i].endpoint == *chosen) {
      RC_ASSERT(logs[i] >= longest_replica);
      RC_ASSERT(servers[i].stopped && !servers[i].leaving);
    }
  }
  // The old primary may be chosen again, but only if it answered and is not leaving.
  RC_ASSERT(servers[0].endpoint != *chosen || (servers[0].stopped && !servers[0].leaving));
}

// The line of an order tells who was compared, which process on which link, when, and by which
// list.
TEST_F(TakeoverTest, OrderTellsWhatItRestsOn) {
  m_fake_group.server(1).entry.started_ms = 4711;
  m_fake_group.server(2).entry.started_ms = 4712;
  // A proxy that has only seen these processes.
  StartProxy(m_fake_group.Entries());
  m_gateway.Run([this]() -> asio::awaitable<void> {
    co_await m_gateway.group->WaitForPrimary(Clock::now() + Millis(500));
  });
  m_gateway.group->set_list_proof([] {
    return ServerListProof{
        {StoreEra(2), StoreVersion(33)}, BootClock::now() - Millis(70), Clock::now() - Millis(20)};
  });
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  ASSERT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  const auto order = LatestDetail(EventCode::kPromotionOrdered);
  const auto has = [&order](const std::string& pattern) {
    return std::regex_search(order, std::regex(pattern));
  };
  EXPECT_TRUE(has("e1 for failed, token 1, accepted in \\d+ ms; sent \\d+ ms after the logs:"))
      << order;
  EXPECT_TRUE(has(" e0\\(primary\\)=0\\.0\\(not stopped\\)\\[[^\\]]*no answer\\]")) << order;
  EXPECT_TRUE(has(" e1=1\\.1\\[started 4711, link \\d+ ms old, answered \\d+ ms before\\]"))
      << order;
  EXPECT_TRUE(has(" e2=1\\.1\\[started 4712, link \\d+ ms old, answered \\d+ ms before\\]"))
      << order;
  EXPECT_TRUE(
      has("; list of 3 servers[^;]*, version 2\\.33, answered 2\\d ms ago, "
          "held by the store 7\\d ms ago"))
      << order;
  EXPECT_TRUE(has("; list at the choice of 3 servers")) << order;
  EXPECT_TRUE(has("; stop repeated in \\d+ ms e1 paused at 2 e2 paused at 2;")) << order;
  EXPECT_TRUE(std::regex_search(LatestDetail(EventCode::kPrimaryPromoted),
                                std::regex("^e1 at \\d+\\.1, started 4711, token 1$")))
      << LatestDetail(EventCode::kPrimaryPromoted);
}

TEST_F(TakeoverTest, OrderWithoutAnAnswerIsShownAsOneThatMayBeCarriedOut) {
  m_fake_group.server(0).unresponsive = true;
  m_lose_answer = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  const auto order = LatestDetail(EventCode::kPromotionOrdered);
  EXPECT_NE(order.find(", outcome unknown, may be carried out: lost; sent "), std::string::npos)
      << order;
}

// A server that left, and whose log a later one at its address has, shows no answer of its own.
TEST(TakeoverTraceTest, EachServerIsShownWithTheReasonForWhichItCounts) {
  const auto stopped_at = Clock::now();
  StopResult left;
  left.endpoint = EndpointId("e2");
  left.covered_by = Position{Term(1), LogIndex(7)};
  left.trace.started_ms = 5;
  left.trace.cause = "departed 4100 ms ago";
  StopResult replica;
  replica.endpoint = EndpointId("e1");
  replica.stopped = true;
  replica.received = {Term(1), LogIndex(8)};
  replica.trace = {6, stopped_at - Millis(50), stopped_at - Millis(10), ""};
  EXPECT_EQ(DescribeStopped({left, replica}, stopped_at),
            " e2=1.7(ended, covered by this position)[started 5, departed 4100 ms ago]"
            " e1=1.8[started 6, link 40 ms old, answered 10 ms before]");
}

// A server that answered the repeated stop on a later link may be another process.
TEST(TakeoverTraceTest, RepeatedStopShowsOtherLinksAndLogs) {
  const auto now = Clock::now();
  StopResult replica;
  replica.endpoint = EndpointId("e1");
  replica.stopped = true;
  replica.received = {Term(1), LogIndex(8)};
  replica.trace = {6, now - Millis(50), now - Millis(10), ""};
  ServerAnswers answers;
  EndpointStatus status;
  status.received = {Term(1), LogIndex(3)};
  status.paused_at = Term(2);
  answers.statuses[replica.endpoint] = status;
  answers.links_opened_at[replica.endpoint] = now - Millis(4);
  answers.answered_at[replica.endpoint] = now - Millis(1);
  EXPECT_EQ(DescribeRepeatedStop({replica}, answers, now - Millis(6), now),
            "; stop repeated in 6 ms e1=1.3 e1 on another link, 3 ms old e1 paused at 2");
}

// Guards against attempts that overload the store: a primary is lost while the store is slow, and
// all homes try to claim the token. In the run store-away-at-crash their calls delayed those of the
// holder (status 429, and "the token came too late").
TEST(TakeoverCoordinatorTest, BackOffPauseGrowsToABound) {
  EXPECT_EQ(PauseAfter(TakeoverResult::kBackedOff, 1), Millis(80));
  Millis span{0};
  int tries = 0;
  while (span < Millis(5000)) {
    span += PauseAfter(TakeoverResult::kBackedOff, ++tries);
  }
  EXPECT_LE(tries, 11);
  // After a holder died, the next attempt follows soon after the hold-off.
  EXPECT_LE(PauseAfter(TakeoverResult::kBackedOff, 1000), kHoldOff);
  EXPECT_EQ(PauseAfter(TakeoverResult::kUnfinished, 0), Millis(80));
}

TEST(TakeoverCoordinatorTest, NeedsTwoFailuresASettledListAndASpareConnection) {
  GroupObservation view;
  view.has_servers = true;
  view.list_settled = true;
  view.has_primary = true;
  const TimePoint now = Clock::now();
  view.health.failing_since = now - Millis(2000);
  view.health.failures = 1;
  EXPECT_FALSE(FindTakeoverReason(view, SuspicionLimits(), Millis(0), now));
  view.health.failures = 2;
  EXPECT_EQ(FindTakeoverReason(view, SuspicionLimits(), Millis(0), now), TakeoverReason::kFailed);
  view.at_connection_limit = true;
  EXPECT_FALSE(FindTakeoverReason(view, SuspicionLimits(), Millis(0), now));
  view.at_connection_limit = false;
  view.list_settled = false;
  EXPECT_FALSE(FindTakeoverReason(view, SuspicionLimits(), Millis(0), now));
}

}  // namespace
}  // namespace cardamom::testing
