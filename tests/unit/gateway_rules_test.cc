// Decision rules of the gateway in virtual time: watermark samples, choice of servers, latency
// estimates, the server list, and the reading of settings.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/leaf/handle_errors.hpp>

#include "directory/server_list.h"
#include "group/watermark_history.h"
#include "routing/server_choice.h"
#include "settings/gateway_settings.h"

namespace cardamom {
namespace {

BootTime At(std::int64_t ms) {
  return BootTime(std::chrono::milliseconds(ms));
}

Position Pos(std::uint64_t index) {
  return {Term(1), LogIndex(index)};
}

TEST(WatermarkHistoryTest, ReturnsOldestSampleTakenSinceRequestedTime) {
  WatermarkHistory history(Millis(10'000));
  EXPECT_FALSE(history.PositionCovering(At(0)));
  history.Add(At(100), Pos(5));
  history.Add(At(200), Pos(9));
  EXPECT_EQ(history.PositionCovering(At(50)), Pos(5));
  EXPECT_EQ(history.PositionCovering(At(150)), Pos(9));
  EXPECT_FALSE(history.PositionCovering(At(201)));
}

// Guards against stale reads: compares PositionCovering(t) with a naive scan over all commits. A
// server that has applied PositionCovering(t) has every commit that was acknowledged before t.
RC_GTEST_PROP(WatermarkHistoryProperty, CoversEveryCommitAcknowledgedBefore, ()) {
  WatermarkHistory history(Millis(100'000));
  std::vector<std::int64_t> acknowledged_at;
  std::int64_t now = 0;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += *rc::gen::inRange<std::int64_t>(1, 30);
    if (*rc::gen::arbitrary<bool>()) {
      acknowledged_at.push_back(now);
    } else {
      history.Add(At(now), Pos(acknowledged_at.size()));
    }
  }
  const auto not_before = *rc::gen::inRange<std::int64_t>(0, now + 10);
  const auto covering = history.PositionCovering(At(not_before));
  RC_PRE(covering.has_value());
  for (std::size_t i = 0; i < acknowledged_at.size(); ++i) {
    if (acknowledged_at[i] < not_before) {
      RC_ASSERT(covering->index.value() >= i + 1);
    }
  }
}

TEST(WatermarkHistoryTest, LagIsTheAgeOfTheOldestSampleThatAServerLacks) {
  WatermarkHistory history(Millis(10'000));
  history.Add(At(100), Pos(5));
  history.Add(At(300), Pos(9));
  EXPECT_EQ(history.LagOf(Pos(9), At(400)), Millis(0));
  EXPECT_EQ(history.LagOf(Pos(5), At(400)), Millis(100));
  EXPECT_EQ(history.LagOf(Pos(4), At(400)), Millis(300));
}

ServerCandidate Candidate(const char* id,
                          bool primary,
                          Millis expected,
                          std::size_t outstanding = 0) {
  ServerCandidate option;
  option.endpoint = EndpointId(id);
  option.is_primary = primary;
  option.expected_latency = expected;
  option.outstanding = outstanding;
  return option;
}

// Guards against reads being sent to a slow replica while faster servers are available.
TEST(ServerChoiceTest, SlowReplicaRanksBehindOtherReplicaAndPrimary) {
  const auto order =
      RankServers({Candidate("p", true, Millis(30)), Candidate("slow", false, Millis(200)),
                   Candidate("r", false, Millis(40))},
                  ServerChoicePolicy());
  ASSERT_EQ(order.size(), 3U);
  EXPECT_EQ(order[0].value(), "r");
  EXPECT_EQ(order[1].value(), "p");
}

// Guards against attempts at replicas that lag too far behind to have the needed position.
TEST(ServerChoiceTest, LaggingReplicaIsExcluded) {
  auto behind = Candidate("r", false, Millis(10));
  behind.fresh = false;
  const auto order = RankServers({Candidate("p", true, Millis(500)), behind}, ServerChoicePolicy());
  ASSERT_EQ(order.size(), 1U);
  EXPECT_EQ(order[0].value(), "p");
}

// Guards against a burst of reads overloading one replica: outstanding statements raise its
// expected latency.
TEST(ServerChoiceTest, WorkInProgressMovesReadsToTheOtherReplica) {
  const auto order =
      RankServers({Candidate("near", false, Millis(30), 4), Candidate("far", false, Millis(45))},
                  ServerChoicePolicy());
  EXPECT_EQ(order.front().value(), "far");
}

TEST(LatencyEstimateTest, EstimateDecaysToBaseWithoutAnswers) {
  LatencyEstimate estimate(Millis(30));
  TimePoint now = Clock::now();
  for (int i = 0; i < 20; ++i) {
    estimate.OnResponse(Millis(300), now);
  }
  EXPECT_GT(estimate.ExpectedLatency(now), Millis(200));
  EXPECT_LT(estimate.ExpectedLatency(now + Millis(10'000)), Millis(35));
}

EndpointEntry Entry(const char* id) {
  EndpointEntry entry;
  entry.id = EndpointId(id);
  return entry;
}

TEST(ServerListTest, MissingEntriesStayForReturnTimeAfterStoreRecovers) {
  ServerList list(Millis(2200));
  TimePoint now = Clock::now();
  list.OnEntries({Entry("a"), Entry("b")}, now);
  list.OnStoreFailure();
  now += Millis(5000);
  list.OnEntries({Entry("a")}, now);
  EXPECT_EQ(list.Entries().size(), 2U);
  EXPECT_TRUE(list.HasRetainedEntries());
  now += Millis(2300);
  list.OnEntries({Entry("a")}, now);
  EXPECT_EQ(list.Entries().size(), 1U);
}

TEST(ServerListTest, LeavingEntryIsDroppedImmediately) {
  ServerList list(Millis(2200));
  const TimePoint now = Clock::now();
  auto leaving = Entry("b");
  leaving.leaving = true;
  list.OnEntries({Entry("a"), leaving}, now);
  list.OnEntries({Entry("a")}, now + Millis(10));
  EXPECT_EQ(list.Entries().size(), 1U);
}

// Entries that expire during a store outage look to a follower of the list like any other removed
// entry. Guards against dropping their servers before they had time to register again.
TEST(ServerListTest, EntryExpiredDuringUnnoticedOutageStaysForReturnTimeOnly) {
  ServerList list(Millis(2200));
  const TimePoint now = Clock::now();
  list.OnEntries({Entry("a"), Entry("b")}, now);
  list.OnEntries({Entry("a")}, now + Millis(10));
  EXPECT_EQ(list.Entries().size(), 2U);
  list.OnEntries({Entry("a")}, now + Millis(2000));
  EXPECT_EQ(list.Entries().size(), 2U);
  list.OnEntries({Entry("a")}, now + Millis(2211));
  EXPECT_EQ(list.Entries().size(), 1U);
  EXPECT_FALSE(list.HasRetainedEntries());
}

LeafResult<GatewaySettings> ReadSettingsOf(std::vector<std::string> arguments) {
  return GatewaySettings::Read(arguments, [](const std::string&) { return std::nullopt; });
}

std::vector<std::string> MinimalSettings() {
  return {"--vm-id=a", "--domain=d", "--store=10.0.0.1:1", "--orders=10.0.0.2:1"};
}

TEST(GatewaySettingsTest, DurationsMayBeWrittenInSeconds) {
  auto arguments = MinimalSettings();
  arguments.emplace_back("--stop-limit-ms=6.5s");
  arguments.emplace_back("--drain-ms=7000.0");
  const auto settings = ReadSettingsOf(arguments);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->stop_limit_ms, 6500);
  EXPECT_EQ(settings->drain_ms, 7000);
}

TEST(GatewaySettingsTest, EveryErrorIsReportedAtOnce) {
  std::string detail;
  boost::leaf::try_handle_all(
      [&]() -> LeafResult<void> {
        BOOST_LEAF_CHECK(ReadSettingsOf({"--event-ring=1.5", "--drain-ms=x", "--store=nowhere"}));
        return {};
      },
      [&](const Error& error) { detail = error.detail; }, [] {});
  for (const auto* part : {"vm-id", "domain", "orders", "event-ring", "drain-ms", "nowhere"}) {
    EXPECT_NE(detail.find(part), std::string::npos) << detail;
  }
}

TEST(GatewaySettingsTest, ReloadAppliesNumbersAndListsSettingsThatNeedRestart) {
  auto settings = *ReadSettingsOf(MinimalSettings());
  auto changed = settings;
  changed.drain_ms = 9000;
  changed.store = "10.0.0.9:1";
  EXPECT_EQ(settings.ApplyReload(changed), "changed: drain-ms; needs a restart: store");
  EXPECT_EQ(settings.drain_ms, 9000);
  EXPECT_EQ(settings.store, "10.0.0.1:1");
}

}  // namespace
}  // namespace cardamom
