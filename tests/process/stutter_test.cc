// Callers, gateways and servers that repeat answers and refuse statements. Checked is what callers
// and servers see on their sockets; see stutter_judge.h for the rules.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>

#include "stutter_caller.h"
#include "stutter_fleet.h"
#include "stutter_judge.h"

namespace cardamom::stutter {
namespace {

constexpr std::size_t kCallers = 24;
constexpr std::uint64_t kDefaultCases = 4;
constexpr std::size_t kMinOperations = 100;
// The stated bound on refused and failed requests is 60%.
constexpr double kMinServed = 0.4;
constexpr std::uint64_t kDefaultSeed = 1;
constexpr std::uint64_t kDefaultSeconds = 7;

// The number in an environment variable, or `otherwise`.
std::uint64_t Setting(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

// The faults in STUTTER_FAULTS, in the order of the members and separated by blanks, or
// `otherwise`.
Faults FaultsInForce(const Faults& otherwise) {
  const char* value = std::getenv("STUTTER_FAULTS");
  if (value == nullptr) {
    return otherwise;
  }
  Faults faults;
  std::int64_t delay = 0;
  std::istringstream fields(value);
  fields >> faults.repeats >> faults.own_repeats >> delay >> faults.busy >> faults.own_busy;
  faults.repeat_delay = Millis(delay);
  return faults;
}

// Runs for STUTTER_SECONDS with STUTTER_SEED, if they are set, and prints up to STUTTER_CASES cases
// of each rule.
void RunAndJudge(FleetOptions options) {
  options.seed = Setting("STUTTER_SEED", kDefaultSeed);
  options.faults = FaultsInForce(options.faults);
  const auto seconds = Setting("STUTTER_SECONDS", kDefaultSeconds);
  Journal journal;
  std::size_t promotions = 0;
  {
    Fleet fleet(options, journal);
    const auto end = Clock::now() + std::chrono::seconds(seconds);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        StutterCaller({fleet.sessions(), fleet.databases(), options.seed * 1000 + i, end}, journal)
            .Run();
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    EXPECT_TRUE(fleet.AllRun());
    promotions = fleet.promotions();
  }
  const auto verdict = Judge(journal);
  std::printf("seed %llu: %zu of %zu operations served, %zu statements ran, %zu promotions\n",
              static_cast<unsigned long long>(options.seed), journal.served(), journal.operations(),
              journal.ran().size(), promotions);
  const auto printed = Setting("STUTTER_CASES", kDefaultCases);
  for (const auto& [rule, cases] : verdict) {
    ADD_FAILURE() << rule << ": " << cases.size() << " cases";
    for (std::size_t i = 0; i < std::min(cases.size(), printed); ++i) {
      std::printf("%s %s\n", rule.c_str(), cases[i].c_str());
    }
  }
  EXPECT_GE(journal.operations(), kMinOperations);
  EXPECT_GE(static_cast<double>(journal.served()),
            kMinServed * static_cast<double>(journal.operations()));
}

// Guards against statements that are cut, joined or changed on their way.
TEST(StutterTest, ServersThatAnswerOnce) {
  FleetOptions options;
  options.faults.busy = 0.05;
  RunAndJudge(options);
}

// As above, for statements that are forwarded to the home of their group.
TEST(StutterTest, ServersThatAnswerHomesOnce) {
  FleetOptions options;
  options.gateways = 8;
  options.direct_gateways = 1;
  options.max_connections = 7;
  options.faults.busy = 0.05;
  RunAndJudge(options);
}

// Guards against answers that are taken for those of later statements.
TEST(StutterTest, AnswersRepeatedSoonAfter) {
  FleetOptions options;
  options.faults = {0.06, 0.06, Millis(40), 0.05, 0};
  RunAndJudge(options);
}

// As above, where the second answer often finds a link that is idle or in use by another session.
TEST(StutterTest, AnswersRepeatedLate) {
  FleetOptions options;
  options.faults = {0.06, 0.06, Millis(400), 0.05, 0.02};
  RunAndJudge(options);
}

// As above, for statements that are forwarded to the home of their group.
TEST(StutterTest, AnswersRepeatedToHomes) {
  FleetOptions options;
  options.gateways = 8;
  options.direct_gateways = 1;
  options.max_connections = 7;
  options.faults = {0.06, 0.06, Millis(40), 0.05, 0};
  RunAndJudge(options);
}

}  // namespace
}  // namespace cardamom::stutter
