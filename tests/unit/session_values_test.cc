// Session values of the server's connection on which a statement runs. Guards against statements
// that run with other values than those that were acknowledged to the caller.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <fmt/format.h>

#include "fleet_fakes.h"

namespace cardamom::testing {
namespace {

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

}  // namespace
}  // namespace cardamom::testing
