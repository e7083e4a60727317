// Replies that are, or may be, copies of earlier ones, and what the gateway concludes from them.
#include <gtest/gtest.h>

#include <optional>
#include <utility>

#include "gateway_fakes.h"

namespace cardamom::testing {
namespace {

class RepeatedReplyTest : public ::testing::Test {
 protected:
  Reply Write(const std::string& id) {
    const auto statement = MakeWrite(id, "a");
    Reply reply;
    m_gateway.Run([&]() -> asio::awaitable<void> {
      reply = co_await m_gateway.runner.Write(m_gateway.group, m_gateway.Task(statement, m_caller));
    });
    return reply;
  }

  // Runs a write and a commit in a transaction and returns the reply to the commit.
  Reply CommitWrite(const std::string& id) {
    Reply reply;
    m_gateway.Run([&]() -> asio::awaitable<void> {
      TransactionPin pin;
      const auto write = MakeWrite(id, "a");
      const auto first = co_await m_gateway.runner.RunFirst(
          m_gateway.group, m_gateway.Task(write, m_caller), false, pin);
      EXPECT_TRUE(first.ok());
      if (!pin.IsOpen()) {
        co_return;
      }
      m_before_commit();
      const auto commit = MakeStatement(StatementKind::kCommit, "c-" + id, "COMMIT");
      reply = co_await m_gateway.runner.Commit(m_gateway.Task(commit, m_caller), pin);
    });
    return reply;
  }

  // Makes the server answer the next statement with the copy of a refusal.
  void RepeatRefusalOnce() {
    m_server.repeats_refusal = [this] { return std::exchange(m_repeats, false); };
    m_repeats = true;
  }

  FakeGroup m_group{3};
  FakeServer& m_server = m_group.server(0);
  FakeGateway m_gateway{m_group};
  CallerState m_caller;
  std::function<void()> m_before_commit = [] {};
  bool m_repeats = false;
};

// Guards against a write that has taken effect and is repeated, or reported as not run.
TEST_F(RepeatedReplyTest, AWriteBehindACopyIsInDoubtAndNotRepeated) {
  ASSERT_TRUE(Write("w1").ok());
  RepeatRefusalOnce();
  const auto reply = Write("w2");
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kInDoubt);
  EXPECT_EQ(m_group.acknowledged, (std::vector<std::string>{"w1", "w2"}));
  const auto next = Write("w3");
  ASSERT_TRUE(next.ok());
  EXPECT_TRUE(next.signature.ends_with("-w3")) << next.signature;
}

// Guards against a commit that has taken effect and is reported as aborted.
TEST_F(RepeatedReplyTest, ACommitBehindACopyIsInDoubt) {
  ASSERT_TRUE(Write("w1").ok());
  m_before_commit = [this] { RepeatRefusalOnce(); };
  const auto reply = CommitWrite("w2");
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kInDoubt);
  EXPECT_EQ(m_group.acknowledged, (std::vector<std::string>{"w1", "w2"}));
}

// A refusal that the server repeats for every statement is confirmed: callers may retry at once,
// and no link is lost.
TEST_F(RepeatedReplyTest, ConfirmedRefusalsPromiseNoEffectAndKeepTheLink) {
  ASSERT_TRUE(Write("w1").ok());
  m_server.refusals_are_known = true;
  m_server.busy = true;
  const auto links = m_server.links_opened;
  for (int i = 0; i < 5; ++i) {
    const auto reply = Write("busy-" + std::to_string(i));
    ASSERT_FALSE(reply.ok());
    EXPECT_EQ(reply.error->code, StatementError::kBusy);
  }
  EXPECT_EQ(m_server.links_opened, links);
  m_before_commit = [this] { m_server.busy = true; };
  m_server.busy = false;
  const auto commit = CommitWrite("w2");
  ASSERT_FALSE(commit.ok());
  EXPECT_EQ(commit.error->code, StatementError::kAborted);
  EXPECT_EQ(m_server.links_opened, links);
  EXPECT_EQ(m_group.acknowledged, (std::vector<std::string>{"w1"}));
}

// Guards against a watermark that lacks acknowledged commits, because the copy of an earlier
// begin's reply was taken for the position of the primary now.
TEST_F(RepeatedReplyTest, ThePositionOfABeginIsNotTakenForTheWatermark) {
  ASSERT_TRUE(Write("w1").ok());
  const auto stale = m_server.position();
  ASSERT_TRUE(m_group.Commit(m_server, "by another proxy"));
  m_server.on_reply = [&](const EndpointRequest& request, EndpointReply& answer) {
    if (request.operation == EndpointOperation::kBegin) {
      answer.reply.position = stale;
    }
  };
  const auto started = BootClock::now();
  const auto read = MakeRead("r1", "a");
  std::optional<Position> watermark;
  m_gateway.Run([&]() -> asio::awaitable<void> {
    const auto single =
        co_await m_gateway.runner.Read(m_gateway.group, m_gateway.Task(read, m_caller));
    EXPECT_TRUE(single.ok());
    watermark = m_gateway.group->watermarks().PositionCovering(started);
  });
  ASSERT_TRUE(watermark);
  EXPECT_EQ(*watermark, m_server.position());
  m_gateway.Run([&]() -> asio::awaitable<void> {
    TransactionPin pin;
    const auto begun = BootClock::now();
    const auto first = co_await m_gateway.runner.RunFirst(
        m_gateway.group, m_gateway.Task(read, m_caller), false, pin);
    EXPECT_TRUE(first.ok());
    watermark = m_gateway.group->watermarks().PositionCovering(begun);
    co_await m_gateway.runner.Rollback(pin);
  });
  ASSERT_TRUE(watermark);
  EXPECT_EQ(*watermark, m_server.position());
}

// Guards against a transaction whose first read runs on an old log, because a copy hid that the
// replica refused the begin.
TEST_F(RepeatedReplyTest, TheFirstReadOfATransactionAtAReplicaNamesThePositionThatItNeeds) {
  ASSERT_TRUE(Write("w1").ok());
  int reads = 0;
  for (std::size_t i = 1; i < 3; ++i) {
    m_group.server(i).on_reply = [&](const EndpointRequest& request, const EndpointReply&) {
      if (request.operation == EndpointOperation::kForward) {
        ++reads;
        EXPECT_TRUE(request.min_position);
      }
    };
  }
  m_gateway.Run([&]() -> asio::awaitable<void> {
    TransactionPin pin;
    const auto read = MakeRead("r1", "a");
    const auto first = co_await m_gateway.runner.RunFirst(
        m_gateway.group, m_gateway.Task(read, m_caller, Consistency::kBoundedStaleness), true, pin);
    EXPECT_TRUE(first.ok());
    EXPECT_FALSE(pin.at_primary);
    co_await m_gateway.runner.Rollback(pin);
  });
  EXPECT_EQ(reads, 1);
}

}  // namespace
}  // namespace cardamom::testing
