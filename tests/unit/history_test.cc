// Checks on hand-written histories that the history checker reports each kind of violation.
#include "bench/cluster/history.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cardamom {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

TimePoint At(int ms) {
  return TimePoint() + Millis(ms);
}

WriteRecord Write(const std::string& id, int session, int end, WriteOutcome outcome) {
  return {id, session, At(end - 1), At(end), outcome, ""};
}

ReadRecord Read(int session, int start, std::map<std::string, int> seen) {
  return {session, At(start), At(start + 1), std::nullopt, std::move(seen), true};
}

TEST(HistoryTest, AGoodHistoryHasNoViolation) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  history.Add(Write("b", 1, 10, WriteOutcome::kUnknown));
  history.Add(Write("c", 1, 12, WriteOutcome::kNotRun));
  history.Add(Read(0, 20, {{"a", 1}}));
  history.Add(Read(0, 30, {{"a", 1}, {"b", 1}}));
  EXPECT_THAT(history.FindViolations({{"a", 1}, {"b", 1}}), IsEmpty());
}

TEST(HistoryTest, FindsALostWrite) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  EXPECT_THAT(history.FindViolations({}), ElementsAre(HasSubstr("lost")));
}

TEST(HistoryTest, FindsDuplicateWrite) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  EXPECT_THAT(history.FindViolations({{"a", 2}}), ElementsAre(HasSubstr("doubled")));
}

TEST(HistoryTest, FindsARefusedWriteThatRan) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kNotRun));
  EXPECT_THAT(history.FindViolations({{"a", 1}}), ElementsAre(HasSubstr("ran")));
}

TEST(HistoryTest, FindsASessionThatMissesItsWrite) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  history.Add(Read(0, 11, {}));
  history.Add(Read(1, 11, {}));
  EXPECT_THAT(history.FindViolations({{"a", 1}}), ElementsAre(HasSubstr("stale: session 0")));
}

TEST(HistoryTest, FindsReadOlderThanItsMaxAge) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  auto read = Read(1, 200, {});
  read.max_age = Millis(100);
  history.Add(read);
  EXPECT_THAT(history.FindViolations({{"a", 1}}), ElementsAre(HasSubstr("stale: session 1")));
}

TEST(HistoryTest, FindsNonMonotonicReadsOfASession) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  history.Add(Read(1, 20, {{"a", 1}}));
  history.Add(Read(1, 30, {}));
  EXPECT_THAT(history.FindViolations({{"a", 1}}), ElementsAre(HasSubstr("back")));
}

TEST(HistoryTest, FindsWriteThatWasReadAndLaterLost) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kUnknown));
  history.Add(Read(1, 20, {{"a", 1}}));
  EXPECT_THAT(history.FindViolations({}), ElementsAre(HasSubstr("taken back")));
}

TEST(HistoryTest, MeasuresTheLongestGap) {
  History history;
  history.Add(Write("a", 0, 10, WriteOutcome::kAcknowledged));
  history.Add(Write("b", 0, 500, WriteOutcome::kUnknown));
  history.Add(Write("c", 0, 900, WriteOutcome::kAcknowledged));
  EXPECT_EQ(history.LongestGap(At(0)), Millis(890));
}

}  // namespace
}  // namespace cardamom
