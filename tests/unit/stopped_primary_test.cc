// A takeover that stopped the primary and promoted nobody leaves the group to the next one, which
// can ask no primary what the servers that left had acknowledged.
#include <gtest/gtest.h>

#include "failover/stopped_primary.h"
#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

class StoppedPrimaryTest : public TakeoverFixture {
 protected:
  // e1 ends, and nothing shows afterwards that the others hold what it had received. While e0,
  // which leaves, is replaced, a new server is listed, so that the attempt gives up.
  void GiveUpAfterStop() {
    ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
    Sample(0);
    m_reported = m_reported_log_end = m_fake_group.server(0).position();
    m_fake_group.server(0).entry.leaving = true;
    m_fake_group.Exit(m_fake_group.server(1));
    List(EntriesWithout("e1"));
    m_fake_group.on_pause = [this] {
      m_fake_group.on_pause = nullptr;
      m_fake_group.Restart(m_fake_group.server(1), 1000);
      m_fake_group.server(1).entry.id = EndpointId("e7");
      m_listed = m_fake_group.Entries();
    };
    EXPECT_EQ(Run(TakeoverReason::kLeaving), TakeoverResult::kBackedOff);
    EXPECT_EQ(m_fake_group.FindPrimary(), nullptr);
  }

  bool IsPromoted(std::size_t index) { return m_fake_group.server(index).is_primary; }
};

// Guards against a database that stays without a primary (RECOVER on the bench): the attempt that
// stopped the primary gave up, and later ones took it for a replica and waited for good for the
// servers that had left.
TEST_F(StoppedPrimaryTest, TheNextAttemptPromotesAServerThatHoldsItsLog) {
  GiveUpAfterStop();
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(IsPromoted(2));
  EXPECT_TRUE(WasNothingLost());
  EXPECT_FALSE(Row().stopped_primary);
}

// As above, for a proxy that has just started, once the former primary has left.
TEST_F(StoppedPrimaryTest, AnotherProxyPromotesAServerThatHoldsItsLog) {
  GiveUpAfterStop();
  m_fake_group.Exit(m_fake_group.server(0));
  StartProxy(EntriesWithout("e0"));
  EXPECT_TRUE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(IsPromoted(2));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: the only other server lacks what the stopped primary acknowledged.
TEST_F(StoppedPrimaryTest, AServerThatLacksItsLogIsNotPromoted) {
  m_fake_group.server(2).replication_blocked = true;
  GiveUpAfterStop();
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  m_fake_group.Exit(m_fake_group.server(0));
  StartProxy(EntriesWithout("e0"));
  EXPECT_FALSE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a lost commit: a server that has been promoted since acknowledged it.
TEST_F(StoppedPrimaryTest, AnOrderVoidsTheRecord) {
  GiveUpAfterStop();
  ASSERT_TRUE(Row().stopped_primary);
  m_lose_answer = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  ASSERT_EQ(m_orders.size(), 1U);
  EXPECT_TRUE(Row().open);
  EXPECT_FALSE(Row().stopped_primary);
  m_lose_answer = false;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_FALSE(Row().stopped_primary);
}

// Guards against a lost commit: the stopped primary restarted as the primary and acknowledged it.
TEST_F(StoppedPrimaryTest, APrimaryThatLeadsAgainVoidsTheRecord) {
  GiveUpAfterStop();
  ASSERT_TRUE(Row().stopped_primary);
  auto& former = m_fake_group.server(0);
  m_fake_group.Exit(former);
  m_fake_group.Restart(former, 2000, true);
  former.is_primary = true;
  former.entry.leaving = false;
  m_listed = m_fake_group.Entries();
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_FALSE(Row().stopped_primary);
}

// Guards against a lost commit: the holder of a reserved token, which the row does not show in use,
// promotes a server after the primary was stopped.
TEST_F(StoppedPrimaryTest, AReservedTokenIsVoidBeforeThePrimaryIsRecorded) {
  for (int second = 0; second < 10 && !Row().reserved; ++second) {
    Sample(0);
    MaintainRow(Millis(1000));
  }
  ASSERT_TRUE(Row().reserved);
  GiveUpAfterStop();
  ASSERT_TRUE(Row().stopped_primary);
  EXPECT_EQ(Row().void_below, Row().token);
  EXPECT_EQ(HandleOrder("e2", Row().reserved->token), OrderResult::kRejected);
}

TEST_F(StoppedPrimaryTest, AReservationRecordsThatAPrimaryLeads) {
  FenceRow row;
  row.token = 8;
  row.stopped_primary = StoppedPrimary{{EndpointId("e1"), 0}, true, Term(1), {}};
  m_table.Put("fences", "orders", EncodeJson(row));
  Wait(Millis(3200));
  Sample(0);
  MaintainRow(Millis(1000));
  EXPECT_FALSE(Row().stopped_primary);
}

StopResult Stopped(const std::string& id, std::uint64_t index, bool was_primary = false) {
  StopResult server;
  server.endpoint = EndpointId(id);
  server.was_primary = was_primary;
  server.stopped = true;
  server.received = {Term(2), LogIndex(index)};
  return server;
}

StopResult Lost(const std::string& id, bool was_primary = false) {
  StopResult server;
  server.endpoint = EndpointId(id);
  server.was_primary = was_primary;
  return server;
}

// A group whose primary e0 of term 3 has just been stopped.
StoppedGroup GroupAfterStop() {
  StoppedGroup group;
  group.servers = {Stopped("e0", 7, true), Stopped("e2", 7), Lost("e1")};
  group.newest = Term(3);
  group.primaries = {{EndpointId("e0"), Term(3)}};
  group.listed = {{EndpointId("e0"), 100}, {EndpointId("e2"), 100}};
  group.departed = {{EndpointId("e1"), 100}};
  return group;
}

// The same group in the next attempt.
StoppedGroup GroupLater() {
  auto group = GroupAfterStop();
  group.servers[0].was_primary = false;
  group.primaries.clear();
  return group;
}

const StoppedPrimary kLeavingPrimary{{EndpointId("e0"), 100},
                                     true,
                                     Term(3),
                                     {Term(2), LogIndex(7)}};

TEST(FindStoppedPrimaryTest, ReportsTheOnlyPrimaryOfTheNewestTerm) {
  auto expected = kLeavingPrimary;
  expected.leaving = false;
  EXPECT_EQ(FindStoppedPrimary(GroupAfterStop()), expected);
  EXPECT_EQ(FindStoppedPrimary(GroupLater()), std::nullopt);
}

TEST(FindStoppedPrimaryTest, ReportsNoneIfAnotherServerMayHaveLedSince) {
  auto newer_term = GroupAfterStop();
  newer_term.newest = Term(4);
  EXPECT_EQ(FindStoppedPrimary(newer_term), std::nullopt);
  auto two_primaries = GroupAfterStop();
  two_primaries.primaries[EndpointId("e2")] = Term(3);
  EXPECT_EQ(FindStoppedPrimary(two_primaries), std::nullopt);
  auto lost_primary = GroupAfterStop();
  lost_primary.servers.push_back(Lost("e3", true));
  EXPECT_EQ(FindStoppedPrimary(lost_primary), std::nullopt);
  lost_primary.servers.back().covered_by = {Term(2), LogIndex(7)};
  EXPECT_NE(FindStoppedPrimary(lost_primary), std::nullopt);
  auto not_stopped = GroupAfterStop();
  not_stopped.servers[0] = Lost("e0", true);
  EXPECT_EQ(FindStoppedPrimary(not_stopped), std::nullopt);
}

TEST(IsStillStoppedTest, HoldsWhileTheServerIsListedWithTheSameLogOrHasLeft) {
  EXPECT_TRUE(IsStillStopped(kLeavingPrimary, GroupLater()));
  auto left = GroupLater();
  left.listed.erase(left.listed.begin());
  left.servers.erase(left.servers.begin());
  EXPECT_TRUE(IsStillStopped(kLeavingPrimary, left));
}

TEST(IsStillStoppedTest, EndsOnceAServerMayHaveLedSince) {
  auto longer_log = GroupLater();
  longer_log.servers[0].received.index = LogIndex(8);
  EXPECT_FALSE(IsStillStopped(kLeavingPrimary, longer_log));
  auto silent = GroupLater();
  silent.servers[0] = Lost("e0");
  EXPECT_FALSE(IsStillStopped(kLeavingPrimary, silent));
  auto restarted = GroupLater();
  restarted.listed[0].started_ms = 200;
  EXPECT_FALSE(IsStillStopped(kLeavingPrimary, restarted));
  auto newer_term = GroupLater();
  newer_term.newest = Term(4);
  EXPECT_FALSE(IsStillStopped(kLeavingPrimary, newer_term));
  EXPECT_FALSE(IsStillStopped(kLeavingPrimary, GroupAfterStop()));
}

// Guards against a lost commit: a primary that crashed returns with its log and leads again, maybe
// only until it is lost for good.
TEST(IsStillStoppedTest, EndsOnceTheServerIsGoneThatMayHaveRestarted) {
  auto gone = GroupLater();
  gone.listed.erase(gone.listed.begin());
  gone.servers.erase(gone.servers.begin());
  auto crashed = kLeavingPrimary;
  crashed.leaving = false;
  EXPECT_FALSE(IsStillStopped(crashed, gone));
  gone.departed.push_back({EndpointId("e0"), 200});
  EXPECT_FALSE(IsStillStopped(kLeavingPrimary, gone));
}

TEST(CoverByStoppedPrimaryTest, CoversTheServersThatDidNotAnswer) {
  auto servers = GroupLater().servers;
  servers.push_back(Lost("e4"));
  servers.back().covered_by = {Term(2), LogIndex(5)};
  EXPECT_EQ(ChooseSuccessor(servers), std::nullopt);
  servers = CoverByStoppedPrimary(std::move(servers), kLeavingPrimary);
  EXPECT_EQ(ChooseSuccessor(servers), EndpointId("e2"));
  EXPECT_EQ(servers[3].covered_by, (Position{Term(2), LogIndex(5)}));
  servers[1].received.index = LogIndex(6);
  servers[0].leaving = true;
  EXPECT_EQ(ChooseSuccessor(servers), std::nullopt);
}

}  // namespace
}  // namespace cardamom::testing
