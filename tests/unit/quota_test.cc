// Quotas across VMs: the bound on usage under faults, how much of a quota can be used, and the
// rules of leases and roles.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>

#include "quota_walk.h"

namespace cardamom::testing {
namespace {

// Guards against admissions beyond the bound: leases used twice after a change of owners, a restart
// or lost and late messages, or an allowance that too many VMs use.
RC_GTEST_PROP(QuotaProperty, NoWindowExceedsTheBound, ()) {
  WalkOptions options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.faults = true;
  options.domains = *rc::gen::inRange<std::size_t>(1, 5);
  options.vms_per_domain = *rc::gen::inRange<std::size_t>(2, 4);
  options.quota = {static_cast<double>(*rc::gen::inRange(2, 40)),
                   static_cast<double>(*rc::gen::inRange(1, 60))};
  const double load = *rc::gen::element(0.6, 1.5, 7.5);
  options.demand = [&options, load](std::size_t domain, double seconds) {
    const auto busy = static_cast<std::size_t>(seconds / 4) % options.domains;
    return options.quota.rate_per_s * load / static_cast<double>(options.domains) *
           (domain == busy ? 2.0 : 0.7);
  };
  QuotaWalk walk(options);
  walk.Run();
  RC_ASSERT(!walk.admitted().empty());
  RC_ASSERT(walk.GreatestExcess() <= 0.0);
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
