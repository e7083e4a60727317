// A takeover holds back acknowledgements, and promotes only a server whose log holds what callers
// have been told of.
#include <gtest/gtest.h>

#include "failover/acknowledgement_lease.h"
#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

class TakeoverHoldTest : public TakeoverFixture {
 protected:
  AcknowledgementGate& Gate() { return m_gateway.group->acknowledgements(); }
  bool IsHeld() { return Gate().hold().IsHeld(BootClock::now()); }

  Reply Write(Millis timeout) {
    Reply reply;
    m_gateway.Run([&]() -> asio::awaitable<void> {
      const auto statement = MakeWrite("w1", "a");
      const CallerState caller;
      const auto task = m_gateway.Task(statement, caller, Consistency::kPrimary, timeout);
      reply = co_await m_gateway.runner.Write(m_gateway.group, task);
    });
    return reply;
  }

  // Waits until the list of servers has been known for long enough to be complete.
  void SettleList() {
    m_gateway.Run([this]() -> asio::awaitable<void> {
      while (!m_gateway.group->IsListSettled()) {
        co_await Sleep(Millis(50));
      }
    });
    ASSERT_TRUE(m_gateway.group->IsListSettled());
  }

  // Ends the hold of `token` after `time`.
  void ReleaseAfter(Millis time, HoldRelease release) {
    Spawn(m_gateway.io, [this, time, release]() -> asio::awaitable<void> {
      co_await Sleep(time);
      Gate().Release(release);
    });
  }
};

// Guards against a lost commit (LOST on the bench): a replica that no proxy knows had received a
// commit, and another proxy had passed the acknowledgement on.
TEST_F(TakeoverHoldTest, LogThatLacksWhatAnotherProxyPassedOnIsNotPromoted) {
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  m_reported = {Term(1), LogIndex(2)};
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
  m_reported = {Term(1), LogIndex(1)};
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
}

// Guards against a lost commit (LOST on the bench): a proxy that the holder did not reach passed on
// what the old primary acknowledged after the logs were compared.
TEST_F(TakeoverHoldTest, NoOrderIsSentBeforeTheLeasesOfSilentProxiesHaveEnded) {
  m_fake_group.server(0).unresponsive = true;
  m_silent = {"vm-9"};
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kUnfinished);
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(IsHeld());
  EXPECT_FALSE(Row().open);
  // The servers work meanwhile.
  EXPECT_EQ(m_fake_group.server(1).paused_at, Term());
  m_table.now_ms += kAcknowledgementLease.count() - 1;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
  m_table.now_ms += 1;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
  EXPECT_EQ(m_orders.size(), 1U);
  EXPECT_EQ(Row().leases_end_at_ms, 0);
}

// Guards against a commit lost by a process that starts while the order is under way: it learns of
// the takeover from the notice only.
TEST_F(TakeoverHoldTest, NoOrderIsSentWithoutANotice) {
  m_fake_group.server(0).unresponsive = true;
  m_is_noticed = false;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
  m_is_noticed = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
}

// Guards against a commit lost since a later holder takes proxies for stopped whose holds have
// ended.
TEST(LeaseRowTest, LeasesHaveEndedOnlyWhileTheHoldsOutlastTheNextOrder) {
  const auto row = MarkNoticePosted(FenceRow(), 1000);
  EXPECT_FALSE(HaveLeasesEnded(FenceRow(), 100'000));
  EXPECT_FALSE(HaveLeasesEnded(row, row.leases_end_at_ms - 1));
  EXPECT_TRUE(HaveLeasesEnded(row, row.leases_end_at_ms));
  const auto holds_end_at = 1000 + (kLongestHold - kHoldBeforeMark).count();
  const auto latest = holds_end_at - (kTokenValidity + kAcknowledgementLease).count();
  EXPECT_TRUE(HaveLeasesEnded(row, latest - 1));
  EXPECT_FALSE(HaveLeasesEnded(row, latest));
  EXPECT_EQ(DecideFenceClaim(row, "vm-1", row.leases_end_at_ms - 1), FenceClaim::kWait);
}

TEST(AcknowledgementLeaseTest, NeedsACopyFromThisProcessThatIsRecent) {
  const BootTime start(std::chrono::seconds(100));
  const auto now = start + std::chrono::seconds(10);
  EXPECT_FALSE(HasAcknowledgementLease(start, std::nullopt, now));
  EXPECT_TRUE(HasAcknowledgementLease(start, now - kAcknowledgementLease + Millis(1), now));
  EXPECT_FALSE(HasAcknowledgementLease(start, now - kAcknowledgementLease, now));
  EXPECT_FALSE(HasAcknowledgementLease(start, start - Millis(1), start + Millis(1)));
}

TEST(AcknowledgementLeaseTest, AWitnessIsAReplicaThatEveryTakeoverCompares) {
  const Position commit{Term(2), LogIndex(7)};
  const WitnessCandidate witness{false, false, kWitnessListedFor, commit};
  EXPECT_TRUE(IsWitnessOf(witness, commit));
  EXPECT_FALSE(IsWitnessOf(witness, {Term(2), LogIndex(8)}));
  EXPECT_FALSE(IsWitnessOf(witness, {Term(1), LogIndex(7)}));
  auto other = witness;
  other.is_primary = true;
  EXPECT_FALSE(IsWitnessOf(other, commit));
  other = witness;
  other.leaving = true;
  EXPECT_FALSE(IsWitnessOf(other, commit));
  other = witness;
  other.listed_for -= Millis(1);
  EXPECT_FALSE(IsWitnessOf(other, commit));
}

// Guards against a lost commit that lies beyond the lower bound of what was passed on, at a server
// that is not listed yet.
TEST_F(TakeoverHoldTest, WhileServersLeaveOnlyALogThatReachesTheReportedEndIsPromoted) {
  SettleList();
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  m_reported = {Term(1), LogIndex(1)};
  m_reported_log_end = {Term(1), LogIndex(2)};
  auto entries = m_fake_group.Entries();
  entries.back().leaving = true;
  List(entries);
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
}

// Guards against a group that stays without a primary because the lost one held commits that no
// replica had received.
TEST_F(TakeoverHoldTest, AnUnreplicatedTailDelaysNoTakeoverOfAGroupWithAStableList) {
  SettleList();
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  m_reported = {Term(1), LogIndex(1)};
  m_reported_log_end = {Term(1), LogIndex(2)};
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
}

// Guards against a lost commit (LOST on the bench): the stopped primary had a longer log than the
// known replicas, and its end was taken for commits that no replica holds.
TEST_F(TakeoverHoldTest, StoppedPrimaryLeadsAgainIfOnlyItHoldsWhatWasPassedOn) {
  m_fake_group.server(1).replication_blocked = true;
  m_fake_group.server(2).replication_blocked = true;
  ASSERT_FALSE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_reported = {Term(1), LogIndex(1)};
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_TRUE(m_fake_group.server(0).is_primary);
  EXPECT_EQ(m_fake_group.server(0).log.size(), 1U);
}

// Guards against a lost commit (LOST on the bench): a server entered the list after it had been
// read, and this proxy's watch of the list showed it only after the order.
TEST_F(TakeoverHoldTest, ServerThatIsListedWhileTheOthersAreStoppedIsAskedFirst) {
  List(EntriesWithout("e2"));
  // A proxy that has never seen e2.
  m_gateway.group = std::make_shared<GroupClient>(m_gateway.context, GroupId("orders"));
  m_gateway.group->SetShare({.links = 2});
  GroupSettings settings;
  m_gateway.group->Update(EntriesWithout("e2"), settings);
  m_gateway.Run([this]() -> asio::awaitable<void> {
    co_await m_gateway.group->WaitForPrimary(Clock::now() + Millis(500));
  });
  m_fake_group.server(1).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  m_fake_group.server(0).unresponsive = true;
  m_fake_group.on_pause = [this] { m_listed.reset(); };
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(WasNothingLost());
}

// Guards against a lost commit: an order is carried out seconds late, and what was acknowledged in
// between is missing at the server that it promotes.
TEST_F(TakeoverHoldTest, UnansweredOrderKeepsTheHold) {
  m_fake_group.server(0).unresponsive = true;
  m_lose_answer = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kUnfinished);
  EXPECT_TRUE(IsHeld());
  m_lose_answer = false;
  m_fake_group.server(0).unresponsive = false;
  EXPECT_EQ(Run(TakeoverReason::kStalled), TakeoverResult::kUnfinished);
  EXPECT_TRUE(IsHeld());
  HandleLateOrders();
  PassPromotionTime();
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kStalled));
  EXPECT_FALSE(IsHeld());
}

TEST_F(TakeoverHoldTest, HoldEndsWithThePromotion) {
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_FALSE(IsHeld());
  EXPECT_TRUE(Write(Millis(1000)).ok());
}

TEST_F(TakeoverHoldTest, HoldEndsIfNobodyIsPromoted) {
  m_fake_group.server(0).unresponsive = true;
  m_fake_group.server(1).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_FALSE(IsHeld());
}

// Guards against commits that wait for 15 s: the holder died after it had asked for the hold.
TEST_F(TakeoverHoldTest, HoldOfADeadHolderEndsWithTheNextAttempt) {
  ASSERT_TRUE(Gate().Hold(7));
  m_table.Put("fences", "orders", EncodeJson(FenceRow{7, "vm-2", true, m_table.now_ms - 5000}));
  for (int i = 0; i < 3 && IsHeld(); ++i) {
    Run(TakeoverReason::kStalled);
    PassPromotionTime();
  }
  EXPECT_FALSE(IsHeld());
  EXPECT_TRUE(m_fake_group.server(0).is_primary);
  EXPECT_TRUE(m_orders.empty());
}

// As above, for the holder of a reserved token: it may have sent an order, so its token is made
// void before the hold ends.
TEST_F(TakeoverHoldTest, HoldOfAReservedTokenEndsOnceTheTokenIsVoid) {
  ASSERT_TRUE(Gate().Hold(8));
  FenceRow row;
  row.token = 8;
  row.reserved = TokenReservation{8, "vm-2", Term(1), {}};
  m_table.Put("fences", "orders", EncodeJson(row));
  for (int i = 0; i < 3 && IsHeld(); ++i) {
    Run(TakeoverReason::kStalled);
    PassPromotionTime();
  }
  EXPECT_FALSE(IsHeld());
  EXPECT_EQ(HandleOrder("e1", 8), OrderResult::kRejected);
}

TEST_F(TakeoverHoldTest, HolderGivesUpIfAProxyHasSeenAGreaterToken) {
  ASSERT_TRUE(Gate().Hold(1000));
  m_fake_group.server(0).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_TRUE(m_orders.empty());
  EXPECT_TRUE(IsHeld());
}

TEST_F(TakeoverHoldTest, WriteIsSentOnceTheHoldHasEnded) {
  ASSERT_TRUE(Gate().Hold(7));
  ReleaseAfter(Millis(100), {7, Term(1), std::nullopt});
  EXPECT_TRUE(Write(Millis(1000)).ok());
  EXPECT_EQ(m_fake_group.server(0).ran.size(), 1U);
}

TEST_F(TakeoverHoldTest, WriteThatCannotBeServedInTimeIsNotSent) {
  ASSERT_TRUE(Gate().Hold(7));
  const auto reply = Write(Millis(300));
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kBusy);
  EXPECT_TRUE(m_fake_group.server(0).ran.empty());
}

// Guards against a lost commit (LOST on the bench): the old primary acknowledged it through a
// server that the takeover had not stopped, and the promoted server lacks it.
TEST_F(TakeoverHoldTest, AcknowledgementBeyondTheChosenLogIsInDoubt) {
  m_fake_group.server(0).statement_duration = Millis(100);
  Spawn(m_gateway.io, [this]() -> asio::awaitable<void> {
    co_await Sleep(Millis(50));
    Gate().Hold(7);
  });
  ReleaseAfter(Millis(250), {7, Term(2), Position{Term(1), LogIndex(0)}});
  const auto reply = Write(Millis(1000));
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kInDoubt);
  EXPECT_EQ(m_fake_group.acknowledged.size(), 1U);
  EXPECT_EQ(Gate().hold().passed_on(), Position());
}

TEST_F(TakeoverHoldTest, AcknowledgementThatTheChosenLogHoldsIsPassedOnLate) {
  m_fake_group.server(0).statement_duration = Millis(100);
  Spawn(m_gateway.io, [this]() -> asio::awaitable<void> {
    co_await Sleep(Millis(50));
    Gate().Hold(7);
  });
  ReleaseAfter(Millis(250), {7, Term(2), Position{Term(1), LogIndex(1)}});
  EXPECT_TRUE(Write(Millis(1000)).ok());
}

TEST_F(TakeoverHoldTest, AcknowledgementIsInDoubtAtTheDeadlineOfItsStatement) {
  m_fake_group.server(0).statement_duration = Millis(100);
  Spawn(m_gateway.io, [this]() -> asio::awaitable<void> {
    co_await Sleep(Millis(50));
    Gate().Hold(7);
  });
  const auto began = Clock::now();
  const auto reply = Write(Millis(400));
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kInDoubt);
  EXPECT_LT(Clock::now() - began, Millis(600));
}

// The lines of a proxy tell what it had passed on when a hold began and what became of the rest.
TEST_F(TakeoverHoldTest, EventsTellWhatWasPassedOnAndWhatWaited) {
  ASSERT_TRUE(Write(Millis(1000)).ok());
  ASSERT_TRUE(Gate().Hold(7));
  const auto held = LatestDetail(EventCode::kAcknowledgementsHeld);
  EXPECT_TRUE(held.starts_with("token 7; passed on up to 1.1, log end 1.1; last of 1 passed on "))
      << held;
  EXPECT_NE(held.find(" ms ago, from 1.1 to 1.1; before: no token seen"), std::string::npos)
      << held;
  for (const std::uint64_t index : {2, 3}) {
    Spawn(m_gateway.io, [this, index]() -> asio::awaitable<void> {
      const AcknowledgedCommit commit{{Term(1), LogIndex(index)}, {Term(1), LogIndex(index)}};
      co_await Gate().PassOn(commit, Clock::now() + Millis(2000));
    });
  }
  Spawn(m_gateway.io, [this]() -> asio::awaitable<void> {
    const AcknowledgedCommit commit{{Term(1), LogIndex(4)}, {Term(1), LogIndex(4)}};
    co_await Gate().PassOn(commit, Clock::now() + Millis(10));
  });
  Wait(Millis(100));
  ASSERT_TRUE(Gate().Release({7, Term(2), Position{Term(1), LogIndex(2)}}));
  const auto released = LatestDetail(EventCode::kAcknowledgementsReleased);
  EXPECT_TRUE(
      released.starts_with("token 7, promoted from 1.2; 2 waited: 1 passed on, 1 in doubt, "
                           "up to 1.3; 1 in doubt before; last of 1 passed on "))
      << released;
  EXPECT_NE(released.find("; before: token 7 held for "), std::string::npos) << released;
  Wait(Millis(50));
  EXPECT_EQ(Gate().hold().passed_on(), (Position{Term(1), LogIndex(2)}));
}

TEST_F(TakeoverHoldTest, ReportNamesEveryProxyThatDidNotHold) {
  const auto stopped_at = Clock::now();
  HoldReport report;
  report.passed_on = {Term(1), LogIndex(2)};
  report.log_end = {Term(1), LogIndex(3)};
  report.answered = 2;
  EXPECT_EQ(DescribeHold(report, stopped_at), "passed on 1.2 to 1.3 by 2 proxies");
  report.asked_at = stopped_at - Millis(4);
  report.complete_at = stopped_at + Millis(9);
  report.silent = {"vm-1", "vm-2"};
  report.not_running = {"vm-3"};
  report.refused_by = {"vm-4"};
  EXPECT_EQ(DescribeHold(report, stopped_at),
            "passed on 1.2 to 1.3 by 2 proxies (asked at -4 ms, complete at +9 ms), no answer of "
            "vm-1 vm-2, not running vm-3, refused by vm-4");
}

}  // namespace
}  // namespace cardamom::testing
