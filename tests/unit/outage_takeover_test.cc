// A primary that is lost while the store is unavailable is replaced with a token reserved in
// advance, without losing an acknowledged commit.
#include <gtest/gtest.h>

#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

// Longer than the 3 s until the server list counts as complete and the 5 s for which a new
// reservation owner waits.
constexpr Millis kReserveWithin{9000};

class OutageTakeoverTest : public TakeoverFixture {
 protected:
  // Opens a link to each server, as statements do.
  void OpenReplicaLinks() {
    m_gateway.Run([this]() -> asio::awaitable<void> {
      for (const auto& [id, endpoint] : m_gateway.group->endpoints()) {
        co_await endpoint->pool->Warm(1, Clock::now() + Millis(500));
      }
    });
  }

  void Reserve() {
    const auto deadline = Clock::now() + kReserveWithin;
    while (!Row().reserved && Clock::now() < deadline) {
      m_gateway.Run([this]() -> asio::awaitable<void> {
        m_outage.MaintainReservation(m_gateway.group);
        co_await Sleep(Millis(50));
      });
    }
    ASSERT_TRUE(Row().reserved);
  }

  // Lets time pass until the list shows the processes that the links lead to.
  void LetLinksAge() {
    OpenReplicaLinks();
    Wait(Millis(3600));
    Wait(Millis(3600));
  }

  // Records that `holder` reserved token 8 while the group had the servers `reserved`.
  void RecordReservation(const std::string& holder, const std::vector<EndpointEntry>& reserved) {
    FenceRow row;
    row.token = 8;
    row.reserved = TokenReservation{8, holder, Term(1), {}};
    for (const auto& entry : reserved) {
      row.reserved->servers.push_back({entry.id, entry.started_ms});
    }
    m_table.Put("fences", "orders", EncodeJson(row));
  }

  // Makes the store unavailable to everyone. Only links opened at least 5 s before the loss of the
  // store are trusted, so the loss is dated 5 s ahead to have those opened so far trusted.
  void MakeStoreUnavailable() {
    m_table.unavailable = true;
    m_store_unavailable_since = Clock::now() + Millis(5001);
    m_other_home_reports = {StoreReport::kUnavailable, StoreReport::kUnavailable,
                            StoreReport::kNoAnswer};
  }
};

TEST_F(OutageTakeoverTest, DuringStoreOutageLostPrimaryIsReplacedByTheLongestLog) {
  OpenReplicaLinks();
  Reserve();
  MakeStoreUnavailable();
  m_fake_group.server(1).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
  EXPECT_TRUE(m_fake_group.server(2).is_primary);
  EXPECT_EQ(m_fake_group.server(2).log.size(), 1U);
}

TEST_F(OutageTakeoverTest, BacksOffIfTheStoreAnswersAnotherHomeOrTooFewReport) {
  OpenReplicaLinks();
  Reserve();
  MakeStoreUnavailable();
  m_other_home_reports = {StoreReport::kUnavailable, StoreReport::kUnavailable,
                          StoreReport::kUpToDate};
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  m_other_home_reports = {StoreReport::kUnavailable, StoreReport::kNoAnswer,
                          StoreReport::kNoAnswer};
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(OutageTakeoverTest, DoesNotPromoteWhileAReplicaDoesNotAnswer) {
  OpenReplicaLinks();
  Reserve();
  MakeStoreUnavailable();
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(1).unresponsive = true;
  m_fake_group.server(0).unresponsive = true;
  EXPECT_NE(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
  EXPECT_TRUE(m_orders.empty());
}

// A server that restarted in the outage answers under its old id with an empty log, and the list
// does not show the restart.
TEST_F(OutageTakeoverTest, BacksOffIfAReplicaIsReachedOnlyByALinkOpenedInTheOutage) {
  Reserve();
  MakeStoreUnavailable();
  m_store_unavailable_since = Clock::now() - Millis(20'000);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term());
}

TEST_F(OutageTakeoverTest, BacksOffIfAnotherProxyStoppedAReplica) {
  OpenReplicaLinks();
  Reserve();
  MakeStoreUnavailable();
  m_fake_group.server(2).paused_at = Term(2);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term());
}

TEST_F(OutageTakeoverTest, ATokenOfAnEarlierTermIsNotUsed) {
  OpenReplicaLinks();
  Reserve();
  MakeStoreUnavailable();
  m_fake_group.server(1).term = m_fake_group.server(2).term = Term(2);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
}

// Guards against an order with a token whose row was lost in a restore: it is lower than any token
// of the present era, and another proxy may have been reserved one since.
TEST_F(OutageTakeoverTest, ATokenReservedInAnEarlierEraIsNotUsed) {
  OpenReplicaLinks();
  Reserve();
  m_table.Restore(m_table.TakeCopy());
  MakeStoreUnavailable();
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
}

TEST_F(OutageTakeoverTest, AnUnansweredOrderIsRepeatedForTheSameServerOnly) {
  OpenReplicaLinks();
  Reserve();
  MakeStoreUnavailable();
  m_fake_group.server(0).unresponsive = true;
  m_lose_answer = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kUnfinished);
  m_lose_answer = false;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
  ASSERT_EQ(m_orders.size(), 2U);
  EXPECT_EQ(m_orders[0], m_orders[1]);
}

// The holder of the reserved token has stopped the replicas and its order is pending when the store
// returns. Another proxy finds the old primary healthy. It must not resume the replicas while the
// order may be carried out, since commits acknowledged then are lost.
TEST_F(OutageTakeoverTest, AfterTheOutageReplicasAreResumedOnlyOnceTheReservedOrderIsVoid) {
  FenceRow row;
  row.token = 8;
  row.reserved = TokenReservation{8, "vm-2", Term(1), {}};
  m_table.Put("fences", "orders", EncodeJson(row));
  m_fake_group.server(1).paused_at = m_fake_group.server(2).paused_at = Term(2);
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kUnfinished);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term(2));
  // The row shows that the reserved order is void, so that no other proxy waits again: in the run
  // store-away-at-crash eight proxies waited one after the other, 10 s in all.
  EXPECT_GT(Row().void_below, 8U);
  EXPECT_EQ(FindOutstandingOrder(Row(), false, std::nullopt), OutstandingOrder::kNone);
  EXPECT_EQ(HandleOrder("e1", 8), OrderResult::kRejected);
  PassPromotionTime();
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kHasPrimary);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term());
}

// Guards against a lost commit: a proxy that reaches no server finds no successor. When it reaches
// them again, it must not resume what the holder of a reserved token stopped meanwhile.
TEST_F(OutageTakeoverTest, WithoutAnAnswerOfAReplicaTheReservedOrderMayHaveBeenAccepted) {
  FenceRow row;
  row.token = 8;
  row.reserved = TokenReservation{8, "vm-2", Term(1), {}};
  m_table.Put("fences", "orders", EncodeJson(row));
  for (std::size_t i = 0; i < 3; ++i) {
    m_fake_group.server(i).unresponsive = true;
  }
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kUnfinished);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_GT(Row().settled_at_ms, m_table.now_ms);
}

// A reservation that nobody has used must not delay a failover.
TEST_F(OutageTakeoverTest, AnUnusedReservationOfAnotherProxyDelaysNoFailover) {
  RecordReservation("vm-2", m_fake_group.Entries());
  LetLinksAge();
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
  EXPECT_EQ(HandleOrder("e2", 8), OrderResult::kRejected);
}

// Guards against a lost commit: the holder of a reserved token has stopped the replicas that it
// knows, and its order is pending. A server that joined since is not paused, so the next holder
// resumed the others, and the order was carried out behind commits acknowledged then.
TEST_F(OutageTakeoverTest, AServerThatJoinedSinceDoesNotShowThatTheReservedTokenIsUnused) {
  RecordReservation("vm-2", EntriesWithout("e2"));
  m_fake_group.server(1).paused_at = Term(2);
  LetLinksAge();
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kUnfinished);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term(2));
  EXPECT_GT(Row().settled_at_ms, m_table.now_ms);
}

// As above, with a server that restarted since, as the list shows.
TEST_F(OutageTakeoverTest, AServerThatRestartedSinceDoesNotShowThatTheReservedTokenIsUnused) {
  auto reserved = m_fake_group.Entries();
  reserved.back().started_ms -= 1;
  RecordReservation("vm-2", reserved);
  m_fake_group.server(1).paused_at = Term(2);
  LetLinksAge();
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kUnfinished);
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term(2));
}

// As above, with a server whose restart the list may not show yet.
TEST_F(OutageTakeoverTest, AServerThatMayHaveJustRestartedDoesNotShowThatTheReservedTokenIsUnused) {
  RecordReservation("vm-2", m_fake_group.Entries());
  m_fake_group.server(1).paused_at = Term(2);
  LetLinksAge();
  m_fake_group.Exit(m_fake_group.server(2));
  m_fake_group.Restart(m_fake_group.server(2), m_fake_group.server(2).entry.started_ms);
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kUnfinished);
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term(2));
}

// Guards against a lost commit: a proxy that is not reached has a lease again once the store is
// available, and passes on what the former primary acknowledged.
TEST_F(OutageTakeoverTest, AProxyThatGivesNoAnswerPreventsTheUseOfTheReservedToken) {
  OpenReplicaLinks();
  Reserve();
  m_fake_group.server(0).unresponsive = true;
  MakeStoreUnavailable();
  m_silent = {"vm-9"};
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
  // Nothing waits for the proxy, and the token stays usable.
  EXPECT_FALSE(m_gateway.group->acknowledgements().hold().IsHeld(BootClock::now()));
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term());
  m_silent.clear();
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
}

TEST_F(OutageTakeoverTest, AReservationIsMadeOncePerTermAndServers) {
  OpenReplicaLinks();
  Reserve();
  const auto before = Row().token;
  const auto calls = m_table.calls;
  m_gateway.Run([this]() -> asio::awaitable<void> {
    const auto until = Clock::now() + Millis(4000);
    while (Clock::now() < until) {
      m_outage.MaintainReservation(m_gateway.group);
      co_await Sleep(Millis(25));
    }
  });
  EXPECT_EQ(Row().token, before);
  EXPECT_EQ(m_table.calls, calls);
}

TEST(OutageRulesTest, ALeavingOrMissingServerForbidsAReservation) {
  ServerListSnapshot census;
  census.servers = {{EndpointId("a"), 1}, {EndpointId("b"), 1}, {EndpointId("c"), 1}};
  EXPECT_TRUE(MayReserve(census, FenceRow(), 0));
  census.changing = true;
  EXPECT_FALSE(MayReserve(census, FenceRow(), 0));
  census.changing = false;
  census.servers.pop_back();
  EXPECT_FALSE(MayReserve(census, FenceRow(), 0));
}

TEST(OutageRulesTest, AnOpenRowForbidsAReservation) {
  ServerListSnapshot census;
  census.servers = {{EndpointId("a"), 1}, {EndpointId("b"), 1}, {EndpointId("c"), 1}};
  FenceRow row;
  row.token = 3;
  row.open = true;
  EXPECT_FALSE(MayReserve(census, row, 1'000'000));
}

// Guards against a lost commit: the first row of an era was written by a reservation, and did not
// show that the reserved token of the era before may still be used.
TEST(OutageRulesTest, TheFirstReservationOfAnEraDoesNotHideThoseOfEarlierEras) {
  auto row = AddReservation(InitialFenceRow(StoreEra(1)), TokenReservation{0, "vm-1", Term(1), {}});
  row.open = false;
  EXPECT_EQ(FindOutstandingOrder(row, false, row.reserved), OutstandingOrder::kReservation);
  row.void_below = row.token;
  EXPECT_EQ(FindOutstandingOrder(row, false, row.reserved), OutstandingOrder::kNone);
}

class ReservedServersTest : public ::testing::Test {
 protected:
  static TokenReservation Reservation(std::vector<ServerIncarnation> servers) {
    return {0, "vm-1", Term(1), std::move(servers)};
  }
  static SurveyedServer Replica(const ServerIncarnation& server) {
    return {server.endpoint, true, false, Term(1), Term(), server.started_ms};
  }
  // Whether a holder must wait though `server` is a replica that is not paused.
  static bool MustWait(const FenceRow& row, const ServerIncarnation& server) {
    return MustWaitUntilSettled(FindOutstandingOrder(row, false, std::nullopt), false,
                                {Replica(server)}, FindReservedServers(row, std::nullopt));
  }

  const ServerIncarnation m_a{EndpointId("a"), 1};
  const ServerIncarnation m_b{EndpointId("b"), 1};
  const ServerIncarnation m_c{EndpointId("c"), 1};
  const ServerIncarnation m_d{EndpointId("d"), 1};
};

TEST_F(ReservedServersTest, OnlyAProcessThatTheReservationNamesShowsThatItIsUnused) {
  const auto row = AddReservation(FenceRow(), Reservation({m_a, m_b, m_c}));
  EXPECT_FALSE(MustWait(row, m_b));
  EXPECT_TRUE(MustWait(row, m_d));
  EXPECT_TRUE(MustWait(row, {EndpointId("b"), 2}));
  auto unknown = Replica(m_b);
  unknown.started_ms.reset();
  EXPECT_TRUE(
      MustWaitUntilSettled(OutstandingOrder::kReservation, false, {unknown}, {m_a, m_b, m_c}));
}

// The holder of a reservation that was replaced may use it without access to the store.
TEST_F(ReservedServersTest, AServerMustBeNamedByEveryReservationThatMayBeInUse) {
  auto row = AddReservation(FenceRow(), Reservation({m_a, m_b, m_c}));
  row = AddReservation(row, Reservation({m_a, m_b, m_d}));
  EXPECT_FALSE(MustWait(row, m_b));
  EXPECT_TRUE(MustWait(row, m_c));
  EXPECT_TRUE(MustWait(row, m_d));
  row = AddReservation(row, Reservation({m_a, m_c, m_d}));
  EXPECT_TRUE(MustWait(row, m_b));
  EXPECT_FALSE(MustWait(row, m_a));
  row.void_below = row.token;
  EXPECT_FALSE(MustWait(row, m_c));
}

TEST_F(ReservedServersTest, AReservationThatTheClaimantHoldsUnusedIsLeftOut) {
  const auto row = AddReservation(FenceRow(), Reservation({m_a, m_b, m_c}));
  const auto next = AddReservation(row, Reservation({m_a, m_b, m_d}), row.reserved);
  EXPECT_FALSE(MustWait(next, m_d));
  EXPECT_TRUE(FindReservedServers(row, row.reserved).empty());
}

// The row of an earlier version, or of an earlier era, does not tell the servers.
TEST_F(ReservedServersTest, NoServerShowsThatAnUnknownReservationIsUnused) {
  auto row = AddReservation(InitialFenceRow(StoreEra(1)), Reservation({m_a, m_b, m_c}));
  row.open = false;
  EXPECT_TRUE(MustWait(row, m_b));
  row = AddReservation(row, Reservation({m_a, m_b, m_c}));
  EXPECT_TRUE(MustWait(row, m_b));
}

TEST_F(ReservedServersTest, TheRowKeepsTheServersOfReplacedReservations) {
  auto row = AddReservation(FenceRow(), Reservation({m_a, m_b, m_c}));
  row = AddReservation(row, Reservation({m_a, m_b, m_d}));
  const auto decoded = DecodeJson<FenceRow>(EncodeJson(row));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->replaced_servers, row.replaced_servers);
}

}  // namespace
}  // namespace cardamom::testing
