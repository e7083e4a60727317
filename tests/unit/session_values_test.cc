// Session values of the server's connection on which a statement runs. Guards against statements
// that run with other values than those that were acknowledged to the caller.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "async/notifier.h"
#include "async/spawn.h"
#include "fleet_fakes.h"

namespace cardamom::testing {
namespace {

constexpr const char* kDatabase = "depot";

Statement MakeSet(const std::string& id, const std::string& name, const std::string& value) {
  auto statement =
      MakeStatement(StatementKind::kSetValue, id, fmt::format("SET {} {}", name, value));
  statement.name = name;
  statement.value = value;
  return statement;
}

// The values and text, "name=value ... id text", with which each statement of `id` ran.
std::vector<std::string> RunsOf(FakeGroup& group, const std::string& id) {
  std::vector<std::string> runs;
  for (std::size_t i = 0; i < 3; ++i) {
    for (const auto& ran : group.server(i).ran) {
      const auto run = ran.substr(ran.find(' ') + 1);
      if ((" " + run).find(" " + id + " ") != std::string::npos) {
        runs.push_back(run);
      }
    }
  }
  return runs;
}

// Guards against a commit that runs without a value set after the transaction's last statement.
TEST(SessionValuesTest, ACommitRunsWithAValueSetWithinItsTransaction) {
  FakeFleet fleet(6, 2, 1);
  for (auto* vm : {fleet.Homes().front(), fleet.NonHomes().front()}) {
    const auto commit = "c-" + vm->settings.vm_id;
    const auto replies = fleet.Execute(
        *vm, {MakeStatement(StatementKind::kBegin, "b", "BEGIN"),
              MakeWrite("w-" + vm->settings.vm_id, "a"), MakeSet("s", "author", vm->settings.vm_id),
              MakeStatement(StatementKind::kCommit, commit, "COMMIT")});
    ASSERT_EQ(replies.size(), 4U);
    EXPECT_TRUE(replies[3].ok()) << replies[3].error->text;
    const auto expected = fmt::format("author={} {} COMMIT", vm->settings.vm_id, commit);
    EXPECT_EQ(RunsOf(fleet.fake_group, commit), std::vector<std::string>{expected});
  }
  EXPECT_EQ(fleet.fake_group.acknowledged.size(), 2U);
}

class RefusedValuesTest : public ::testing::Test {
 protected:
  // Opens a transaction in which a write has run, then sets a value that the servers refuse.
  asio::awaitable<void> OpenAndSet() {
    const auto write = MakeWrite("w1", "a");
    const auto task = m_gateway.Task(write, m_caller);
    const auto begun = co_await m_gateway.runner.RunFirst(m_gateway.group, task, false, m_pin);
    EXPECT_TRUE(begun.ok());
    RefuseValues();
    m_caller.values["author"] = "clerk";
  }

  void RefuseValues() {
    for (std::size_t i = 0; i < 3; ++i) {
      m_fake_group.server(i).refuses_values = [] { return true; };
    }
  }

  FakeGroup m_fake_group{3};
  FakeGateway m_gateway{m_fake_group};
  CallerState m_caller;
  TransactionPin m_pin;
  Reply m_reply;
};

// Guards against a commit that is sent behind a refused value: it would take effect although the
// caller is told that the transaction was aborted.
TEST_F(RefusedValuesTest, ACommitIsNotSentAndNothingIsCommitted) {
  m_gateway.Run([&]() -> asio::awaitable<void> {
    co_await OpenAndSet();
    const auto commit = MakeStatement(StatementKind::kCommit, "c1", "COMMIT");
    m_reply = co_await m_gateway.runner.Commit(m_gateway.Task(commit, m_caller), m_pin);
  });
  ASSERT_FALSE(m_reply.ok());
  EXPECT_EQ(m_reply.error->code, StatementError::kAborted);
  EXPECT_EQ(RunsOf(m_fake_group, "c1"), std::vector<std::string>{});
  EXPECT_TRUE(m_fake_group.acknowledged.empty());
  EXPECT_FALSE(m_pin.IsOpen());
}

// Guards against a commit reported as in doubt although only the value before it was sent.
TEST_F(RefusedValuesTest, ACommitWhoseValueGetsNoAnswerIsAborted) {
  m_gateway.Run([&]() -> asio::awaitable<void> {
    co_await OpenAndSet();
    m_fake_group.server(0).unresponsive = true;
    const auto commit = MakeStatement(StatementKind::kCommit, "c1", "COMMIT");
    m_reply = co_await m_gateway.runner.Commit(m_gateway.Task(commit, m_caller), m_pin);
  });
  ASSERT_FALSE(m_reply.ok());
  EXPECT_EQ(m_reply.error->code, StatementError::kAborted);
  EXPECT_TRUE(m_fake_group.acknowledged.empty());
}

// Guards against a later statement that is sent together with a value that the server refuses.
TEST_F(RefusedValuesTest, ALaterStatementIsNotSentAndTheTransactionIsRolledBack) {
  m_gateway.Run([&]() -> asio::awaitable<void> {
    co_await OpenAndSet();
    const auto write = MakeWrite("w2", "a");
    m_reply = co_await m_gateway.runner.RunNext(m_gateway.Task(write, m_caller), m_pin);
  });
  ASSERT_FALSE(m_reply.ok());
  EXPECT_EQ(m_reply.error->code, StatementError::kAborted);
  EXPECT_EQ(RunsOf(m_fake_group, "w2"), std::vector<std::string>{});
  EXPECT_TRUE(m_fake_group.acknowledged.empty());
  EXPECT_FALSE(m_pin.IsOpen());
}

// Guards against a read outside a transaction that is sent together with a value that the server
// refuses, at the primary and at replicas.
TEST_F(RefusedValuesTest, AReadIsNotSent) {
  m_caller.values["author"] = "clerk";
  RefuseValues();
  for (const auto consistency : {Consistency::kPrimary, Consistency::kBoundedStaleness}) {
    const auto read = MakeRead("r1", "a");
    m_gateway.Run([&]() -> asio::awaitable<void> {
      const auto task = m_gateway.Task(read, m_caller, consistency);
      m_reply = co_await m_gateway.runner.Read(m_gateway.group, task);
    });
    ASSERT_FALSE(m_reply.ok());
    EXPECT_EQ(m_reply.error->code, StatementError::kBusy);
    EXPECT_EQ(RunsOf(m_fake_group, "r1"), std::vector<std::string>{});
  }
}

// Sessions that choose their statements at random and share the links of a few homes.
class SessionWalk {
 public:
  SessionWalk(FakeFleet& fleet, unsigned seed) : m_fleet(fleet), m_random(seed), m_seed(seed) {}

  // Runs `sessions` sessions at the same time, half of them at a home, with `steps` statements
  // each.
  void Run(int sessions, int steps) {
    int running = sessions;
    m_fleet.Run([&]() -> asio::awaitable<void> {
      for (int i = 0; i < sessions; ++i) {
        auto& vm = i % 2 == 0 ? *m_fleet.Homes().front() : *m_fleet.NonHomes().front();
        Spawn(m_fleet.io, [&, i]() -> asio::awaitable<void> {
          co_await RunSession(vm, fmt::format("{}-{}", m_seed, i), steps);
          --running;
        });
      }
      while (running > 0) {
        co_await Sleep(Millis(1));
      }
    });
  }

  // Expects that each statement ran with the values that its session held when it was sent.
  void Check() {
    for (const auto& [id, values] : m_expected) {
      for (const auto& run : RunsOf(m_fleet.fake_group, id)) {
        EXPECT_TRUE(run.starts_with(values + id + " ")) << run << "; acknowledged: " << values;
      }
    }
  }

  // Statements that succeeded at a server.
  int succeeded() const { return m_succeeded; }

 private:
  int Choose(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }

  Statement Next(const std::string& id, SessionState state) {
    if (state == SessionState::kFailed) {
      return MakeStatement(StatementKind::kRollback, id, "ROLLBACK");
    }
    const bool open = state == SessionState::kInTransaction;
    switch (Choose(8)) {
      case 0:
      case 1:
        return MakeSet(id, Choose(2) == 0 ? "author" : "zone", std::to_string(Choose(3)));
      case 2:
        return open ? MakeStatement(StatementKind::kRollback, id, "ROLLBACK") : MakeRead(id, "a");
      case 3:
      case 4:
        return open ? MakeStatement(StatementKind::kCommit, id, "COMMIT")
                    : MakeStatement(StatementKind::kBegin, id, "BEGIN");
      case 5:
        return open ? MakeWrite(id, "a")
                    : MakeStatement(StatementKind::kBeginReadOnly, id, "BEGIN FETCH");
      case 6:
        return MakeRead(id, "a");
      default:
        return MakeWrite(id, "a");
    }
  }

  asio::awaitable<void> RunSession(FakeVm& vm, std::string name, int steps) {
    const DatabaseName database{kDatabase};
    auto opened = co_await vm.gateway->sessions().Open(database);
    const auto session = std::get<std::shared_ptr<CallerSession>>(opened);
    std::map<std::string, std::string> held;
    for (int i = 0; i < steps; ++i) {
      const auto id = fmt::format("s{}-{}", name, i);
      const auto statement = Next(id, session->state());
      std::string values;
      for (const auto& [key, value] : held) {
        values += fmt::format("{}={} ", key, value);
      }
      m_expected[id] = values;
      const auto reply = co_await session->Execute(statement);
      if (reply.ok() && statement.kind == StatementKind::kSetValue) {
        held[statement.name] = statement.value;
      }
      m_succeeded += reply.ok() && reply.signature != "-" ? 1 : 0;
    }
    co_await vm.gateway->sessions().Close(session);
  }

  FakeFleet& m_fleet;
  std::mt19937 m_random;
  const unsigned m_seed;
  std::map<std::string, std::string> m_expected;
  int m_succeeded = 0;
};

// Guards against a statement that is sent together with the values that it depends on: it runs even
// if the server refuses them. Each way to a server is taken: single statements, and the first,
// later and last statements of transactions, at a home and forwarded to one.
TEST(SessionValuesTest, EveryStatementRunsWithTheAcknowledgedValues) {
  constexpr unsigned kSeeds = 50;
  FakeFleet fleet(6, 2, 1);
  for (unsigned seed = 1; seed <= kSeeds && !HasFailure(); ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    std::mt19937 random(seed);
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.fake_group.server(i).ran.clear();
      fleet.fake_group.server(i).refuses_values = [&random] { return random() % 10 == 0; };
    }
    SessionWalk walk(fleet, seed);
    walk.Run(6, 30);
    walk.Check();
    EXPECT_GT(walk.succeeded(), 30);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.fake_group.server(i).refuses_values = [] { return false; };
  }
}

}  // namespace
}  // namespace cardamom::testing
