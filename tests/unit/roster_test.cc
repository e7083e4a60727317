// A process that has just started has no evidence of servers that left before, other than the
// roster in the group's row.
#include <gtest/gtest.h>

#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

// Longer than the 3 s until the server list counts as complete.
constexpr Millis kListSettles{3200};
// Longer than the time after which a server whose process is gone acknowledges nothing, and than
// that after which one that gives no answer counts as gone.
constexpr Millis kProcessGone{4100};
constexpr Millis kNoAnswer{8100};
// Longer than the pause between two attempts to record a roster.
constexpr Millis kNextRecord{1500};

class RosterTest : public TakeoverFixture {
 protected:
  // Lets `time` pass in parts that a run of the event loop may take.
  void WaitAndMaintain(Millis time) {
    for (; time > Millis(0); time -= Millis(1000)) {
      Sample(0);
      MaintainRow(std::min(time, Millis(1000)));
    }
    Sample(0);
  }

  // e1 ends, and a new server takes its address, with a log that the primary has sent it.
  void ReplaceFirstReplica() {
    m_fake_group.Exit(m_fake_group.server(1));
    m_fake_group.Restart(m_fake_group.server(1), 1000);
    m_fake_group.server(1).entry.id = EndpointId("e7");
    m_fake_group.server(1).log = m_fake_group.server(0).log;
    List(m_fake_group.Entries());
  }

  void LosePrimary() {
    m_fake_group.Exit(m_fake_group.server(0));
    m_listed = EntriesWithout("e0");
  }

  bool IsInRoster(const std::string& id) {
    const auto row = Row();
    return row.roster &&
           std::any_of(row.roster->servers.begin(), row.roster->servers.end(),
                       [&](const auto& server) { return server.endpoint.value() == id; });
  }

  // Writes a row whose roster names `ids`.
  void PutRoster(const std::vector<std::string>& ids, std::optional<Position> covered_by) {
    FenceRow row;
    row.token = 8;
    row.roster = GroupRoster{{}, covered_by};
    for (const auto& id : ids) {
      row.roster->servers.push_back({EndpointId(id), m_fake_group.Find(id)->entry.started_ms});
    }
    m_table.Put("fences", "orders", EncodeJson(row));
  }
};

// Guards against a database that stays without a primary after a restart of all processes: a server
// that had been replaced some time before counted as a second lost primary, since only the memory
// of the ended processes told that nothing is lost without it.
TEST_F(RosterTest, DatabaseThatLosesItsPrimaryAroundARestartOfAllProcessesGetsOneAgain) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  WaitAndMaintain(Millis(9000));
  ASSERT_TRUE(Row().reserved);
  ReplaceFirstReplica();
  WaitAndMaintain(kProcessGone + kNextRecord);
  LosePrimary();
  StartProxy(*m_listed);
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  // The restart is repeated while there is no primary.
  StartProxy(*m_listed);
  EXPECT_TRUE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: the replaced server and the lost primary alone held it, and the
// primary was lost before anything showed that the other servers had received it.
TEST_F(RosterTest, AServerIsNamedUntilAReplicaHoldsAllThatItMayHaveAcknowledged) {
  WaitAndMaintain(kListSettles);
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.Exit(m_fake_group.server(1));
  List(EntriesWithout("e1"));
  WaitAndMaintain(kNoAnswer + kNextRecord);
  EXPECT_TRUE(IsInRoster("e1"));
  m_fake_group.Exit(m_fake_group.server(0));
  auto entries = EntriesWithout("e0");
  std::erase_if(entries, [](const auto& entry) { return entry.id.value() == "e1"; });
  StartProxy(entries);
  EXPECT_FALSE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(WasNothingLost());
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a lost commit: the only survivor lags behind what servers that left before had
// acknowledged.
TEST_F(RosterTest, ASurvivorThatLacksWhatCoversTheOthersIsNotPromoted) {
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  PutRoster({"e0", "e2"}, m_fake_group.server(0).position());
  m_fake_group.Exit(m_fake_group.server(0));
  auto entries = EntriesWithout("e0");
  std::erase_if(entries, [](const auto& entry) { return entry.id.value() == "e1"; });
  StartProxy(entries);
  EXPECT_FALSE(EndsWithPrimaryAfterRestart());
  // The restart is repeated while there is no primary.
  StartProxy(entries);
  EXPECT_FALSE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a database that stays without a primary if that is lost soon after a server was
// replaced: the one that took over its address shows that its process has ended.
TEST_F(RosterTest, AServerWhoseAddressIsTakenOverLeavesTheRosterAtOnce) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  WaitAndMaintain(kListSettles);
  ReplaceFirstReplica();
  WaitAndMaintain(kNextRecord);
  EXPECT_TRUE(IsInRoster("e7"));
  EXPECT_FALSE(IsInRoster("e1"));
}

// Guards against a lost commit: a process that never saw a departed server recorded a roster
// without it.
TEST_F(RosterTest, AProcessThatHasJustStartedKeepsServersThatItHasNotSeenInTheRoster) {
  PutRoster({"e0", "e1", "e2"}, std::nullopt);
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.Exit(m_fake_group.server(1));
  StartProxy(EntriesWithout("e1"));
  Sample(0);
  WaitAndMaintain(kListSettles + kNextRecord);
  EXPECT_TRUE(IsInRoster("e1"));
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: a departed server was taken out of the roster although it was alive
// and acknowledged commits.
TEST_F(RosterTest, AServerThatAnswersStaysInTheRosterThoughItIsNotListed) {
  WaitAndMaintain(kListSettles);
  List(EntriesWithout("e1"));
  WaitAndMaintain(kNoAnswer + kNextRecord);
  EXPECT_TRUE(IsInRoster("e1"));
}

// Guards against a lost commit: the store came back from an older copy, and nothing in the new era
// named the servers that had left.
TEST_F(RosterTest, ARosterOfAnEarlierEraCounts) {
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  PutRoster({"e0", "e1", "e2"}, std::nullopt);
  m_table.Restore(m_table.TakeCopy());
  m_fake_group.Exit(m_fake_group.server(0));
  m_fake_group.Exit(m_fake_group.server(1));
  auto entries = EntriesWithout("e0");
  std::erase_if(entries, [](const auto& entry) { return entry.id.value() == "e1"; });
  StartProxy(entries);
  EXPECT_FALSE(EndsWithPrimaryAfterRestart());
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a lost commit: a server that joined after the roster was recorded is promoted, and
// is gone when all processes restart.
TEST_F(RosterTest, ATakeoverAddsTheServersThatItKnows) {
  const auto position = m_fake_group.server(0).position();
  PutRoster({"e0", "e1"}, position);
  m_fake_group.server(0).unresponsive = true;
  ASSERT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(IsInRoster("e0") && IsInRoster("e1") && IsInRoster("e2"));
  EXPECT_EQ(Row().roster->covered_by, position);
}

// Guards against a roster that is lost with the next takeover.
TEST_F(RosterTest, ATakeoverKeepsTheRoster) {
  WaitAndMaintain(kListSettles + Millis(200));
  const auto roster = Row().roster;
  ASSERT_TRUE(roster);
  m_fake_group.server(0).unresponsive = true;
  ASSERT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_EQ(Row().roster, roster);
}

// Guards against a lost commit: a process that has just started reserved a token for the servers
// that it knew, and used it although another one may have held the last commits.
TEST_F(RosterTest, NoTokenIsReservedWhileAServerOfTheRosterIsMissing) {
  auto entries = m_fake_group.Entries();
  PutRoster({"e0", "e1", "e2"}, std::nullopt);
  auto row = Row();
  row.roster->servers.push_back({EndpointId("e9"), 1});
  m_table.Put("fences", "orders", EncodeJson(row));
  StartProxy(entries);
  Sample(0);
  // Without a roster keeper, which would tell this process of the missing server too.
  for (int second = 0; second < 10; ++second) {
    m_gateway.Run([this]() -> asio::awaitable<void> {
      m_outage.MaintainReservation(m_gateway.group);
      co_await Sleep(Millis(1000));
    });
  }
  EXPECT_FALSE(Row().reserved);
  EXPECT_TRUE(IsInRoster("e9"));
}

// The roster costs calls to the store only when servers come or go.
TEST_F(RosterTest, ARosterIsRecordedOnce) {
  WaitAndMaintain(Millis(9000));
  ASSERT_TRUE(Row().roster);
  const auto calls = m_table.calls;
  WaitAndMaintain(Millis(4000));
  EXPECT_EQ(m_table.calls, calls);
}

FenceRow RowWith(std::optional<GroupRoster> roster, const std::vector<std::string>& reserved) {
  FenceRow row;
  row.roster = std::move(roster);
  if (!reserved.empty()) {
    row.reserved = TokenReservation();
    for (const auto& id : reserved) {
      row.reserved->servers.push_back({EndpointId(id), 1});
    }
  }
  return row;
}

TEST(LatestRosterTest, IsThatOfTheLatestEraWithTheServersOfLaterReservations) {
  const GroupRoster older{{{EndpointId("a"), 1}}, Position{Term(1), LogIndex(3)}};
  const GroupRoster newer{{{EndpointId("b"), 1}}, Position{Term(1), LogIndex(5)}};
  EXPECT_EQ(FindLatestRoster({RowWith(newer, {"c"}), RowWith(older, {})}), newer);
  auto expected = older;
  expected.servers.push_back({EndpointId("c"), 1});
  EXPECT_EQ(FindLatestRoster({RowWith(std::nullopt, {"c"}), RowWith(older, {"d"})}), expected);
  const GroupRoster reserved{{{EndpointId("c"), 1}}, std::nullopt};
  EXPECT_EQ(FindLatestRoster({RowWith(std::nullopt, {"c"}), RowWith(std::nullopt, {"d"})}),
            reserved);
  EXPECT_EQ(FindLatestRoster({FenceRow()}), std::nullopt);
}

}  // namespace
}  // namespace cardamom::testing
