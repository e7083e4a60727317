// Quotas across VMs: the bound on usage under faults, how much of a quota can be used, and the
// rules of leases and roles.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>

#include "quota_walk.h"

namespace cardamom::testing {
namespace {

BootTime At(std::int64_t ms) {
  return BootTime(Millis(ms));
}

LeaseRequest Request(std::uint64_t number,
                     std::uint64_t held,
                     const LeaseGrant& grant,
                     double want) {
  LeaseRequest request;
  request.meter = "m";
  request.number = number;
  request.held_number = held;
  request.held_rate = grant.rate;
  request.held_capacity = grant.capacity;
  request.want = want;
  return request;
}

// Guards against a rate that is leased twice: the answer that shrinks a lease may be lost.
TEST(LeaseLedgerTest, AShrinkCountsOnlyOnceTheMeterNamesIt) {
  const Quota quota{100, 100};
  LeaseLedger ledger(At(0));
  const auto large = ledger.Answer(Request(1, 0, {}, 40), quota, At(10'000));
  EXPECT_EQ(large.rate, 40);
  const auto small = ledger.Answer(Request(2, 1, large, 10), quota, At(11'000));
  EXPECT_EQ(small.rate, 10);
  EXPECT_EQ(ledger.ReservedRate(), 40);
  EXPECT_FALSE(ledger.Answer(Request(2, 1, large, 10), quota, At(11'100)).granted);
  ledger.Answer(Request(3, 2, small, 10), quota, At(12'000));
  EXPECT_EQ(ledger.ReservedRate(), 10);
}

// Guards against leases of an earlier process and of this one that exceed the half together.
TEST(LeaseLedgerTest, ARestartedOwnerRenewsAtOnceAndGrantsLater) {
  const Quota quota{100, 100};
  LeaseLedger ledger(At(14'000));
  EXPECT_FALSE(ledger.Answer(Request(1, 0, {}, 40), quota, At(10'000)).granted);
  LeaseGrant held;
  held.rate = 30;
  held.capacity = 10;
  const auto renewed = ledger.Answer(Request(8, 7, held, 50), quota, At(10'100));
  EXPECT_TRUE(renewed.granted);
  EXPECT_EQ(renewed.rate, 30);
  EXPECT_EQ(ledger.Answer(Request(9, 8, renewed, 50), quota, At(14'000)).rate, 50);
}

// Guards against two owners of the same half by lists that differ.
TEST(OwnerTenureTest, GrantsOnlyWithAFreshListAndAfterAHandover) {
  OwnerTenure restarted(At(0), true);
  restarted.Observe({true, At(100), 1}, At(100));
  EXPECT_EQ(restarted.grants_from(), At(0) + kLeaseTime + kLeaseMargin);
  EXPECT_TRUE(restarted.MayAnswer(At(8'099)));
  EXPECT_FALSE(restarted.MayAnswer(At(8'100)));
  // The list changed while it was not fresh.
  restarted.Observe({true, At(9'000), 2}, At(9'000));
  EXPECT_FALSE(restarted.MayAnswer(At(9'000)));
  OwnerTenure joined(At(0), true);
  joined.Observe({false, At(100), 1}, At(100));
  joined.Observe({true, At(5'000), 2}, At(5'000));
  EXPECT_FALSE(joined.MayAnswer(At(5'000) + kMaxListAge + kLeaseTime));
  joined.Observe({true, At(17'100), 2}, At(17'100));
  EXPECT_TRUE(joined.MayAnswer(At(17'100)));
}

// A walk with faults and random size, quota and load.
double ExcessUnderFaults(const QuotaBound& bound, double* rate) {
  WalkOptions options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.bound = bound;
  options.faults = true;
  options.seconds = 60;
  options.domains = *rc::gen::element<std::size_t>(1, 2, 4);
  options.vms_per_domain = *rc::gen::element<std::size_t>(2, 3);
  options.quota = {*rc::gen::element(2.0, 15.0, 60.0), *rc::gen::element(1.0, 10.0, 60.0)};
  const double load = *rc::gen::element(0.6, 1.5, 7.5, 7.5);
  options.demand = [&options, load](std::size_t domain, double seconds) {
    const auto busy = static_cast<std::size_t>(seconds / 4) % options.domains;
    return options.quota.rate_per_s * load / static_cast<double>(options.domains) *
           (domain == busy ? 2.0 : 0.7);
  };
  QuotaWalk walk(options);
  walk.Run();
  *rate = options.quota.rate_per_s;
  return walk.GreatestExcess();
}

// Guards against admissions beyond the bound that the operator sets.
RC_GTEST_PROP(QuotaProperty, NoWindowExceedsTheBound, ()) {
  double rate = 0;
  RC_ASSERT(ExcessUnderFaults({Millis(5000), 0.1, 20}, &rate) <= 0.0);
}

// Guards against leases that are used twice after a change of owners, a restart, or lost and late
// messages, which overshoot and slack could hide. Without both, only permissions on their way to
// the entry VM exceed the quota.
RC_GTEST_PROP(QuotaProperty, LeasesAloneKeepToTheQuota, ()) {
  double rate = 0;
  const double excess = ExcessUnderFaults({Millis(5000), 0, 0}, &rate);
  RC_ASSERT(excess <= 1 + rate * std::chrono::duration<double>(kPermissionTime).count());
}

// The share of the domain that changes every 5 s: one of six domains asks for `peak` times its even
// share, the others for the rest.
std::function<double(std::size_t, double)> MovingDemand(double total, double peak) {
  return [total, peak](std::size_t domain, double seconds) {
    const auto busy = static_cast<std::size_t>(seconds / 5) % 6;
    return domain == busy ? total / 6 * peak : total / 6 * (6 - peak) / 5;
  };
}

// The operations that are refused after the first second at a demand of 1/1.6 of the rate.
std::ptrdiff_t LateRefusals(const Quota& quota, std::uint64_t seed) {
  WalkOptions options;
  options.seed = seed;
  options.domains = 6;
  options.quota = quota;
  options.demand = MovingDemand(quota.rate_per_s / 1.6, 2);
  QuotaWalk walk(options);
  walk.Run();
  const auto late = std::count_if(walk.refused().begin(), walk.refused().end(),
                                  [](double at) { return at >= 1; });
  std::printf("rate %.0f burst %.0f: admitted %zu, refused %td later, messages to owners %.1f/s\n",
              quota.rate_per_s, quota.burst, walk.admitted().size(), late,
              static_cast<double>(walk.owner_messages()) / options.seconds);
  return late;
}

// Guards against refusals below the rate when demand is uneven and moves between domains.
TEST(QuotaUsageTest, TypicalDemandIsAdmittedWhereverItArises) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    EXPECT_EQ(LateRefusals({300, 300}, seed), 0);
    EXPECT_EQ(LateRefusals({100, 100}, seed), 0);
  }
}

// Guards against refusals below the rate because a small burst is spread over many domains.
TEST(QuotaUsageTest, TypicalDemandOfSmallQuotasIsAdmitted) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    EXPECT_EQ(LateRefusals({30, 30}, seed), 0);
    EXPECT_EQ(LateRefusals({10, 20}, seed), 0);
    EXPECT_EQ(LateRefusals({3, 6}, seed), 0);
  }
}

// Guards against a quota that cannot be used because it is leased where it is not needed.
TEST(QuotaUsageTest, MostOfTheRateIsUsedUnderOverload) {
  for (const Quota quota : {Quota{300, 300}, Quota{30, 30}, Quota{3, 6}}) {
    WalkOptions options;
    options.domains = 6;
    options.quota = quota;
    options.demand = MovingDemand(quota.rate_per_s * 7.5 / 1.6, 2);
    QuotaWalk walk(options);
    walk.Run();
    const double used =
        static_cast<double>(walk.admitted().size()) / (quota.rate_per_s * options.seconds);
    std::printf("rate %.0f: %.2f of the rate used, excess %.1f, messages to owners %.1f/s\n",
                quota.rate_per_s, used, walk.GreatestExcess(),
                static_cast<double>(walk.owner_messages()) / options.seconds);
    EXPECT_GE(used, 1 / 1.6);
    EXPECT_LE(walk.GreatestExcess(), 0);
  }
}

}  // namespace
}  // namespace cardamom::testing
