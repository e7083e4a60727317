// A primary is replaced without losing what was acknowledged, whoever dies or stands still
// meanwhile.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "gateway/primary_steward.h"
#include "gateway_fakes.h"

namespace cardamom::testing {
namespace {

class TakeoverTest : public ::testing::Test {
 protected:
  TakeoverTest()
      : m_takeover(m_gateway.context, m_table.Port(), Order(), [this] { return Refresh(); }) {
    m_gateway.Run([this]() -> asio::awaitable<void> {
      co_await m_gateway.group->WaitForPrimary(Clock::now() + Millis(500));
    });
  }

  PromotionOrder Order() {
    return [this](std::string /*group*/, std::string endpoint, std::string /*holder*/,
                  std::uint64_t token,
                  TimePoint /*deadline*/) -> asio::awaitable<Outcome<OrderResult>> {
      m_orders.emplace_back(endpoint, token);
      if (m_lose_answer) {
        co_return Error{ResultCode::kPlatformUnavailable, "lost", Ran::kUnknown};
      }
      if (token < m_greatest_token) {
        co_return OrderResult::kRejected;
      }
      m_greatest_token = token;
      m_servers.Promote(endpoint);
      co_return OrderResult::kAccepted;
    };
  }

  asio::awaitable<bool> Refresh() {
    GroupSettings settings;
    m_gateway.group->Update(m_listed ? *m_listed : m_servers.Entries(), settings);
    co_return true;
  }

  bool Run(TakeoverReason reason) {
    auto result = TakeoverResult::kGaveWay;
    m_gateway.Run([&]() -> asio::awaitable<void> {
      result = co_await m_takeover.Run(m_gateway.group, reason);
    });
    return result == TakeoverResult::kSettled;
  }

  FenceRow Row() { return *Decode<FenceRow>(m_table.Get("fences", "orders")); }

  FakeGroup m_servers{3};
  FakeGateway m_gateway{m_servers};
  FakeTable m_table;
  std::vector<std::pair<std::string, std::uint64_t>> m_orders;
  std::uint64_t m_greatest_token = 0;
  bool m_lose_answer = false;
  // The list of servers that the store shows, if not all.
  std::optional<std::vector<EndpointEntry>> m_listed;
  Takeover m_takeover;
};

TEST_F(TakeoverTest, ALostPrimaryIsReplacedByTheLongestLog) {
  m_servers.server(1).deaf = true;
  m_servers.Commit(m_servers.server(0), "w1");
  m_servers.server(0).silent = true;
  EXPECT_TRUE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(m_servers.server(2).is_primary);
  EXPECT_FALSE(Row().open);
}

TEST_F(TakeoverTest, AHealthyPrimaryStays) {
  EXPECT_TRUE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, AnUnheardReplicaMayHoldACommitSoNobodyIsPromoted) {
  m_servers.server(2).deaf = true;
  m_servers.Commit(m_servers.server(0), "w1");
  m_servers.server(1).silent = true;
  m_servers.server(0).silent = true;
  EXPECT_FALSE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, AServerThatLeftTheListUnannouncedStillCounts) {
  m_servers.server(2).deaf = true;
  m_servers.Commit(m_servers.server(0), "w1");
  auto entries = m_servers.Entries();
  entries.erase(entries.begin() + 1);
  m_listed = entries;
  m_servers.server(0).silent = true;
  // It is heard though the list lacks it, its log is longer than the listed one's, and it may not
  // lead: nobody may.
  EXPECT_FALSE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

// The fault seen on the bench: LOST, a commit that was acknowledged between an order and its
// execution. The order of a first holder was unanswered; the next try found the old primary
// leading, let the replicas receive again, and then the order was carried out.
TEST_F(TakeoverTest, WhatAnotherHolderHasOrderedIsFinishedAndNotUndone) {
  m_servers.server(1).paused_at = Term(2);
  m_servers.server(2).paused_at = Term(2);
  m_table.Put("fences", "orders", Encode(FenceRow{7, "vm-1", true, m_table.now_ms}));
  EXPECT_TRUE(Run(TakeoverReason::kStalled));
  ASSERT_EQ(m_orders.size(), 1U);
  EXPECT_EQ(m_orders.front().second, 8U);
  EXPECT_FALSE(m_servers.server(0).is_primary);
}

// The second fault seen on the bench: LOST. While the known replicas stood stopped, a server that
// this proxy's list did not show yet came up and acknowledged commits.
TEST_F(TakeoverTest, AServerThatJustCameUpIsAskedToo) {
  auto entries = m_servers.Entries();
  entries.pop_back();
  GroupSettings settings;
  m_gateway.group->Update(entries, settings);
  m_servers.server(1).deaf = true;
  ASSERT_TRUE(m_servers.Commit(m_servers.server(0), "w1"));
  m_servers.server(0).silent = true;
  EXPECT_TRUE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(m_servers.server(2).is_primary);
}

// The third fault seen on the bench: LOST. All slots of a working primary were taken by commits
// that waited for stopped replicas, so that it answered no status; it was taken for lost, and went
// on to acknowledge through a server that had just come up.
TEST_F(TakeoverTest, AWorkingPrimaryThatTakesNoOrderIsNotReplaced) {
  m_servers.server(0).no_status = true;
  m_table.Put("fences", "orders", Encode(FenceRow{7, "vm-1", true, m_table.now_ms}));
  EXPECT_FALSE(Run(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, AStoppedPrimaryLeadsAgainIfNoReplicaIsWhole) {
  m_servers.server(2).deaf = true;
  ASSERT_TRUE(m_servers.Commit(m_servers.server(0), "w1"));
  m_servers.server(1).silent = true;
  m_table.Put("fences", "orders", Encode(FenceRow{7, "vm-1", true, m_table.now_ms}));
  EXPECT_TRUE(Run(TakeoverReason::kStalled));
  EXPECT_TRUE(m_servers.server(0).is_primary);
}

TEST_F(TakeoverTest, ALostAnswerLeavesTheRowOpenForTheNextTry) {
  m_servers.server(0).silent = true;
  m_lose_answer = true;
  EXPECT_FALSE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(Row().open);
  m_lose_answer = false;
  EXPECT_TRUE(Run(TakeoverReason::kFailed));
  ASSERT_EQ(m_orders.size(), 2U);
  EXPECT_LT(m_orders[0].second, m_orders[1].second);
  EXPECT_FALSE(Row().open);
}

TEST_F(TakeoverTest, AnotherHolderAtWorkIsLeftAlone) {
  m_table.Put("fences", "orders", Encode(FenceRow{7, "vm-2", false, m_table.now_ms - 100}));
  m_servers.server(0).silent = true;
  EXPECT_FALSE(Run(TakeoverReason::kFailed));
  m_table.now_ms += kQuietBeforeOrder.count() + 100;
  EXPECT_TRUE(Run(TakeoverReason::kFailed));
}

TEST_F(TakeoverTest, WithoutTheStoreNobodyIsPromoted) {
  m_servers.server(0).silent = true;
  m_table.away = true;
  EXPECT_FALSE(Run(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(TakeoverTest, ALeavingPrimaryHandsOverWithEverything) {
  m_servers.Commit(m_servers.server(0), "w1");
  m_servers.server(0).entry.leaving = true;
  GroupSettings settings;
  m_gateway.group->Update(m_servers.Entries(), settings);
  EXPECT_TRUE(Run(TakeoverReason::kLeaving));
  EXPECT_FALSE(m_servers.server(0).is_primary);
  const bool kept = std::any_of(m_orders.begin(), m_orders.end(), [&](const auto& order) {
    return m_servers.Find(order.first)->log.size() == 1;
  });
  EXPECT_TRUE(kept);
}

TEST_F(TakeoverTest, ReplicasThatADeadHolderStoppedReceiveAgain) {
  m_servers.server(1).paused_at = Term(2);
  m_servers.server(2).paused_at = Term(2);
  m_table.Put("fences", "orders", Encode(FenceRow{7, "vm-2", false, m_table.now_ms - 5000}));
  EXPECT_TRUE(Run(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(m_servers.Commit(m_servers.server(0), "w1"));
}

// Safety of the choice: whoever is chosen holds every commit that one replica had received.
RC_GTEST_PROP(SuccessorProperty, HoldsEveryAcknowledgedCommit, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 6);
  std::vector<StoppedServer> servers;
  std::vector<std::uint64_t> logs;
  std::uint64_t longest_replica = 0;
  for (std::size_t i = 0; i < count; ++i) {
    StoppedServer server;
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
  // The old primary may lead again, but never unheard.
  RC_ASSERT(servers[0].endpoint != *chosen || (servers[0].stopped && !servers[0].leaving));
}

TEST(StewardTest, SilenceOfOneProbeIsNoReasonAndABusyServerIsAlive) {
  StewardView view;
  view.has_servers = true;
  view.list_settled = true;
  view.has_primary = true;
  const TimePoint now = Clock::now();
  view.health.failing_since = now - Millis(2000);
  view.health.failures = 1;
  EXPECT_FALSE(JudgeTakeover(view, StewardPolicy(), Millis(0), now));
  view.health.failures = 2;
  EXPECT_EQ(JudgeTakeover(view, StewardPolicy(), Millis(0), now), TakeoverReason::kFailed);
  view.at_connection_limit = true;
  EXPECT_FALSE(JudgeTakeover(view, StewardPolicy(), Millis(0), now));
  view.at_connection_limit = false;
  view.list_settled = false;
  EXPECT_FALSE(JudgeTakeover(view, StewardPolicy(), Millis(0), now));
}

}  // namespace
}  // namespace cardamom::testing
