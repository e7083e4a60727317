// Acknowledgements are held back during a takeover and judged by its outcome.
#include <gtest/gtest.h>

#include "failover/acknowledgement_hold.h"

namespace cardamom::testing {
namespace {

using Verdict = AcknowledgementVerdict;

Position At(std::uint64_t term, std::uint64_t index) {
  return {Term(term), LogIndex(index)};
}

class AcknowledgementHoldTest : public ::testing::Test {
 protected:
  Verdict Judge(Position position, bool has_waited = false) const {
    return m_hold.Judge({position, position}, has_waited, m_now);
  }

  AcknowledgementHold m_hold;
  BootTime m_now = BootTime(std::chrono::hours(1));
};

TEST_F(AcknowledgementHoldTest, PassesOnWhatNoTakeoverConcerns) {
  EXPECT_EQ(Judge(At(1, 1)), Verdict::kPassOn);
  EXPECT_FALSE(m_hold.IsHeld(m_now));
  EXPECT_EQ(m_hold.passed_on(), Position());
}

TEST_F(AcknowledgementHoldTest, PromotionDecidesByTheEndOfTheChosenLog) {
  ASSERT_TRUE(m_hold.Hold(7, m_now));
  EXPECT_EQ(Judge(At(1, 1)), Verdict::kWait);
  EXPECT_EQ(Judge(At(2, 1)), Verdict::kWait);
  ASSERT_TRUE(m_hold.Release({7, Term(2), At(1, 10)}));
  EXPECT_EQ(Judge(At(1, 10), true), Verdict::kPassOn);
  EXPECT_EQ(Judge(At(1, 11), true), Verdict::kInDoubt);
  EXPECT_EQ(Judge(At(2, 11), true), Verdict::kPassOn);
}

// Guards against an acknowledgement of the old primary that arrives after the takeover has ended.
TEST_F(AcknowledgementHoldTest, LateAnswerOfTheOldPrimaryIsInDoubt) {
  ASSERT_TRUE(m_hold.Release({7, Term(2), At(1, 10)}));
  EXPECT_EQ(Judge(At(1, 11)), Verdict::kInDoubt);
  // The next promotion starts from a log in which number 11 belongs to another commit.
  ASSERT_TRUE(m_hold.Release({8, Term(3), At(2, 15)}));
  EXPECT_EQ(Judge(At(1, 11)), Verdict::kInDoubt);
  EXPECT_EQ(Judge(At(1, 10)), Verdict::kPassOn);
  EXPECT_EQ(Judge(At(2, 15)), Verdict::kPassOn);
  EXPECT_EQ(Judge(At(2, 16)), Verdict::kInDoubt);
}

// Guards against a commit that was dropped by a promotion of which this proxy was not told.
TEST_F(AcknowledgementHoldTest, LogThatEndsInALaterTermProvesNothing) {
  ASSERT_TRUE(m_hold.Release({9, Term(5), At(4, 150)}));
  EXPECT_EQ(Judge(At(1, 134)), Verdict::kInDoubt);
  EXPECT_EQ(Judge(At(4, 134)), Verdict::kPassOn);
}

TEST_F(AcknowledgementHoldTest, KeptPrimaryConfirmsItsOwnTermOnly) {
  ASSERT_TRUE(m_hold.Hold(7, m_now));
  ASSERT_TRUE(m_hold.Release({8, Term(2), std::nullopt}));
  EXPECT_EQ(Judge(At(2, 20), true), Verdict::kPassOn);
  EXPECT_EQ(Judge(At(1, 11), true), Verdict::kInDoubt);
}

TEST_F(AcknowledgementHoldTest, LowerTokenChangesNothing) {
  ASSERT_TRUE(m_hold.Hold(7, m_now));
  EXPECT_FALSE(m_hold.Hold(6, m_now));
  EXPECT_FALSE(m_hold.Release({6, Term(1), std::nullopt}));
  EXPECT_TRUE(m_hold.IsHeld(m_now));
  EXPECT_TRUE(m_hold.Hold(7, m_now));
  EXPECT_TRUE(m_hold.Hold(8, m_now));
  EXPECT_FALSE(m_hold.Release({7, Term(1), std::nullopt}));
  EXPECT_TRUE(m_hold.IsHeld(m_now));
}

// Guards against commits that wait for 15 s: the request to hold arrives after the takeover has
// ended.
TEST_F(AcknowledgementHoldTest, LateRequestBeginsNoHold) {
  ASSERT_TRUE(m_hold.Release({7, Term(2), At(1, 10)}));
  EXPECT_FALSE(m_hold.Hold(7, m_now));
  EXPECT_FALSE(m_hold.IsHeld(m_now));
}

TEST_F(AcknowledgementHoldTest, EndsByItselfOnceNoOrderCanBeOutstanding) {
  ASSERT_TRUE(m_hold.Hold(7, m_now));
  m_now += kHoldWithoutNews;
  EXPECT_TRUE(m_hold.IsLeftBehind(m_now));
  m_now += kLongestHold - kHoldWithoutNews - Millis(1);
  EXPECT_TRUE(m_hold.IsHeld(m_now));
  m_now += Millis(1);
  EXPECT_FALSE(m_hold.IsHeld(m_now));
  EXPECT_FALSE(m_hold.IsLeftBehind(m_now));
  // Nobody has told whether the log still holds what was acknowledged meanwhile.
  EXPECT_EQ(Judge(At(1, 11), true), Verdict::kInDoubt);
  EXPECT_EQ(Judge(At(1, 12), false), Verdict::kPassOn);
}

TEST_F(AcknowledgementHoldTest, ReportsTheLeastLogThatHoldsAllPassedOn) {
  m_hold.OnPassedOn({At(1, 9), At(1, 30)});
  m_hold.OnPassedOn({At(1, 7), At(1, 31)});
  EXPECT_EQ(m_hold.passed_on(), At(1, 9));
  EXPECT_EQ(m_hold.log_end(), At(1, 31));
}

// Guards against a group without a primary: a commit that a takeover has lost must not keep later
// ones from promoting a server.
TEST_F(AcknowledgementHoldTest, PromotionLowersWhatIsReported) {
  m_hold.OnPassedOn({At(1, 12), At(1, 12)});
  ASSERT_TRUE(m_hold.Release({7, Term(2), At(1, 10)}));
  EXPECT_EQ(m_hold.passed_on(), At(1, 10));
  EXPECT_EQ(m_hold.log_end(), At(1, 10));
  ASSERT_TRUE(m_hold.Release({8, Term(2), std::nullopt}));
  EXPECT_EQ(m_hold.passed_on(), At(1, 10));
}

}  // namespace
}  // namespace cardamom::testing
