#include "group/group_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace cardamom {
namespace {

ServerState StateOf(const std::string& id,
                    std::uint64_t term,
                    std::uint64_t held,
                    std::uint64_t start = 1) {
  ServerState state;
  state.endpoint = EndpointId(id);
  state.fenced = Term(term);
  state.lineage = Term(term);
  state.held = LogIndex(held);
  state.applied = LogIndex(held);
  state.last = {Term(term), LogIndex(held)};
  state.start = LogIndex(start);
  state.is_primary = id == "s0";
  state.note = EncodeJson(
      TermNote{EndpointId("s0"), {EndpointId("s0"), EndpointId("s1"), EndpointId("s2")}});
  return state;
}

TimePoint At(int ms) {
  return TimePoint() + Millis(ms);
}

TEST(GroupViewTest, CommitNeedsAMajority) {
  GroupView view;
  view.Observe(StateOf("s0", 1, 5), At(1), At(1));
  EXPECT_FALSE(view.IsCommitted({Term(1), LogIndex(1)}));
  view.Observe(StateOf("s1", 1, 3), At(2), At(2));
  EXPECT_TRUE(view.IsCommitted({Term(1), LogIndex(3)}));
  EXPECT_FALSE(view.IsCommitted({Term(1), LogIndex(4)}));
}

TEST(GroupViewTest, NonVotersDoNotCount) {
  GroupView view;
  view.Observe(StateOf("s0", 1, 5), At(1), At(1));
  view.Observe(StateOf("s9", 1, 5), At(1), At(1));
  EXPECT_EQ(view.committed(), LogIndex(0));
}

TEST(GroupViewTest, OlderEntriesCountOnlyOnceTheTermsFirstEntryIsHeld) {
  GroupView view;
  view.Observe(StateOf("s0", 2, 8, 8), At(1), At(1));
  view.Observe(StateOf("s1", 2, 7, 8), At(1), At(1));
  EXPECT_EQ(view.committed(), LogIndex(0));
  view.Observe(StateOf("s1", 2, 8, 8), At(2), At(2));
  EXPECT_EQ(view.committed(), LogIndex(8));
  EXPECT_TRUE(view.IsTermComplete());
}

TEST(GroupViewTest, PositionsOfAnotherTermAreNotCommitted) {
  GroupView view;
  view.Observe(StateOf("s0", 2, 8), At(1), At(1));
  view.Observe(StateOf("s1", 2, 8), At(1), At(1));
  EXPECT_FALSE(view.IsCommitted({Term(1), LogIndex(3)}));
  EXPECT_FALSE(view.IsCommitted({Term(3), LogIndex(3)}));
}

TEST(GroupViewTest, AgeNeedsAMajorityThatIsNotFenced) {
  GroupView view;
  view.Observe(StateOf("s0", 1, 5), At(100), At(101));
  EXPECT_FALSE(view.IndexForAge(Millis(50), At(120)).has_value());
  view.Observe(StateOf("s1", 1, 5), At(110), At(111));
  EXPECT_EQ(view.IndexForAge(Millis(50), At(120)), LogIndex(5));
  EXPECT_FALSE(view.IndexForAge(Millis(10), At(120)).has_value());
}

TEST(GroupViewTest, FencedVotersDoNotConfirm) {
  GroupView view;
  view.Observe(StateOf("s0", 1, 5), At(100), At(101));
  auto fenced = StateOf("s1", 1, 5);
  fenced.fenced = Term(2);
  view.Observe(fenced, At(110), At(111));
  EXPECT_FALSE(view.ConfirmedAt().has_value());
  EXPECT_EQ(view.latest_observed_term(), Term(2));
}

TEST(GroupViewTest, LagIsTheTimeSinceTheFirstMissedSample) {
  GroupView view;
  view.Observe(StateOf("s0", 1, 5), At(100), At(100));
  view.Observe(StateOf("s0", 1, 9), At(200), At(200));
  view.Observe(StateOf("s1", 1, 5), At(210), At(210));
  EXPECT_EQ(view.LagOf(EndpointId("s1"), At(250)), Millis(50));
  EXPECT_EQ(view.LagOf(EndpointId("s0"), At(250)), Millis(0));
}

// Reference model: keeps every observation and computes the watermark from its definition.
struct ReferenceModel {
  struct Observation {
    std::string id;
    std::uint64_t term;
    std::uint64_t held;
  };
  std::vector<Observation> observations;

  std::uint64_t Committed() const {
    std::uint64_t best = 0;
    std::uint64_t term = 0;
    for (std::size_t n = 1; n <= observations.size(); ++n) {
      term = std::max(term, observations[n - 1].term);
      for (std::uint64_t index = 1; index <= 30; ++index) {
        int holders = 0;
        for (const char* voter : {"s0", "s1", "s2"}) {
          // The last observation of a voter counts, if it is of this term.
          const Observation* last = nullptr;
          for (std::size_t i = 0; i < n; ++i) {
            if (observations[i].id == voter) {
              last = &observations[i];
            }
          }
          holders += last != nullptr && last->term == term && last->held >= index ? 1 : 0;
        }
        if (holders >= 2) {
          best = std::max(best, index);
        }
      }
    }
    return best;
  }
};

RC_GTEST_PROP(GroupViewProperty, WatermarkEqualsTheReferenceModel, ()) {
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 2), rc::gen::inRange(1, 30)));
  GroupView view;
  ReferenceModel reference;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> last;
  int ms = 0;
  std::uint64_t term = 1;
  for (const auto& [server, term_step, held] : steps) {
    const auto id = "s" + std::to_string(server);
    term += server == 0 && term_step == 1 ? 1 : 0;
    // The log that a server holds in one lineage (under one term's primary) only grows.
    auto& [last_term, last_held] = last[id];
    const auto now_held = last_term == term ? std::max<std::uint64_t>(last_held, held)
                                            : static_cast<std::uint64_t>(held);
    last_term = term;
    last_held = now_held;
    ++ms;
    view.Observe(StateOf(id, term, now_held), At(ms), At(ms));
    reference.observations.push_back({id, term, now_held});
  }
  RC_ASSERT(view.committed().value() == reference.Committed());
}

RC_GTEST_PROP(GroupViewProperty, WatermarkNeverDecreases, ()) {
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 4), rc::gen::inRange(0, 50),
                     rc::gen::inRange(0, 100)));
  GroupView view;
  LogIndex before;
  Term term_before;
  for (const auto& [server, term, held, ms] : steps) {
    view.Observe(StateOf("s" + std::to_string(server), static_cast<std::uint64_t>(term),
                         static_cast<std::uint64_t>(held)),
                 At(ms), At(ms));
    RC_ASSERT(view.committed() >= before);
    RC_ASSERT(view.term() >= term_before);
    before = view.committed();
    term_before = view.term();
  }
}

}  // namespace
}  // namespace cardamom
