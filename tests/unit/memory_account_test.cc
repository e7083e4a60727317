#include <gtest/gtest.h>

#include <list>

#include "limits/memory_account.h"

namespace cardamom {
namespace {

constexpr std::size_t kCapacity = 4 << 20;
constexpr std::size_t kLarge = 3 << 20;

// Guards against large holders that leave nothing for ordinary statements.
TEST(MemoryAccountTest, AQuarterIsReservedForSmallHolders) {
  MemoryAccount account(kCapacity);
  MemoryCharge large(account);
  EXPECT_TRUE(large.TryResize(kLarge));
  EXPECT_FALSE(large.TryResize(kLarge + 1));
  MemoryCharge small(account);
  EXPECT_TRUE(small.TryResize(MemoryAccount::kSmallBytes));
  EXPECT_FALSE(small.TryResize(MemoryAccount::kSmallBytes + 1));
}

// Guards against small holders that together exceed the capacity.
TEST(MemoryAccountTest, SmallHoldersDoNotExceedTheCapacity) {
  MemoryAccount account(kCapacity);
  std::list<MemoryCharge> charges;
  do {
    charges.emplace_back(account);
  } while (charges.back().TryResize(MemoryAccount::kSmallBytes));
  EXPECT_EQ(account.used_bytes(), kCapacity);
  charges.clear();
  EXPECT_EQ(account.used_bytes(), 0U);
}

// Guards against shedding a holder that makes progress, or the wrong one.
TEST(MemoryAccountTest, TheLargestHolderWithoutProgressIsShedOnce) {
  MemoryAccount account(kCapacity);
  MemoryCharge larger(account);
  MemoryCharge smaller(account);
  int larger_shed = 0;
  int smaller_shed = 0;
  larger.set_on_shed([&] { ++larger_shed; });
  smaller.set_on_shed([&] { ++smaller_shed; });
  ASSERT_TRUE(larger.TryResize(kCapacity / 2));
  ASSERT_TRUE(smaller.TryResize(kCapacity / 8));
  EXPECT_FALSE(account.ShedLargest(Clock::now()));
  auto later = Clock::now() + MemoryAccount::kStallTime;
  EXPECT_TRUE(account.ShedLargest(later));
  EXPECT_EQ(larger_shed, 1);
  EXPECT_EQ(smaller_shed, 0);
  // The memory of the first may not be back yet.
  EXPECT_FALSE(account.ShedLargest(later));
  later += MemoryAccount::kShedInterval;
  EXPECT_TRUE(account.ShedLargest(later));
  EXPECT_EQ(smaller_shed, 1);
  EXPECT_FALSE(account.ShedLargest(later + MemoryAccount::kShedInterval));
}

}  // namespace
}  // namespace cardamom
