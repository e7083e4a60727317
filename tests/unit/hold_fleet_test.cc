// Several proxies hold back acknowledgements while one of them replaces a primary that it does not
// reach and others do.
#include <gtest/gtest.h>

#include "async/notifier.h"
#include "async/spawn.h"
#include "fleet/peer_messages.h"
#include "fleet_fakes.h"

namespace cardamom::testing {
namespace {

class HoldFleetTest : public ::testing::Test {
 protected:
  // Every proxy knows the primary: one that does not forwards writes to another home, and takes a
  // primary that it never reached for a replica.
  HoldFleetTest() {
    m_fleet.Configure(2, Millis(2000));
    const std::function<bool()> all_know_primary = [this] {
      for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        if (m_fleet.vm(i).Events(EventCode::kTermLearned).empty()) {
          return false;
        }
      }
      return true;
    };
    EXPECT_TRUE(m_fleet.RunUntil(all_know_primary, Millis(5000)));
  }

  // Cuts vm-0 off from the primary, so that it replaces it.
  void CutOffFirstProxy() { m_fleet.vm(0).unreachable_servers.insert(EndpointId("e0")); }

  // Starts a write at `vm`, whose reply is stored in `m_reply`.
  void StartWrite(FakeVm& vm) {
    Spawn(m_fleet.io, [this, &vm]() -> asio::awaitable<void> {
      const DatabaseName database{"depot"};
      auto opened = co_await vm.gateway->sessions().Open(database);
      const auto session = std::get<std::shared_ptr<CallerSession>>(opened);
      const auto write = MakeWrite("late", "a");
      m_reply = co_await session->Execute(write);
    });
  }

  bool IsPromoted() {
    return m_fleet.fake_group.FindPrimary() != nullptr &&
           m_fleet.fake_group.FindPrimary()->entry.id != EndpointId("e0");
  }

  HttpResponse Send(FakeVm& vm, const char* target, std::string body) {
    HttpResponse response;
    m_fleet.Run([&]() -> asio::awaitable<void> {
      HttpRequest request;
      request.method = "POST";
      request.target = target;
      request.body = std::move(body);
      response = co_await vm.gateway->HandlePeer(std::move(request));
    });
    return response;
  }

  FakeFleet m_fleet{3, 3, 32};
  std::optional<Reply> m_reply;
};

// Guards against a lost commit (LOST on the bench): a replica restarted out of its pause between
// the comparison of the logs and the promotion, and the old primary, which only the holder did not
// reach, acknowledged a commit through it to a caller of another proxy.
TEST_F(HoldFleetTest, NoCallerIsToldOfACommitThatThePromotedServerLacks) {
  ASSERT_TRUE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w0", "a")})[0].ok());
  auto& group = m_fleet.fake_group;
  std::size_t promoted_log = 0;
  m_fleet.before_order = [&]() -> asio::awaitable<void> {
    group.server(2).paused_at = Term();
    for (int i = 0; i < 200 && group.acknowledged.size() < 2; ++i) {
      co_await Sleep(Millis(5));
    }
    promoted_log = group.server(1).log.size();
  };
  CutOffFirstProxy();
  ASSERT_TRUE(m_fleet.RunUntil(
      [this] { return !m_fleet.vm(0).Events(EventCode::kPrimarySuspected).empty(); },
      Millis(5000)));
  // The write is under way when the takeover begins.
  group.server(0).statement_duration = Millis(600);
  StartWrite(m_fleet.vm(1));
  ASSERT_TRUE(m_fleet.RunUntil([this] { return IsPromoted() && m_reply; }, Millis(5000)));
  ASSERT_EQ(group.acknowledged.size(), 2U);
  ASSERT_EQ(promoted_log, 1U);
  ASSERT_FALSE(m_reply->ok());
  EXPECT_EQ(m_reply->error->code, StatementError::kInDoubt);
}

// Guards against a lost commit (LOST on the bench): as above, and the holder did not reach the
// proxy that passed the acknowledgement on.
TEST_F(HoldFleetTest, NoCallerOfAProxyThatIsNotReachedIsToldOfALostCommit) {
  ASSERT_TRUE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w0", "a")})[0].ok());
  auto& group = m_fleet.fake_group;
  m_fleet.before_order = [&]() -> asio::awaitable<void> {
    group.server(2).paused_at = Term();
    for (int i = 0; i < 200 && group.acknowledged.size() < 2; ++i) {
      co_await Sleep(Millis(5));
    }
  };
  m_fleet.vm(2).frozen = true;
  CutOffFirstProxy();
  ASSERT_TRUE(m_fleet.RunUntil(
      [this] { return !m_fleet.vm(0).Events(EventCode::kPrimarySuspected).empty(); },
      Millis(5000)));
  // Longer than the wait for the proxy that gives no answer.
  group.server(0).statement_duration = Millis(900);
  StartWrite(m_fleet.vm(2));
  ASSERT_TRUE(m_fleet.RunUntil([this] { return IsPromoted() && m_reply; }, Millis(9000)));
  ASSERT_EQ(group.acknowledged.size(), 2U);
  const bool is_lost = group.FindPrimary()->log.size() < 2;
  EXPECT_FALSE(m_reply->ok() && is_lost);
}

// Guards against the same with a proxy that the store does not reach either, which can't know of
// the takeover.
TEST_F(HoldFleetTest, ProxyWithoutLeaseAcknowledgesNothingThatNoWitnessHas) {
  ASSERT_TRUE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w0", "a")})[0].ok());
  auto& group = m_fleet.fake_group;
  m_fleet.vm(2).frozen = true;
  m_fleet.vm(2).store_unresponsive = true;
  m_fleet.before_order = [&]() -> asio::awaitable<void> {
    group.server(2).paused_at = Term();
    StartWrite(m_fleet.vm(2));
    for (int i = 0; i < 200 && !m_reply; ++i) {
      co_await Sleep(Millis(5));
    }
  };
  CutOffFirstProxy();
  ASSERT_TRUE(m_fleet.RunUntil([this] { return IsPromoted() && m_reply; }, Millis(9000)));
  EXPECT_FALSE(m_fleet.vm(2).Events(EventCode::kLeaseLost).empty());
  EXPECT_TRUE(m_fleet.vm(2).Events(EventCode::kAcknowledgementsHeld).empty());
  // Another home, which holds acknowledgements back, was asked.
  EXPECT_FALSE(m_fleet.vm(2).Events(EventCode::kStatementForwarded).empty());
  EXPECT_EQ(group.FindPrimary()->log.size(), m_reply->ok() ? 2U : 1U);
}

// Guards against takeovers that wait for longer than a lease for proxies that do not answer.
TEST_F(HoldFleetTest, SilentProxyPreventsNoTakeover) {
  m_fleet.vm(2).frozen = true;
  CutOffFirstProxy();
  ASSERT_TRUE(m_fleet.RunUntil([this] { return IsPromoted(); }, Millis(8000)));
  const auto orders = m_fleet.vm(0).Events(EventCode::kPromotionOrdered);
  ASSERT_FALSE(orders.empty());
  EXPECT_NE(orders.front().subject.detail.find("no answer of vm-2"), std::string::npos)
      << orders.front().subject.detail;
}

// Guards against commits that wait until a hold ends by itself: its holder died.
TEST_F(HoldFleetTest, HoldThatIsLeftBehindIsEndedByAnotherProxy) {
  const PeerHold hold{"orders", 1};
  ASSERT_EQ(Send(m_fleet.vm(1), kPeerHoldPath, EncodeJson(hold)).status, 200);
  EXPECT_FALSE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w1", "a")})[0].ok());
  EXPECT_TRUE(m_fleet.Execute(m_fleet.vm(2), {MakeWrite("w2", "a")})[0].ok());
  const std::function<bool()> released = [this] {
    return !m_fleet.vm(1).Events(EventCode::kAcknowledgementsReleased).empty();
  };
  ASSERT_TRUE(m_fleet.RunUntil(released, Millis(5000)));
  EXPECT_TRUE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w3", "a")})[0].ok());
  EXPECT_FALSE(IsPromoted());
}

TEST_F(HoldFleetTest, AnswersWithWhatItHasPassedOn) {
  ASSERT_TRUE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w1", "a")})[0].ok());
  ASSERT_TRUE(m_fleet.Execute(m_fleet.vm(1), {MakeWrite("w2", "a")})[0].ok());
  ASSERT_TRUE(m_fleet.vm(1).Events(EventCode::kStatementForwarded).empty());
  const PeerHold hold{"orders", 8};
  const auto answer = Send(m_fleet.vm(1), kPeerHoldPath, EncodeJson(hold));
  const auto reply = DecodeJson<PeerHoldReply>(answer.body);
  ASSERT_TRUE(reply);
  EXPECT_TRUE(reply->held);
  EXPECT_EQ(reply->passed_on, (Position{Term(1), LogIndex(2)}));
  EXPECT_EQ(reply->log_end, (Position{Term(1), LogIndex(2)}));
  const PeerHold lower{"orders", 7};
  const auto refusal =
      DecodeJson<PeerHoldReply>(Send(m_fleet.vm(1), kPeerHoldPath, EncodeJson(lower)).body);
  ASSERT_TRUE(refusal);
  EXPECT_FALSE(refusal->held);
  EXPECT_EQ(Send(m_fleet.vm(1), kPeerHoldPath, "nonsense").status, 400);
  EXPECT_EQ(Send(m_fleet.vm(1), kPeerReleasePath, "nonsense").status, 400);
}

}  // namespace
}  // namespace cardamom::testing
