// Orders that the platform leaves unanswered and carries out seconds later.
#include <gtest/gtest.h>

#include <algorithm>

#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

class LateOrderTest : public TakeoverFixture {
 protected:
  // Repeats attempts as the coordinator does, until the group has a primary.
  void RunUntilPrimary(TakeoverReason reason) {
    for (int i = 0; i < 5 && Run(reason) != TakeoverResult::kHasPrimary; ++i) {
      m_table.now_ms += 3000;
    }
  }

  FakeServer* Primary() {
    for (std::size_t i = 0; i < 3; ++i) {
      if (m_fake_group.server(i).is_primary) {
        return &m_fake_group.server(i);
      }
    }
    return nullptr;
  }

  void ExpectNoCommitLost() {
    ASSERT_NE(Primary(), nullptr);
    const auto& log = Primary()->log;
    for (const auto& text : m_fake_group.acknowledged) {
      EXPECT_TRUE(std::any_of(log.begin(), log.end(),
                              [&](const FakeCommit& commit) { return commit.text == text; }))
          << text << " is not in the log of " << Primary()->entry.id.value();
    }
  }
};

// Guards against a lost commit (LOST on the bench): an order without an answer is carried out after
// the next holder has compared the logs, and the server that it promoted acknowledges a commit that
// the server of the next order lacks.
TEST_F(LateOrderTest, AnEarlierOrderIsNotCarriedOutBehindTheComparisonOfTheNextHolder) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  m_lose_answer = true;
  ASSERT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  m_lose_answer = false;
  ASSERT_EQ(m_late_orders.size(), 1U);
  ASSERT_EQ(m_late_orders.front().first, "e1");
  // The old primary returns with a tail that nobody acknowledged; the ordered server is cut off
  // while the next holder compares.
  m_fake_group.server(0).unresponsive = false;
  ASSERT_FALSE(m_fake_group.Commit(m_fake_group.server(0), "unacknowledged"));
  m_fake_group.server(1).unresponsive = true;
  m_before_order = [this] {
    m_fake_group.server(1).unresponsive = false;
    HandleLateOrders();
    m_fake_group.server(0).replication_blocked = true;
    if (Primary() != nullptr) {
      m_fake_group.Commit(*Primary(), "w2");
    }
  };
  RunUntilPrimary(TakeoverReason::kStalled);
  m_before_order = nullptr;
  HandleLateOrders();
  ExpectNoCommitLost();
}

}  // namespace
}  // namespace cardamom::testing
