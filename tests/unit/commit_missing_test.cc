// A primary that lacks an acknowledged commit is reported.
#include <gtest/gtest.h>

#include <algorithm>

#include "gateway_fakes.h"

namespace cardamom::testing {
namespace {

class CommitMissingTest : public ::testing::Test {
 protected:
  CommitMissingTest() { FindPrimary(); }

  void FindPrimary() {
    m_gateway.Run([this]() -> asio::awaitable<void> {
      co_await m_gateway.group->WaitForPrimary(Clock::now() + Millis(500));
      co_await m_gateway.group->ProbeIfPrimary(m_gateway.group->primary(),
                                               Clock::now() + Millis(500));
    });
  }

  void Write(const std::string& id) {
    m_gateway.Run([this, id]() -> asio::awaitable<void> {
      const CallerState caller;
      const auto statement = MakeWrite(id, "a");
      const auto reply =
          co_await m_gateway.runner.Write(m_gateway.group, m_gateway.Task(statement, caller));
      EXPECT_TRUE(reply.ok());
    });
  }

  std::ptrdiff_t Reports() {
    const auto events = m_gateway.events.Snapshot();
    return std::count_if(events.begin(), events.end(),
                         [](const auto& event) { return event.name == "commit_missing"; });
  }

  FakeGroup m_fake_group{3};
  FakeGateway m_gateway{m_fake_group};
};

// Guards against a lost commit that no log names.
TEST_F(CommitMissingTest, APromotedServerWithoutAnAcknowledgedCommitIsReportedOnce) {
  m_fake_group.server(1).replication_blocked = true;
  Write("w1");
  m_fake_group.Promote("e1");
  FindPrimary();
  FindPrimary();
  EXPECT_EQ(Reports(), 1);
}

// Guards against alarms at every change of primary.
TEST_F(CommitMissingTest, APromotedServerWithAllCommitsIsNotReported) {
  m_fake_group.server(1).replication_blocked = true;
  Write("w1");
  m_fake_group.Promote("e2");
  FindPrimary();
  Write("w2");
  EXPECT_EQ(Reports(), 0);
}

}  // namespace
}  // namespace cardamom::testing
