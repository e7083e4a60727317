// A server that restarted answers under its old id, with a shorter log than the process that
// acknowledged commits.
#include <gtest/gtest.h>

#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

class RestartedServerTest : public TakeoverFixture {
 protected:
  // Commits one entry that e1 receives and e2 does not.
  void CommitOnFirstReplicaOnly() {
    m_fake_group.server(2).replication_blocked = true;
    ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
    Sample(0);
  }

  // e1 restarts without its log and receives nothing; the list does not show it yet.
  void FirstReplicaRestarts() {
    auto& server = m_fake_group.server(1);
    m_fake_group.Restart(server, server.entry.started_ms);
    server.replication_blocked = true;
  }
};

// Guards against a lost commit: the only replica that had received it restarted without its log,
// and answered under its old id before the list showed the restart.
TEST_F(RestartedServerTest, AnswerAfterAnUnlistedRestartIsNotThatOfTheReplica) {
  CommitOnFirstReplicaOnly();
  FirstReplicaRestarts();
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// As above, for a replica that departed, restarted and is not listed again yet.
TEST_F(RestartedServerTest, AnswerOfAnUnlistedServerAfterARestartIsNotThatOfTheReplica) {
  CommitOnFirstReplicaOnly();
  List(EntriesWithout("e1"));
  FirstReplicaRestarts();
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a failover that waits without need: the position that the primary had after the
// restart is on another replica.
TEST_F(RestartedServerTest, UnlistedRestartDoesNotDelayFailoverIfAnotherReplicaHoldsAll) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  FirstReplicaRestarts();
  m_gateway.Run([this]() -> asio::awaitable<void> {
    const auto endpoint = m_gateway.group->Find(EndpointId("e1"));
    const auto status = co_await m_gateway.group->SendControlRequest(endpoint, ControlRequest(),
                                                                     Clock::now() + Millis(200));
    EXPECT_TRUE(status);
  });
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(2).is_primary);
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary: the links to all replicas broke together
// with the primary, so all answers come on young links. The list would show a restart after 7 s.
TEST_F(RestartedServerTest, ReplicasThatAreReachedOnYoungLinksOnlyDelayFailover) {
  CommitOnFirstReplicaOnly();
  for (std::size_t i = 1; i < 3; ++i) {
    m_gateway.group->Find(m_fake_group.server(i).entry.id)->pool->CloseIdle();
  }
  m_fake_group.server(0).unresponsive = true;
  const auto lost_at = Clock::now();
  while (!EndsWithPrimary(TakeoverReason::kFailed) && Clock::now() - lost_at < Millis(9000)) {
    Wait(Millis(200));
  }
  EXPECT_TRUE(m_fake_group.server(1).is_primary);
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: a leaving primary reported its status, restarted without its log
// and then answered the stop as a replica. Its empty log passed for the whole log of the old
// primary, and a replica that lacked commits for one that held them all.
TEST_F(RestartedServerTest, PrimaryThatRestartsBeforeTheStopDoesNotShowItsLog) {
  m_fake_group.server(1).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  Sample(0);
  m_fake_group.server(0).entry.leaving = true;
  List(m_fake_group.Entries());
  m_fake_group.server(0).restarts_after_status = true;
  m_fake_group.server(2).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kLeaving));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: a paused replica restarted after its log had been compared. It
// received again, and acknowledged a commit of the primary, which this proxy did not reach.
TEST_F(RestartedServerTest, PausedReplicaThatReceivesAgainBeforeTheOrderEndsTheAttempt) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  Sample(0);
  m_fake_group.server(0).cut_off = true;
  m_fake_group.server(2).restarts_after_pause = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
  EXPECT_EQ(m_fake_group.acknowledged.size(), 2U);
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(2).is_primary);
  EXPECT_TRUE(WasNothingLost());
}

}  // namespace
}  // namespace cardamom::testing
