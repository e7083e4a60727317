#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "failover/promotion_plan.h"
#include "failover/suspicion.h"
#include "failover/term_row.h"

namespace cardamom {
namespace {

std::vector<EndpointId> Ids(std::initializer_list<const char*> names) {
  std::vector<EndpointId> ids;
  for (const auto* name : names) {
    ids.emplace_back(name);
  }
  return ids;
}

TEST(TermRowTest, TheSetsOfEveryTermSinceTheLastCompleteOneAreKept) {
  TermRow row;
  const auto first = row.Allocate(Ids({"a", "b", "c"}), "x").term;
  row.MarkComplete(first);
  row.Allocate(Ids({"a", "b", "d"}), "y");
  const auto third = row.Allocate(Ids({"b", "c", "d"}), "z").term;
  const auto task = row.PromotionTaskFor(third);
  ASSERT_TRUE(task);
  EXPECT_EQ(task->voter_sets.size(), 2U);
  EXPECT_EQ(task->allocation.voters, Ids({"b", "c", "d"}));
}

TEST(TermRowTest, CompleteTermNeverDecreases) {
  TermRow row;
  const auto first = row.Allocate(Ids({"a"}), "x").term;
  const auto second = row.Allocate(Ids({"a"}), "x").term;
  row.MarkComplete(second);
  row.MarkComplete(first);
  EXPECT_EQ(row.complete, second);
  EXPECT_FALSE(row.PromotionTaskFor(first));
  EXPECT_FALSE(row.PromotionTaskFor(second));
}

RC_GTEST_PROP(TermRowProperty, TermsAreNeverHandedOutTwice, (const std::vector<int>& steps)) {
  TermRow row;
  std::set<Term> seen;
  for (const int step : steps) {
    if (step % 3 != 0 || row.allocations.empty()) {
      RC_ASSERT(seen.insert(row.Allocate(Ids({"a", "b", "c"}), "o").term).second);
    } else if (step % 2 == 0) {
      row.MarkComplete(row.allocations.back().term);
    } else {
      row.Abandon(row.allocations.back().term);
    }
    RC_ASSERT(row.complete <= row.last);
  }
}

TEST(PromotionPlanTest, ASuspectsLogCountsOnlyWhenNeeded) {
  PromotionTask task{{Term(2), Ids({"a", "b", "c"}), "x"}, {Ids({"a", "b", "c"})}};
  PromotionPlan plan(task, Ids({"b", "c", "a"}), EndpointId("a"));
  plan.OnFenced(EndpointId("a"), {Term(1), LogIndex(9)});
  plan.OnFenced(EndpointId("b"), {Term(1), LogIndex(7)});
  ASSERT_TRUE(plan.IsFenced());
  EXPECT_EQ(plan.GreatestPosition().index, LogIndex(9));
  plan.OnFenced(EndpointId("c"), {Term(1), LogIndex(8)});
  EXPECT_EQ(plan.GreatestPosition().index, LogIndex(8));
  EXPECT_EQ(plan.Candidate(), EndpointId("c"));
}

TEST(PromotionPlanTest, CannotFinishWithoutAMajorityOfEverySet) {
  PromotionTask task{{Term(3), Ids({"a", "b", "c"}), "x"},
                     {Ids({"a", "b", "c"}), Ids({"c", "d", "e"})}};
  const PromotionPlan plan(task, Ids({"a", "b"}));
  EXPECT_FALSE(plan.CanFinish(Ids({"a", "b"})));
  EXPECT_FALSE(plan.CanFinish(Ids({"c", "d", "e"})));
  EXPECT_TRUE(plan.CanFinish(Ids({"a", "c", "d"})));
}

class SuspicionTest : public testing::Test {
 protected:
  PrimaryEvidence m_evidence{.voters = 3, .contact_ages = {Millis(0), Millis(0)}};
  SuspicionOptions m_options;
};

TEST_F(SuspicionTest, AHealthyPrimaryIsNotSuspected) {
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNone);
}

TEST_F(SuspicionTest, ASlowPeriodOf500MsIsNoFailure) {
  m_evidence.contact_ages = {Millis(600), Millis(650)};
  m_evidence.failing_for = Millis(600);
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNone);
}

TEST_F(SuspicionTest, NoContactWithAnyReplicaIsNoProgress) {
  m_evidence.contact_ages = {Millis(800), Millis(760)};
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNoProgress);
}

TEST_F(SuspicionTest, OneReplicaInContactIsProgress) {
  m_evidence.contact_ages = {Millis(5000), Millis(20)};
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNone);
}

TEST_F(SuspicionTest, ARefusedConnectionShortensTheLimit) {
  m_evidence.contact_ages = {Millis(250), Millis(250)};
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNone);
  m_evidence.failing_for = Millis(10);
  m_evidence.connection_refused = true;
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNoProgress);
}

TEST_F(SuspicionTest, UnreachableNeedsPeersThatAgree) {
  m_evidence.failing_for = Millis(1500);
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNone);
  m_evidence.peers_asked = 4;
  m_evidence.peers_without_contact = 2;
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kNone);
  m_evidence.peers_without_contact = 3;
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kUnreachable);
}

TEST_F(SuspicionTest, AnAbandonedPromotionIsDetected) {
  m_evidence.fenced_above_for = m_options.abandoned_limit;
  EXPECT_EQ(AssessPrimary(m_evidence, m_options), Suspicion::kAbandonedPromotion);
}

}  // namespace
}  // namespace cardamom
