// Decisions on callers' keys: what a key admits, and how long a configuration may decide on it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

#include "organisation/configuration_proof.h"
#include "organisation/key_check.h"
#include "organisation/refusal_reports.h"
#include "organisation/store_clock.h"
#include "platform/directory_decoders.h"

namespace cardamom::testing {
namespace {

constexpr Millis kRevoke{5000};

BootTime At(std::int64_t ms) {
  return BootTime(Millis(ms));
}

// The store's clock is 1,000,000 ms ahead of the local one.
std::optional<BootTime> Answer(StoreClock& clock,
                               std::int64_t sent,
                               std::int64_t handled,
                               std::int64_t received,
                               std::uint64_t era = 0) {
  return clock.RecordAnswer({StoreEra(era), 1'000'000 + handled, At(sent), At(received)});
}

// Guards against a long poll that proves only the time at which it was sent.
TEST(StoreClockTest, AQuickAnswerMakesTheBoundOfALongPollTight) {
  StoreClock clock;
  Answer(clock, 0, 1, 2);
  const auto confirmed_at = Answer(clock, 3000, 5800, 5801);
  ASSERT_TRUE(confirmed_at);
  EXPECT_LE(*confirmed_at, At(5800));
  EXPECT_GE(*confirmed_at, At(5795));
}

// Guards against a restored copy that counts as current before it was written again, and against a
// bound that outlives the clock that it was made with.
TEST(StoreClockTest, ANewEraProvesNothingAtFirstAndStartsAgain) {
  StoreClock clock;
  Answer(clock, 0, 1, 2);
  ASSERT_TRUE(Answer(clock, 2000, 2001, 2002));
  EXPECT_FALSE(Answer(clock, 3000, 9000, 3002, 1));
  EXPECT_FALSE(Answer(clock, 4200, 10'201, 4203, 1));
  EXPECT_FALSE(Answer(clock, 4300, 4301, 4302, 0)) << "of the earlier era";
  EXPECT_EQ(Answer(clock, 4203, 10'204, 4205, 1), At(4203));
}

// Guards against a bound in the future after the store's clock was set forward.
TEST(StoreClockTest, ABoundAfterTheReceiptIsDropped) {
  StoreClock clock;
  Answer(clock, 0, 1, 2);
  EXPECT_EQ(Answer(clock, 2000, 90'000, 2002), At(2000));
  EXPECT_EQ(Answer(clock, 2010, 90'009, 2012), At(2010));
}

// Guards against a first proof that comes only after a whole long poll, and against a bound that
// becomes worse with every long poll.
TEST(StoreClockTest, WaitsAreCutWhenAnAnswerIsNeeded) {
  StoreClock clock;
  Answer(clock, 0, 1, 2);
  EXPECT_LE(clock.LimitWait(Millis(2800), At(10)), Millis(1300));
  EXPECT_LE(clock.LimitWait(Millis(2800), At(1300)), Millis(100));
  ASSERT_TRUE(Answer(clock, 1300, 1301, 1302));
  EXPECT_EQ(clock.LimitWait(Millis(2800), At(1400)), Millis(2800));
  EXPECT_LE(clock.LimitWait(Millis(2800), At(600'000)), Millis(1));
  EXPECT_EQ(clock.LimitWait(Millis(2800), At(600'100)), Millis(2800)) << "once in a while only";
}

TEST(KeyCheckTest, TheBoundCountsFromTheProof) {
  EXPECT_TRUE(IsRecentEnough(kRevoke, At(1000), At(5749)));
  EXPECT_FALSE(IsRecentEnough(kRevoke, At(1000), At(5750)));
  EXPECT_FALSE(IsRecentEnough(kRevoke, std::nullopt, At(0))) << "a process that was restarted";
  EXPECT_TRUE(IsRecentEnough(Millis(0), std::nullopt, At(0))) << "no bound is asked for";
}

TEST(KeyCheckTest, AKeyAdmitsForItsOrganisation) {
  Configuration configuration;
  Route route;
  route.is_public = false;
  // Guards against a route that opens to everybody when the last organisation is removed.
  EXPECT_EQ(CheckKey(configuration, route, ApiKey(""), false).result,
            KeyResult::kConfigurationTooOld);
  EXPECT_EQ(CheckKey(configuration, route, ApiKey("k1"), true).result, KeyResult::kUnknownKey);
  const OrganisationName mint("mint");
  configuration.organisations[mint] = {mint, {}};
  configuration.organisation_of_key[ApiKey("k1")] = mint;
  configuration.organisation_of_key[ApiKey("")] = mint;
  EXPECT_EQ(CheckKey(configuration, route, ApiKey("k1"), true).organisation, mint);
  EXPECT_EQ(CheckKey(configuration, route, ApiKey("k2"), true).result, KeyResult::kUnknownKey);
  EXPECT_EQ(CheckKey(configuration, route, ApiKey(""), true).result, KeyResult::kUnknownKey);
  EXPECT_EQ(CheckKey(configuration, route, ApiKey("k1"), false).result,
            KeyResult::kConfigurationTooOld);
  EXPECT_EQ(CheckKeyInTransaction(configuration, route, ApiKey("k1"), true, {}).result,
            KeyResult::kMovedKey);
  route.is_public = true;
  EXPECT_EQ(CheckKey(configuration, route, ApiKey("k2"), false).organisation, OrganisationName());
}

// Guards against a restored store that confirms a configuration older than the one in force.
TEST(ConfigurationProofTest, RowsOlderThanTheOneInForceProveNothing) {
  ConfigurationProof proof;
  proof.SetFollowed(4);
  EXPECT_FALSE(proof.ConfirmFollowed(At(1))) << "none is in force";
  proof.SetInForce(5);
  EXPECT_FALSE(proof.ConfirmFollowed(At(2)));
  EXPECT_TRUE(proof.Confirm(5, At(3)));
  EXPECT_EQ(proof.followed_confirmed_at(), std::nullopt) << "peers hold the rows' version 4";
  proof.SetFollowed(5);
  proof.ConfirmFollowed(At(2));
  EXPECT_EQ(proof.followed_confirmed_at(), At(3)) << "a late answer takes nothing back";
}

TEST(RefusalReportsTest, AFloodIsReportedOnceASecond) {
  RefusalReports reports;
  const TimePoint start{};
  EXPECT_EQ(reports.Record(start), 1U);
  EXPECT_EQ(reports.Record(start + Millis(10)), std::nullopt);
  EXPECT_EQ(reports.Record(start + Millis(1000)), 2U);
}

TEST(KeyDecoderTest, ARouteWithoutTheMemberIsPublicOnlyWithoutOrganisations) {
  const std::string head =
      R"({"version":1,"services":[],"routes":[{"host":"d","service":"g","kind":"primary"}])";
  const auto decode = platform::MakeDirectoryDecoders().configuration;
  const auto is_public = [&](const std::string& rest) {
    return decode(head + rest)->routes.begin()->second.is_public;
  };
  EXPECT_TRUE(is_public("}"));
  EXPECT_FALSE(is_public(R"(,"tenants":[{"name":"mint","api_keys":["k"]}]})"));
}

// A random walk: a store that is restored now and then, a relay that asks it, and a proxy that asks
// the relay. Calls are lost, delayed (a suspended proxy is a delay) and answered out of order, and
// processes restart and lose what they know.
struct KeyWalk {
  struct Vm {
    StoreClock clock;
    ConfigurationProof proof;
    std::uint64_t in_force = 0;
    // Difference between the proxy's clock and true time.
    std::int64_t offset = 0;
    int process = 0;

    BootTime Now(std::int64_t now) const { return At(now + offset); }
    void Adopt(std::uint64_t version, std::optional<BootTime> confirmed_at) {
      in_force = std::max(in_force, version);
      proof.SetInForce(in_force);
      proof.SetFollowed(version);
      if (confirmed_at) {
        proof.ConfirmFollowed(*confirmed_at);
      }
    }
    void Restart() {
      const Vm fresh{.offset = offset, .process = process + 1};
      *this = fresh;
    }
  };

  int Random(int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); }
  // Up to more than the bound while the network is bad or processes are suspended.
  int Delay() { return is_bad ? Random(9000) : Random(60); }
  void After(int delay, std::function<void()> step) { steps.emplace(now + delay, std::move(step)); }

  void AskStore() {
    const int process = relay.process;
    const auto sent = relay.Now(now);
    After(Delay() + (Random(2) == 0 ? Random(2800) : 0), [this, process, sent] {
      StoreClock::Answer answer{StoreEra(era), store_ms + now + now * drift / 10'000, sent};
      After(Delay(), [this, process, answer, version = stored]() mutable {
        if (process == relay.process) {
          answer.received_at = relay.Now(now);
          relay.Adopt(version, relay.clock.RecordAnswer(answer));
        }
      });
    });
  }

  void AskRelay() {
    const int process = proxy.process;
    const auto sent = proxy.Now(now);
    After(Delay(), [this, process, sent, relay_process = relay.process] {
      After(Random(1300), [this, process, sent, relay_process, arrived = relay.Now(now)] {
        const auto confirmed_at = relay.proof.followed_confirmed_at();
        if (relay_process != relay.process || relay.in_force == 0) {
          return;
        }
        std::optional<BootTime> at;
        if (confirmed_at) {
          at = sent - (arrived - *confirmed_at);
        }
        After(Delay(), [this, process, at, version = relay.in_force] {
          if (process == proxy.process) {
            proxy.Adopt(version, at);
          }
        });
      });
    });
  }

  // Each version withdraws the key of the one before. The caller holds all keys, and uses one that
  // the proxy still takes for valid.
  void Send(const Vm& vm) {
    After(Random(60), [this, &vm, sent_at = now] {
      const auto key = static_cast<std::size_t>(vm.in_force);
      if (key == 0 || !IsRecentEnough(kRevoke, vm.proof.confirmed_at(), vm.Now(now))) {
        return;
      }
      ++admitted;
      const bool withdrawn = key < acknowledged.size();
      RC_ASSERT(!withdrawn || sent_at <= acknowledged[key] + kRevoke.count());
    });
  }

  void Restore() {
    // The copy is some versions old. The operator writes the newest again within the settling time.
    ++era;
    store_ms += Random(8000) - 4000;
    stored = std::max<std::uint64_t>(1, stored - std::min<std::uint64_t>(stored, Random(3)));
    After(Random(1100), [this] { stored = acknowledged.size(); });
  }

  void Step() {
    switch (Random(40)) {
      case 0:
        acknowledged.push_back(now);
        stored = acknowledged.size();
        break;
      case 1:
        if (Random(2) == 0) {
          Restore();
        }
        break;
      case 2:
        if (Random(4) == 0) {
          (Random(2) == 0 ? relay : proxy).Restart();
        }
        break;
      default:
        break;
    }
    if (Random(10) == 0) {
      is_bad = !is_bad;
    }
    if (!is_bad || Random(8) == 0) {
      AskStore();
      AskRelay();
    }
    Send(relay);
    Send(proxy);
  }

  std::minstd_rand random;
  std::int64_t now = 100'000;
  bool is_bad = false;
  std::multimap<std::int64_t, std::function<void()>> steps;
  Vm relay{.offset = -30'000};
  Vm proxy{.offset = 70'000};
  std::uint64_t era = 1;
  std::uint64_t stored = 1;
  // The store's clock minus true time, and its drift in 0.1 ms per second.
  std::int64_t store_ms = 1'000'000;
  std::int64_t drift = 0;
  // When each version was acknowledged.
  std::vector<std::int64_t> acknowledged{0};
  int admitted = 0;
};

// Guards against any order of events in which a statement passes that its caller sent later than
// the bound after its key was withdrawn.
RC_GTEST_PROP(KeyProperty, NoStatementPassesThatWasSentAfterTheBound, ()) {
  KeyWalk walk{.random = std::minstd_rand(*rc::gen::arbitrary<std::uint32_t>())};
  walk.drift = walk.Random(9) - 4;
  for (int i = 0; i < 3000; ++i) {
    walk.After(i * 100 + walk.Random(100), [&walk] { walk.Step(); });
  }
  while (!walk.steps.empty()) {
    auto next = walk.steps.extract(walk.steps.begin());
    walk.now = next.key();
    next.mapped()();
  }
  RC_CLASSIFY(walk.admitted > 0);
}

}  // namespace
}  // namespace cardamom::testing
