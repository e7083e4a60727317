// A server that has disappeared from the list may hold acknowledged commits that no listed replica
// has received.
#include <gtest/gtest.h>

#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

// Longer than the time after which a server whose process is gone acknowledges nothing.
constexpr Millis kGone{4100};

class DepartedServerTest : public TakeoverFixture {
 protected:
  // Commits one entry that e1 receives and e2 does not.
  void CommitOnFirstReplicaOnly() {
    m_fake_group.server(2).replication_blocked = true;
    ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
    Sample(0);
  }

  // Lets e2 receive what it lacks.
  void CatchUp() {
    m_fake_group.server(2).replication_blocked = false;
    m_fake_group.server(2).log = m_fake_group.server(0).log;
  }

  // e1 ends and, once the list no longer shows it, `time` passes.
  void FirstReplicaDeparts(Millis time) {
    m_fake_group.Exit(m_fake_group.server(1));
    List(EntriesWithout("e1"));
    Wait(time);
  }

  // The row of the group names all servers, as it does once a token was reserved.
  void Reserve() {
    FenceRow row;
    row.token = 8;
    row.reserved = TokenReservation{8, "vm-2", Term(1), {}};
    for (const auto& entry : m_fake_group.Entries()) {
      row.reserved->servers.push_back({entry.id, entry.started_ms});
    }
    m_table.Put("fences", "orders", EncodeJson(row));
  }

  void StartProxyThatDoesNotKnowTheFirstReplica() {
    Reserve();
    StartProxy(EntriesWithout("e1"));
  }

  void AnnounceThatFirstReplicaLeaves() {
    auto entries = m_fake_group.Entries();
    entries[1].leaving = true;
    List(entries);
  }
};

// Guards against a lost commit: the only replica that had received it departed, and was ignored
// after 4 s although the other one lagged behind.
TEST_F(DepartedServerTest, IsNotIgnoredWhileTheOthersLag) {
  CommitOnFirstReplicaOnly();
  FirstReplicaDeparts(kGone);
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a group that stays without a primary after a replica is gone for good.
TEST_F(DepartedServerTest, IsIgnoredOnceAnotherReplicaHoldsAllThatItCanHaveAcknowledged) {
  CommitOnFirstReplicaOnly();
  FirstReplicaDeparts(kGone);
  Sample(0);
  CatchUp();
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(2).is_primary);
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: the primary crashed soon after the departed replica acknowledged
// its last commits, so no position of the primary is known that covers them.
TEST_F(DepartedServerTest, IsNotIgnoredIfThePrimaryWasNotAskedAfterTheDeparture) {
  Sample(0);
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  FirstReplicaDeparts(kGone);
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
  // The crashed primary returns with its log.
  m_fake_group.server(0).unresponsive = false;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(0).is_primary);
}

// Guards against a lost commit: a primary that was just promoted held commits of the former primary
// that the other replica had not received yet. The former primary departed and was ignored, so that
// the lagging replica counted as the longest log.
TEST_F(DepartedServerTest, FormerPrimaryIsNotIgnoredWhileOnlyThePromotedOneHoldsItsCommits) {
  CommitOnFirstReplicaOnly();
  m_fake_group.server(0).unresponsive = true;
  ASSERT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  ASSERT_TRUE(m_fake_group.server(1).is_primary);
  m_fake_group.Exit(m_fake_group.server(0));
  List(EntriesWithout("e0"));
  Wait(kGone);
  Sample(1);
  m_fake_group.server(1).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary: the list drops a crashed primary, which
// gives no position after its departure.
TEST_F(DepartedServerTest, LostPrimaryThatIsNoLongerListedIsReplaced) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.Exit(m_fake_group.server(0));
  List(EntriesWithout("e0"));
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary: the crashed primary returned at its address,
// under a new id and with its log, and the replica that had acknowledged with it is gone for good.
TEST_F(DepartedServerTest, ACrashedPrimaryThatReturnsUnderANewIdIsPromotedWithItsLog) {
  CommitOnFirstReplicaOnly();
  m_fake_group.Exit(m_fake_group.server(0));
  m_fake_group.Exit(m_fake_group.server(1));
  auto entries = EntriesWithout("e0");
  entries.erase(entries.begin());
  List(entries);
  Wait(kGone);
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
  m_fake_group.Restart(m_fake_group.server(0), 1000, true);
  m_fake_group.server(0).is_primary = false;
  m_fake_group.server(0).entry.id = EndpointId("e9");
  List(EntriesWithout("e1"));
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(0).is_primary);
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: a server that started without a log at the address of a departed
// replica stood for that replica's log.
TEST_F(DepartedServerTest, AnEmptyServerAtItsAddressDoesNotStandForADepartedReplica) {
  CommitOnFirstReplicaOnly();
  FirstReplicaDeparts(Millis(10));
  m_fake_group.Restart(m_fake_group.server(1), 1000);
  m_fake_group.server(1).replication_blocked = true;
  m_fake_group.server(1).entry.id = EndpointId("e7");
  List(m_fake_group.Entries());
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary for seconds, though a server that took over
// the departed one's address shows that it has ended.
TEST_F(DepartedServerTest, IsCoveredAtOnceIfAnotherServerHasItsAddress) {
  CommitOnFirstReplicaOnly();
  m_fake_group.Exit(m_fake_group.server(1));
  m_fake_group.Restart(m_fake_group.server(1), 1000);
  m_fake_group.server(1).entry.id = EndpointId("e7");
  List(m_fake_group.Entries());
  Sample(0);
  CatchUp();
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// As above, while the other replica lags.
TEST_F(DepartedServerTest, IsNotIgnoredForAnotherServerAtItsAddressWhileTheOthersLag) {
  CommitOnFirstReplicaOnly();
  m_fake_group.Exit(m_fake_group.server(1));
  m_fake_group.Restart(m_fake_group.server(1), 1000);
  m_fake_group.server(1).replication_blocked = true;
  m_fake_group.server(1).entry.id = EndpointId("e7");
  List(m_fake_group.Entries());
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: a replica that was not listed any more had no free slot to obey the
// stop, and counted as gone although it answered and still acknowledged commits.
TEST_F(DepartedServerTest, AReplicaThatIsTooBusyToStopIsNotGone) {
  Sample(0);
  List(EntriesWithout("e1"));
  Wait(kGone);
  Sample(0);
  CommitOnFirstReplicaOnly();
  m_fake_group.server(0).unresponsive = true;
  m_fake_group.server(1).slots_exhausted = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: the attempt began before the store was known to have been away, and
// compared logs while living servers were missing from the list.
TEST_F(DepartedServerTest, NoLogsAreComparedWhileServersReturnToTheList) {
  m_fake_group.server(0).unresponsive = true;
  m_gateway.group->ExpectListChanges(Millis(2000));
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a lost commit: a server was listed after the others had been asked, and held
// commits that they lacked.
TEST_F(DepartedServerTest, AServerThatIsListedDuringTheTakeoverIsAskedBeforeAnOrder) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  auto late = m_fake_group.Entries();
  List(EntriesWithout("e1"));
  List(m_fake_group.Entries());
  m_fake_group.server(0).unresponsive = true;
  auto joined = m_fake_group.server(1).entry;
  joined.id = EndpointId("e8");
  late.push_back(joined);
  bool listed = false;
  m_fake_group.on_pause = [&] {
    if (!listed) {
      listed = true;
      GroupSettings settings;
      m_gateway.group->Update(late, settings);
    }
  };
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(listed);
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a lost commit: a replica that left as announced did not count as departed,
// although it had acknowledged commits until its end.
TEST_F(DepartedServerTest, AnnouncedDepartureIsNotIgnoredWhileTheOthersLag) {
  CommitOnFirstReplicaOnly();
  AnnounceThatFirstReplicaLeaves();
  FirstReplicaDeparts(Millis(10));
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

TEST_F(DepartedServerTest, AnnouncedDepartureIsIgnoredOnceAnotherReplicaHoldsItsCommits) {
  CommitOnFirstReplicaOnly();
  AnnounceThatFirstReplicaLeaves();
  FirstReplicaDeparts(kGone);
  Sample(0);
  CatchUp();
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: a replica that had departed returned without its log under its old
// id, and counted as the replica that had departed.
TEST_F(DepartedServerTest, ReturnWithoutItsLogDoesNotEndADeparture) {
  CommitOnFirstReplicaOnly();
  FirstReplicaDeparts(Millis(10));
  m_fake_group.Restart(m_fake_group.server(1), 1000);
  m_fake_group.server(1).replication_blocked = true;
  List(m_fake_group.Entries());
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary: a replica that is listed again, such as
// after an outage of the store, has not departed.
TEST_F(DepartedServerTest, ReturnOfTheSameProcessEndsADeparture) {
  CommitOnFirstReplicaOnly();
  List(EntriesWithout("e1"));
  List(m_fake_group.Entries());
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_fake_group.server(1).is_primary);
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: the list lacked a server that lived, such as after an outage of the
// store, and this proxy, which started later, had never seen it. The row of the group names it.
TEST_F(DepartedServerTest, ServerThatWasNeverListedIsNotIgnoredWhileTheOthersLag) {
  CommitOnFirstReplicaOnly();
  StartProxyThatDoesNotKnowTheFirstReplica();
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary: the row of the group names a server that has
// been gone since before this proxy started.
TEST_F(DepartedServerTest, ServerThatWasNeverListedIsIgnoredOnceAReplicaHoldsItsCommits) {
  CommitOnFirstReplicaOnly();
  m_fake_group.Exit(m_fake_group.server(1));
  CatchUp();
  StartProxyThatDoesNotKnowTheFirstReplica();
  Wait(Millis(4500));
  Wait(Millis(3600));
  Sample(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a group that stays without a primary: it was lost and dropped from the list before
// this proxy started.
TEST_F(DepartedServerTest, LostPrimaryThatWasNeverListedIsReplaced) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.Exit(m_fake_group.server(0));
  Reserve();
  StartProxy(EntriesWithout("e0"));
  EXPECT_TRUE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(WasNothingLost());
}

}  // namespace
}  // namespace cardamom::testing
