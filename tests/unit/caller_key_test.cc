// Sessions whose callers identify themselves by keys, at proxies that follow a real configuration.
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet_fakes.h"

namespace cardamom::testing {
namespace {

// The configuration is followed with waits of 0.8 s, so a connected proxy stays below this.
constexpr std::int64_t kRevokeMs = 3000;
constexpr Millis kTimeout{800};
// Longer than it takes until a change or the first proof is known.
constexpr Millis kLimit{4000};

using SessionPtr = std::shared_ptr<CallerSession>;

Statement MakeCommit(const std::string& id) {
  return MakeStatement(StatementKind::kCommit, id, "COMMIT");
}

class CallerKeyTest : public ::testing::Test {
 protected:
  explicit CallerKeyTest(std::size_t vms = 1, std::size_t domains = 1) : m_fleet(vms, domains, 32) {
    for (std::size_t i = 0; i < vms; ++i) {
      m_fleet.vm(i).settings.revoke_ms = kRevokeMs;
    }
    Configure({{"k-mint", "mint"}, {"k-sage", "sage"}});
  }

  // Puts a configuration in force at all proxies.
  void Configure(const std::map<std::string, std::string>& organisation_of_key) {
    m_fleet.Configure(++m_version, kTimeout, organisation_of_key);
    const auto detail = "version " + std::to_string(m_version) + " ";
    const auto adopted = [&](FakeVm& vm) {
      const auto events = vm.Events(EventCode::kConfigAdopted);
      return std::any_of(events.begin(), events.end(), [&](const Event& event) {
        return event.subject.detail.starts_with(detail);
      });
    };
    EXPECT_TRUE(m_fleet.RunUntil(
        [&] {
          bool all = true;
          for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            all = all && adopted(m_fleet.vm(i));
          }
          return all;
        },
        kLimit));
  }

  SessionPtr Open(const std::string& key, std::size_t vm = 0) {
    auto opened = m_fleet.Open(m_fleet.vm(vm), key);
    EXPECT_TRUE(std::holds_alternative<SessionPtr>(opened));
    return std::get<SessionPtr>(opened);
  }

  StatementError OpenError(const std::string& key, std::size_t vm = 0) {
    const auto opened = m_fleet.Open(m_fleet.vm(vm), key);
    const auto* error = std::get_if<ReplyError>(&opened);
    return error == nullptr ? StatementError::kUnrecognized : error->code;
  }

  Reply Run(const SessionPtr& session, const Statement& statement) {
    Reply reply;
    m_fleet.Run([&]() -> asio::awaitable<void> { reply = co_await session->Execute(statement); });
    return reply;
  }

  // Begins a transaction; `writes` statements follow.
  void Begin(const SessionPtr& session, int writes) {
    EXPECT_TRUE(Run(session, MakeStatement(StatementKind::kBegin, "b", "BEGIN")).ok());
    for (int i = 0; i < writes; ++i) {
      EXPECT_TRUE(Run(session, MakeWrite("t-" + std::to_string(i), "x")).ok());
    }
  }

  void Wait(Millis time) {
    m_fleet.RunUntil([] { return false; }, time);
  }

  bool AnyServerCommitted() { return !m_fleet.fake_group.acknowledged.empty(); }

  FakeFleet m_fleet;
  std::uint64_t m_version = 1;
};

class CallerKeyFleetTest : public CallerKeyTest {
 protected:
  CallerKeyFleetTest() : CallerKeyTest(4, 1) {}
};

void ExpectError(const Reply& reply, StatementError code, SessionState state) {
  ASSERT_TRUE(reply.error);
  EXPECT_EQ(reply.error->code, code) << reply.error->text;
  EXPECT_EQ(reply.state, state);
}

TEST_F(CallerKeyTest, AKeyIsResolvedForEveryStatement) {
  const auto session = Open("k-mint");
  EXPECT_EQ(OpenError("k-nobody"), StatementError::kDenied);
  EXPECT_TRUE(Run(session, MakeWrite("w-1", "a")).ok());
  Configure({{"k-sage", "sage"}});
  ExpectError(Run(session, MakeRead("r-1", "a")), StatementError::kDenied, SessionState::kIdle);
  ExpectError(Run(session, MakeStatement(StatementKind::kBegin, "b", "BEGIN")),
              StatementError::kDenied, SessionState::kIdle);
  Configure({{"k-mint", "sage"}});
  EXPECT_TRUE(Run(session, MakeWrite("w-2", "a")).ok()) << "the key was given again";
  EXPECT_FALSE(m_fleet.vm(0).Events(EventCode::kCallerDenied).empty());
  for (const auto& event : m_fleet.vm(0).gateway->events().Snapshot()) {
    EXPECT_EQ(event.subject.detail.find("k-mint"), std::string::npos) << event.subject.detail;
    EXPECT_EQ(event.subject.detail.find("k-nobody"), std::string::npos) << event.subject.detail;
  }
}

// Guards against a transaction that a withdrawn key continues or commits, also one without a link.
TEST_F(CallerKeyTest, AWithdrawnKeyEndsItsTransactions) {
  const auto writes = Open("k-mint");
  const auto commits = Open("k-mint");
  const auto commits_nothing = Open("k-mint");
  Begin(writes, 1);
  Begin(commits, 1);
  Begin(commits_nothing, 0);
  Configure({{"k-sage", "sage"}});
  ExpectError(Run(writes, MakeWrite("w", "a")), StatementError::kDenied, SessionState::kFailed);
  ExpectError(Run(writes, MakeCommit("c-1")), StatementError::kAborted, SessionState::kIdle);
  ExpectError(Run(commits, MakeCommit("c-2")), StatementError::kDenied, SessionState::kIdle);
  ExpectError(Run(commits_nothing, MakeCommit("c-3")), StatementError::kDenied,
              SessionState::kIdle);
  EXPECT_FALSE(AnyServerCommitted());
}

// Guards against a transaction that runs for one organisation over the link of another.
TEST_F(CallerKeyTest, AMovedKeyAbortsTheTransactionAndRunsForTheNewOrganisation) {
  const auto session = Open("k-mint");
  Begin(session, 1);
  Configure({{"k-mint", "sage"}});
  ExpectError(Run(session, MakeCommit("c")), StatementError::kAborted, SessionState::kIdle);
  EXPECT_FALSE(AnyServerCommitted());
  EXPECT_TRUE(Run(session, MakeWrite("w", "a")).ok());
  Begin(session, 1);
  EXPECT_TRUE(Run(session, MakeCommit("c-2")).ok());
}

// Guards against keys that are honoured, or refused for good, while no proof arrives; and against
// public databases that stop with them.
TEST_F(CallerKeyTest, StatementsAreRefusedWhileTheConfigurationIsTooOld) {
  const auto outside = Open("k-mint");
  const auto inside = Open("k-mint");
  Wait(Millis(kRevokeMs));
  Begin(inside, 0);
  EXPECT_TRUE(Run(outside, MakeRead("r-1", "a")).ok()) << "proofs arrive without any change";
  m_fleet.table.unavailable = true;
  Wait(Millis(kRevokeMs));
  ExpectError(Run(outside, MakeRead("r-2", "a")), StatementError::kBusy, SessionState::kIdle);
  ExpectError(Run(inside, MakeWrite("w", "a")), StatementError::kAborted, SessionState::kFailed);
  EXPECT_EQ(OpenError("k-nobody"), StatementError::kBusy);
  EXPECT_FALSE(m_fleet.vm(0).Events(EventCode::kConfigurationTooOld).empty());
  m_fleet.table.unavailable = false;
  m_fleet.Configure(++m_version, kTimeout);
  Wait(Millis(1500));
  EXPECT_TRUE(Run(outside, MakeRead("r-3", "a")).ok());
  m_fleet.table.unavailable = true;
  Wait(Millis(kRevokeMs));
  EXPECT_TRUE(Run(outside, MakeRead("r-4", "a")).ok()) << "public";
}

// Guards against proxies behind relays whose configuration counts as too old with one relay frozen.
TEST_F(CallerKeyFleetTest, AProxyStaysCurrentWhileOneOfItsRelaysIsFrozen) {
  std::vector<SessionPtr> sessions;
  for (std::size_t i = 0; i < m_fleet.size(); ++i) {
    m_fleet.vm(i).settings.revoke_ms = 5000;
    sessions.push_back(Open("k-mint", i));
  }
  Wait(kLimit);
  auto* frozen = RelaysOf(m_fleet, "domain-0").front();
  frozen->frozen = true;
  for (int round = 0; round < 6; ++round) {
    Wait(Millis(1300));
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      if (&m_fleet.vm(i) == frozen) {
        continue;
      }
      const auto begun = Run(sessions[i], MakeStatement(StatementKind::kBegin, "b", "BEGIN"));
      EXPECT_TRUE(begun.ok()) << "proxy " << i << ", round " << round;
      Run(sessions[i], MakeStatement(StatementKind::kRollback, "e", "ROLLBACK"));
    }
  }
}

// Guards against a proxy that honours a withdrawn key for longer than the bound: one that the store
// does not answer, the followers of such a relay, and a proxy that starts meanwhile.
TEST_F(CallerKeyFleetTest, NoProxyHonoursAWithdrawnKeyAfterTheBound) {
  const auto relays = RelaysOf(m_fleet, "domain-0");
  std::vector<SessionPtr> sessions;
  for (std::size_t i = 0; i < m_fleet.size(); ++i) {
    sessions.push_back(Open("k-mint", i));
  }
  Wait(kLimit);
  for (auto* relay : relays) {
    relay->store_unresponsive = true;
  }
  m_fleet.Configure(++m_version, kTimeout, {{"k-sage", "sage"}});
  const auto acknowledged_at = Clock::now();
  auto& started = m_fleet.Add("domain-0", m_fleet.vm(0).settings.listen_peers, true);
  started.settings.revoke_ms = kRevokeMs;
  m_fleet.RunUntil([&] { return started.gateway->IsReady(); }, Millis(1000));
  if (auto opened = m_fleet.Open(started, "k-mint"); std::holds_alternative<SessionPtr>(opened)) {
    sessions.push_back(std::get<SessionPtr>(opened));
  }
  std::size_t honoured = 0;
  std::vector<StatementError> last(sessions.size());
  while (Clock::now() < acknowledged_at + Millis(kRevokeMs) + Millis(1500)) {
    for (std::size_t i = 0; i < sessions.size(); ++i) {
      const auto sent_at = Clock::now();
      const auto begun = Run(sessions[i], MakeStatement(StatementKind::kBegin, "b", "BEGIN"));
      Run(sessions[i], MakeStatement(StatementKind::kRollback, "e", "ROLLBACK"));
      honoured += begun.ok() ? 1 : 0;
      EXPECT_TRUE(!begun.ok() || sent_at <= acknowledged_at + Millis(kRevokeMs)) << "proxy " << i;
      last[i] = begun.ok() ? StatementError::kUnrecognized : begun.error->code;
    }
    Wait(Millis(50));
  }
  EXPECT_GT(honoured, 0U) << "relays that hear nothing cannot know at once";
  for (std::size_t i = 0; i < 4; ++i) {
    const auto expected =
        m_fleet.vm(i).store_unresponsive ? StatementError::kBusy : StatementError::kDenied;
    EXPECT_EQ(last[i], expected) << "proxy " << i;
  }
}

// Guards against a store restored from an older copy whose answers give a withdrawn key back or
// count as a proof, and against a fleet that refuses everything after a restore.
TEST_F(CallerKeyFleetTest, ARestoredStoreGivesNoKeyBackAndProvesAgainOnceItIsWritten) {
  const auto session = Open("k-mint", 1);
  const auto kept = Open("k-sage", 1);
  const auto copy = m_fleet.table.TakeCopy();
  Configure({{"k-sage", "sage"}});
  m_fleet.table.Restore(copy);
  Wait(Millis(kRevokeMs + 2500));
  ExpectError(Run(session, MakeRead("r-1", "a")), StatementError::kBusy, SessionState::kIdle);
  ExpectError(Run(kept, MakeRead("r-2", "a")), StatementError::kBusy, SessionState::kIdle);
  m_fleet.Configure(++m_version, kTimeout, {{"k-sage", "sage"}});
  Wait(kLimit);
  ExpectError(Run(session, MakeRead("r-3", "a")), StatementError::kDenied, SessionState::kIdle);
  EXPECT_TRUE(Run(kept, MakeRead("r-4", "a")).ok());
}

}  // namespace
}  // namespace cardamom::testing
