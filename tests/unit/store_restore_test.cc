// The store comes back from an older copy of itself: what was written since the copy is gone, and
// its versions are given out again.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

#include "directory/server_list.h"
#include "fleet_fakes.h"
#include "proxy/term_store.h"
#include "standin/platform_server.h"
#include "takeover_fixture.h"

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

// Guards against a configuration that comes back older: a proxy that starts between the restore and
// the operator's next write reads the copy.
TEST(StoreRestoreTest, AProxyThatStartsOnTheCopyTakesTheConfigurationOfItsPeers) {
  FakeFleet fleet(4, 2, 32);
  const auto copy = fleet.table.TakeCopy();
  fleet.Configure(5, Millis(700));
  ASSERT_TRUE(fleet.RunUntil([&] { return CountAdopted(fleet, 5) == 4; }, kConfigApply));
  fleet.table.Restore(copy);
  auto& started = fleet.Add("domain-0", "");
  ASSERT_TRUE(fleet.RunUntil([&] { return started.gateway->IsReady(); }, Millis(5000)));
  EXPECT_EQ(CountAdopted(fleet, 5), 5U);
}

std::string LastMembers(FakeVm& vm) {
  const auto events = vm.Events(EventCode::kMembersChanged);
  return events.empty() ? "" : events.back().subject.detail;
}

// Guards against a proxy that stays off the list because its row was lost.
TEST(StoreRestoreTest, AProxyWhoseRowWasLostIsListedAgain) {
  FakeFleet fleet(4, 2, 32);
  const auto copy = fleet.table.TakeCopy();
  auto& added = fleet.Add("domain-1", "");
  ASSERT_TRUE(fleet.RunUntil([&] { return added.gateway->IsReady(); }, Millis(5000)));
  fleet.table.Restore(copy);
  ASSERT_EQ(fleet.table.Get("members", added.settings.vm_id), "");
  EXPECT_TRUE(fleet.RunUntil(
      [&] { return !fleet.table.Get("members", added.settings.vm_id).empty(); }, Millis(6000)));
}

// Guards against a proxy that left and is a home or a relay again, because the copy lists it.
TEST(StoreRestoreTest, AProxyThatLeftBeforeTheRestoreStaysGone) {
  FakeFleet fleet(4, 2, 32);
  VmEntry other;
  other.id = VmId("gone");
  other.peer_address = "127.0.0.1:1";
  other.domain = FailureDomain("domain-0");
  fleet.table.Put("members", "gone", EncodeJson(other));
  const auto copy = fleet.table.TakeCopy();
  const auto lists = [&](const char* count) {
    return [&fleet, count] { return LastMembers(fleet.vm(0)).starts_with(count); };
  };
  ASSERT_TRUE(fleet.RunUntil(lists("5 VMs"), Millis(5000)));
  other.leaving = true;
  fleet.table.Put("members", "gone", EncodeJson(other));
  ASSERT_TRUE(fleet.RunUntil(lists("4 VMs"), Millis(5000)));
  fleet.table.Restore(copy);
  EXPECT_FALSE(fleet.RunUntil(lists("5 VMs"), Millis(6000)));
}

EndpointEntry ReportOf(const char* id, std::int64_t sequence, bool leaving) {
  EndpointEntry entry;
  entry.id = EndpointId(id);
  entry.started_ms = 1000;
  entry.sequence = sequence;
  entry.leaving = leaving;
  return entry;
}

// Guards against requests to a server that has left or is leaving (DRAIN on the bench), because the
// copy shows it ready.
TEST(ServerListRestoreTest, TheCopyDoesNotUndoADeparture) {
  ServerList list(Millis(2200));
  TimePoint now = Clock::now();
  list.OnEntries({ReportOf("left", 1, false), ReportOf("leaving", 1, false)}, now);
  list.OnEntries({ReportOf("left", 2, true), ReportOf("leaving", 2, true)}, now);
  list.OnEntries({ReportOf("leaving", 2, true)}, now);
  now += Millis(10'000);
  const std::set<EndpointId> from_copy{EndpointId("left"), EndpointId("leaving")};
  list.OnStoreRestored();
  list.OnEntries({ReportOf("left", 1, false), ReportOf("leaving", 1, false)}, now, from_copy);
  ASSERT_EQ(list.Entries().size(), 1U);
  EXPECT_EQ(list.Entries().front().id, EndpointId("leaving"));
  EXPECT_TRUE(list.Entries().front().leaving);
}

TEST(ServerListRestoreTest, AReportAfterTheRestoreIsBelieved) {
  ServerList list(Millis(2200));
  TimePoint now = Clock::now();
  list.OnEntries({ReportOf("a", 4, true)}, now);
  list.OnEntries({}, now);
  list.OnStoreRestored();
  // It registered again under its id, with a clock that was set back.
  auto restarted = ReportOf("a", 0, false);
  restarted.started_ms = 500;
  list.OnEntries({restarted}, now);
  ASSERT_EQ(list.Entries().size(), 1U);
  EXPECT_FALSE(list.Entries().front().leaving);
}

// A server that registered after the copy was taken is missing until it registers again, and its
// log may be the only one that holds a commit.
TEST(ServerListRestoreTest, AServerThatTheCopyLacksIsRetained) {
  ServerList list(Millis(2200));
  TimePoint now = Clock::now();
  list.OnEntries({ReportOf("a", 1, false), ReportOf("new", 1, false)}, now);
  now += Millis(5000);
  list.OnStoreRestored();
  list.OnEntries({ReportOf("a", 1, false)}, now, {EndpointId("a")});
  EXPECT_EQ(list.Entries().size(), 2U);
  now += Millis(2300);
  list.OnEntries({ReportOf("a", 1, false)}, now, {EndpointId("a")});
  EXPECT_EQ(list.Entries().size(), 1U);
}

// The rule of order: an answer of an earlier era never replaces one of a later era, and versions
// decide only within an era.
RC_GTEST_PROP(StorePositionProperty, ErasGoBeforeVersions, ()) {
  const auto position = [] {
    return StorePosition{StoreEra(*rc::gen::inRange<std::uint64_t>(0, 3)),
                         StoreVersion(*rc::gen::inRange<std::uint64_t>(0, 5))};
  };
  const auto held = position();
  const auto answer = position();
  const auto order = CompareToHeld(answer, held);
  RC_ASSERT((order == StoreOrder::kRestored) == (answer.era > held.era));
  RC_ASSERT((order == StoreOrder::kOlder) == (answer < held));
  RC_ASSERT(CompareToHeld(held, held) == StoreOrder::kNotOlder);
}

// Takeovers.

class TakeoverRestoreTest : public TakeoverFixture {
 protected:
  std::uint64_t LastToken() const { return m_orders.back().second; }
};

// Guards against a fencing token that is given out twice (ONE on the bench), and against a lost
// commit: the row that shows a pending order is gone, and the order is carried out while the next
// holder works with other logs.
TEST_F(TakeoverRestoreTest, APendingOrderOfAnEarlierEraIsFinishedWithAGreaterToken) {
  const auto copy = m_table.TakeCopy();
  m_fake_group.server(0).unresponsive = true;
  m_lose_answer = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kUnfinished);
  ASSERT_EQ(m_orders.size(), 1U);
  const auto token = LastToken();
  m_table.Restore(copy);
  m_lose_answer = false;
  const auto restored_at = Clock::now();
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kUnfinished);
  EXPECT_GE(Clock::now() - restored_at, kPromotionTime);
  EXPECT_EQ(m_orders.size(), 1U);
  EXPECT_GT(m_fake_group.server(1).paused_at, m_fake_group.server(1).term);
  EXPECT_EQ(HandleOrder("e1", token), OrderResult::kRejected);
  PassPromotionTime();
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
  ASSERT_EQ(m_orders.size(), 2U);
  EXPECT_GT(LastToken(), token);
}

// Two restores from the same copy, with a change of primary before, between and after them.
TEST_F(TakeoverRestoreTest, TokensGrowOverTwoRestores) {
  const auto copy = m_table.TakeCopy();
  std::vector<std::uint64_t> tokens;
  for (int era = 0; era < 3; ++era) {
    m_fake_group.server(static_cast<std::size_t>(era % 2)).entry.leaving = true;
    m_fake_group.server(static_cast<std::size_t>(1 - era % 2)).entry.leaving = false;
    EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kLeaving));
    tokens.push_back(LastToken());
    m_table.Restore(copy);
  }
  EXPECT_LT(tokens[0], tokens[1]);
  EXPECT_LT(tokens[1], tokens[2]);
}

// A lost row must not delay a failover of a group whose servers show that nothing is pending.
TEST_F(TakeoverRestoreTest, TheFirstFailoverInAnEraDoesNotWaitIfNoServerIsPaused) {
  m_table.Restore(m_table.TakeCopy());
  m_fake_group.server(0).unresponsive = true;
  EXPECT_TRUE(EndsWithPrimary(TakeoverReason::kFailed));
  EXPECT_FALSE(Row().open);
}

// Guards against a lost commit: a holder of the earlier era resumes the servers that the first
// holder of this era has stopped.
TEST_F(TakeoverRestoreTest, TheFirstClaimWaitsUntilTokensOfTheEarlierEraHaveExpired) {
  m_table.Restore(m_table.TakeCopy());
  m_era_age = Millis(0);
  m_fake_group.server(0).unresponsive = true;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kBackedOff);
  EXPECT_TRUE(m_orders.empty());
  m_era_age = kHoldOff;
  EXPECT_EQ(Run(TakeoverReason::kFailed), TakeoverResult::kHasPrimary);
}

// Guards against a row of the present era that is replaced by a write that was prepared before the
// restore, whose expected version was given out again.
TEST_F(TakeoverRestoreTest, AWritePreparedInAnEarlierEraClaimsNothing) {
  const FenceStore fences(m_table.Port());
  const auto deadline = Clock::now() + Millis(1000);
  const GroupId group("orders");
  const auto copy = m_table.TakeCopy();
  const FenceRow earlier_claim{1, "vm-1"};
  const FenceRow late_claim{2, "vm-1"};
  m_gateway.Run([&]() -> asio::awaitable<void> {
    const auto first = co_await fences.Load(group, deadline);
    co_await fences.Replace(group, *first, earlier_claim, deadline);
    const auto late = co_await fences.Load(group, deadline);
    m_table.Restore(copy);
    const auto fresh = co_await fences.Load(group, deadline);
    EXPECT_TRUE(fresh->IsHistoryLost());
    auto row = fresh->row;
    row.holder = "vm-2";
    ++row.token;
    const auto claimed = co_await fences.Replace(group, *fresh, row, deadline);
    EXPECT_TRUE(claimed && *claimed);
    const auto replaced = co_await fences.Replace(group, *late, late_claim, deadline);
    EXPECT_TRUE(replaced && !*replaced);
    const auto after = co_await fences.Load(group, deadline);
    EXPECT_EQ(after->row.holder, "vm-2");
    EXPECT_EQ(after->row.token, row.token);
  });
}

TEST(FenceRowTest, TokensOfALaterEraAreGreater) {
  const auto last_of_first = InitialFenceRow(StoreEra(1)).token + 1'000'000;
  EXPECT_GT(InitialFenceRow(StoreEra(2)).token, last_of_first);
  EXPECT_EQ(EraOfToken(last_of_first), StoreEra(1));
}

// The HTTP front.

// Guards against a term that is allocated twice: the row is an older copy that lacks an allocation.
TEST(TermStoreRestoreTest, ATermIsNotAllocatedTwice) {
  boost::asio::io_context io;
  auto server = *PlatformServer::Create(io, *Address::Parse("127.0.0.1:0"));
  PlatformClient platform(io, server->address(), "vm-1");
  const auto admin = std::make_shared<ConnectionPool>(io, server->address(), 1);
  TermStore store(platform, GroupId("g"));
  const auto deadline = Clock::now() + Millis(3000);
  std::vector<Term> terms;
  const std::vector<EndpointId> voters{EndpointId("a"), EndpointId("b")};
  const std::function<bool(TermRow&)> allocate = [&](TermRow& row) {
    terms.push_back(row.Allocate(voters, "vm-1").term);
    return true;
  };
  const auto post = [&](const char* target) -> asio::awaitable<void> {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    co_await admin->Send(std::move(request), deadline);
  };
  std::size_t allocations = 0;
  Spawn(io, [&]() -> asio::awaitable<void> {
    co_await store.Update(allocate, deadline);
    co_await post("/admin/copy");
    co_await store.Update(allocate, deadline);
    co_await post("/admin/restore");
    const auto row = co_await store.Update(allocate, deadline);
    allocations = row ? row->allocations.size() : 0;
    io.stop();
  });
  io.run_for(Millis(5000));
  EXPECT_EQ(terms, (std::vector<Term>{Term(1), Term(2), Term(3)}));
  EXPECT_EQ(allocations, 3U);
}

}  // namespace
}  // namespace cardamom::testing
