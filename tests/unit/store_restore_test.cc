// The store comes back from an older copy of itself: what was written since the copy is gone, and
// its versions are given out again.
#include <gtest/gtest.h>

#include <fmt/format.h>

#include "fleet_fakes.h"

namespace cardamom::testing {
namespace {

std::size_t CountAdopted(FakeFleet& fleet, std::uint64_t version) {
  std::size_t count = 0;
  const auto prefix = fmt::format("version {} ", version);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    for (const auto& event : fleet.vm(i).Events(EventCode::kConfigAdopted)) {
      count += event.subject.detail.starts_with(prefix) ? 1 : 0;
    }
  }
  return count;
}

// The target: a configuration is in force everywhere within the config-apply-ms of the fakes.
constexpr Millis kConfigApply{3000};

// Guards against a confirmed configuration that is not in force (CONFIG on the bench): its row got
// the version that a lost configuration had, and the followers took it for the row they held.
TEST(StoreRestoreTest, AConfigurationIsAdoptedWhoseRowVersionWasGivenOutBefore) {
  FakeFleet fleet(4, 2, 32);
  fleet.Configure(2, Millis(700));
  const auto copy = fleet.table.TakeCopy();
  fleet.Configure(4, Millis(600));
  ASSERT_TRUE(fleet.RunUntil([&] { return CountAdopted(fleet, 4) == 4; }, kConfigApply));
  fleet.table.Restore(copy);
  fleet.Configure(6, Millis(500));
  EXPECT_TRUE(fleet.RunUntil([&] { return CountAdopted(fleet, 6) == 4; }, kConfigApply))
      << CountAdopted(fleet, 6) << " of 4";
}

// Guards against a change that is never seen: the store's counter passed the version that the
// followers held, so that their feed continued behind what was written in between.
TEST(StoreRestoreTest, AChangeWrittenBelowTheHeldVersionIsNotSkipped) {
  FakeFleet fleet(4, 2, 32);
  const auto copy = fleet.table.TakeCopy();
  fleet.Configure(2, Millis(700));
  fleet.table.Put("other", "row", "");
  ASSERT_TRUE(fleet.RunUntil([&] { return CountAdopted(fleet, 2) == 4; }, kConfigApply));
  fleet.table.Restore(copy);
  fleet.Configure(3, Millis(600));
  for (int i = 0; i < 100; ++i) {
    fleet.table.Put("other", "row", "");
  }
  EXPECT_TRUE(fleet.RunUntil([&] { return CountAdopted(fleet, 3) == 4; }, kConfigApply))
      << CountAdopted(fleet, 3) << " of 4";
}

// Guards against followers that read the store without a pause: the feed answered 410 and the
// snapshot was dropped as older, in turn (4,069 calls instead of 559 on the bench).
TEST(StoreRestoreTest, FollowersDoNotReadInALoop) {
  FakeFleet fleet(4, 2, 32);
  const auto copy = fleet.table.TakeCopy();
  for (int i = 0; i < 100; ++i) {
    fleet.table.Put("servers", "e0", "");
  }
  fleet.RunUntil([] { return false; }, Millis(300));
  fleet.table.Restore(copy);
  const auto before = fleet.table.calls;
  fleet.RunUntil([] { return false; }, Millis(2000));
  // Each of four proxies reads three tables once, follows them, and may retry each call once.
  EXPECT_LE(fleet.table.calls - before, 4U * 3U * 4U);
}

}  // namespace
}  // namespace cardamom::testing
