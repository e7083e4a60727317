// Tests of a planned stop: every statement that was received is answered, and nothing that a server
// may have to carry out is cut off.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>

#include "async/notifier.h"
#include "fleet_fakes.h"

namespace cardamom::testing {
namespace {

constexpr Millis kStopLimit{2400};
// With this limit, open transactions are refused from half of it on. Moments before and after that.
constexpr Millis kBeforeRefusal{kStopLimit / 2 - Millis(200)};
constexpr Millis kAfterRefusal{kStopLimit / 2 + Millis(250)};
// With this limit they are refused 1.7 s before its end.
constexpr Millis kLongStopLimit{4400};
constexpr Millis kLongTimeout{10'000};

Statement MakeBegin() {
  return MakeStatement(StatementKind::kBegin, "begin", "BEGIN");
}

Statement MakeCommit(const std::string& id) {
  return MakeStatement(StatementKind::kCommit, id, "COMMIT");
}

class StopTest : public ::testing::Test {
 protected:
  explicit StopTest(std::size_t vms = 1, std::int64_t direct_vms = 32)
      : m_fleet(vms, 1, direct_vms) {
    m_fleet.Configure(2, kLongTimeout);
    m_fleet.RunUntil([] { return false; }, Millis(100));
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      m_fleet.vm(i).settings.stop_limit_ms = kStopLimit.count();
      m_fleet.vm(i).settings.stop_notice_ms = 100;
    }
  }

  std::shared_ptr<CallerSession> OpenSession(FakeVm& vm) {
    std::shared_ptr<CallerSession> session;
    m_fleet.Run([&]() -> asio::awaitable<void> {
      const DatabaseName database{"depot"};
      auto opened = co_await vm.gateway->sessions().Open(database);
      session = std::get<std::shared_ptr<CallerSession>>(opened);
    });
    return session;
  }

  // Runs `statement` and waits for its reply.
  Reply Execute(const std::shared_ptr<CallerSession>& session, const Statement& statement) {
    Start(session, statement);
    m_fleet.RunUntil([&] { return m_replies.contains(statement.id.value()); }, kLongTimeout);
    return m_replies[statement.id.value()];
  }

  void Start(std::shared_ptr<CallerSession> session, Statement statement) {
    ++m_unanswered;
    m_replies.erase(statement.id.value());
    Spawn(m_fleet.io, [this, session, statement]() -> asio::awaitable<void> {
      auto reply = co_await session->Execute(statement);
      --m_unanswered;
      m_replies[statement.id.value()] = std::move(reply);
      m_replied_at[statement.id.value()] = Clock::now();
    });
  }

  // Stops `vm`, whose callers have `connections` connections as long as the stop lasts.
  void Stop(FakeVm& vm, std::size_t connections) {
    m_stop_began = Clock::now();
    vm.gateway->Stop({[connections] { return connections; }, [this] { return m_unanswered; },
                      [this] { m_stopped_at = Clock::now(); }});
  }

  void RunUntilAfterStop(Millis time) {
    m_fleet.RunUntil([&] { return Clock::now() >= m_stop_began + time; }, kLongTimeout);
  }

  void RunUntilStopped() {
    m_fleet.RunUntil([this] { return m_stopped_at.has_value(); }, kLongTimeout);
    ASSERT_TRUE(m_stopped_at);
    EXPECT_LT(*m_stopped_at, m_stop_began + kStopLimit);
  }

  void SetStatementDuration(Millis duration) {
    for (std::size_t i = 0; i < 3; ++i) {
      m_fleet.fake_group.server(i).statement_duration = duration;
    }
  }

  // Whether the statement `id` has run at a server.
  bool HasRun(const std::string& id) {
    for (std::size_t i = 0; i < 3; ++i) {
      const auto& ran = m_fleet.fake_group.server(i).ran;
      if (std::any_of(ran.begin(), ran.end(), [&](const auto& text) {
            return text.find(" " + id + " ") != std::string::npos;
          })) {
        return true;
      }
    }
    return false;
  }

  void ExpectAborted(const Reply& reply) {
    ASSERT_FALSE(reply.ok());
    EXPECT_EQ(reply.error->code, StatementError::kAborted);
  }

  FakeFleet m_fleet;
  std::map<std::string, Reply> m_replies;
  std::map<std::string, TimePoint> m_replied_at;
  std::size_t m_unanswered = 0;
  TimePoint m_stop_began;
  std::optional<TimePoint> m_stopped_at;
};

class HomeStopTest : public StopTest {
 protected:
  HomeStopTest() : StopTest(4, 1) {}

  // The home at which a statement has run.
  FakeVm& UsedHome() {
    for (auto* home : m_fleet.Homes()) {
      if (!home->Events(EventCode::kStatementAnswered).empty()) {
        return *home;
      }
    }
    throw std::logic_error("no statement has run");
  }
};

// Guards against a transaction that is not ended by a stop, because one of its statements
// was in progress then, and whose later statements are cut off when the process ends.
TEST_F(StopTest, TransactionIsRefusedAfterAStatementThatWasInProgress) {
  auto& vm = m_fleet.vm(0);
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  ASSERT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  Stop(vm, 1);
  SetStatementDuration(Millis(400));
  RunUntilAfterStop(kBeforeRefusal);
  EXPECT_TRUE(Execute(session, MakeWrite("w-2", "a")).ok());
  ExpectAborted(Execute(session, MakeWrite("w-3", "a")));
  EXPECT_FALSE(HasRun("w-3"));
  ExpectAborted(Execute(session, MakeCommit("c-1")));
  EXPECT_FALSE(HasRun("c-1"));
  EXPECT_EQ(session->state(), SessionState::kIdle);
  RunUntilStopped();
  EXPECT_TRUE(m_fleet.fake_group.acknowledged.empty());
}

// As above, for the commit of such a transaction.
TEST_F(StopTest, CommitOfSuchATransactionIsRefused) {
  auto& vm = m_fleet.vm(0);
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  Stop(vm, 1);
  SetStatementDuration(Millis(400));
  RunUntilAfterStop(kBeforeRefusal);
  EXPECT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  ExpectAborted(Execute(session, MakeCommit("c-1")));
  EXPECT_FALSE(HasRun("c-1"));
  EXPECT_EQ(session->state(), SessionState::kIdle);
}

// As above, for a transaction that has begun but not run a statement, so that it holds no link.
TEST_F(StopTest, TransactionWithoutAStatementIsRefused) {
  auto& vm = m_fleet.vm(0);
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  Stop(vm, 1);
  RunUntilAfterStop(kAfterRefusal);
  ExpectAborted(Execute(session, MakeRead("r-1", "a")));
  EXPECT_FALSE(HasRun("r-1"));
}

// Guards against servers that keep locks for transactions that a stopping proxy will not commit.
TEST_F(StopTest, IdleTransactionIsRolledBack) {
  auto& vm = m_fleet.vm(0);
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  Execute(session, MakeWrite("w-1", "a"));
  Stop(vm, 1);
  RunUntilAfterStop(kAfterRefusal);
  EXPECT_EQ(vm.Events(EventCode::kTransactionAbandoned).size(), 1U);
  ExpectAborted(Execute(session, MakeCommit("c-1")));
  EXPECT_FALSE(HasRun("c-1"));
}

TEST_F(StopTest, TransactionMayEndAfterHalfOfALongLimit) {
  auto& vm = m_fleet.vm(0);
  vm.settings.stop_limit_ms = kLongStopLimit.count();
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  Stop(vm, 1);
  RunUntilAfterStop(kLongStopLimit / 2 + Millis(200));
  EXPECT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  EXPECT_TRUE(Execute(session, MakeCommit("c-1")).ok());
  EXPECT_FALSE(Execute(session, MakeBegin()).ok());
  EXPECT_EQ(m_fleet.fake_group.acknowledged.size(), 1U);
}

TEST_F(StopTest, TransactionMayEndInTheFirstHalfOfTheLimit) {
  auto& vm = m_fleet.vm(0);
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  Stop(vm, 1);
  RunUntilAfterStop(kBeforeRefusal);
  EXPECT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  EXPECT_TRUE(Execute(session, MakeCommit("c-1")).ok());
  EXPECT_EQ(m_fleet.fake_group.acknowledged.size(), 1U);
}

// Guards against a statement that is cut off at the end of the process, because its route allows it
// more time than the stop has left.
TEST_F(StopTest, StatementLongerThanTheStopIsAnsweredBeforeItsEnd) {
  auto& vm = m_fleet.vm(0);
  const auto session = OpenSession(vm);
  Stop(vm, 1);
  SetStatementDuration(kLongTimeout);
  RunUntilAfterStop(Millis(300));
  const auto reply = Execute(session, MakeWrite("w-1", "a"));
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kInDoubt);
  RunUntilStopped();
  EXPECT_LT(m_replied_at["w-1"], *m_stopped_at);
}

// As above, for the commit of a transaction, on a session that is opened during the stop.
TEST_F(StopTest, CommitLongerThanTheStopIsAnsweredBeforeItsEnd) {
  auto& vm = m_fleet.vm(0);
  Stop(vm, 1);
  RunUntilAfterStop(Millis(300));
  const auto session = OpenSession(vm);
  Execute(session, MakeBegin());
  ASSERT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  SetStatementDuration(kLongTimeout);
  const auto reply = Execute(session, MakeCommit("c-1"));
  ASSERT_FALSE(reply.ok());
  EXPECT_EQ(reply.error->code, StatementError::kInDoubt);
  RunUntilStopped();
  EXPECT_LT(m_replied_at["c-1"], *m_stopped_at);
}

// Guards against a process that ends while a reply is still being sent.
TEST_F(StopTest, EndWaitsForRepliesThatAreBeingSent) {
  auto& vm = m_fleet.vm(0);
  m_unanswered = 1;
  Stop(vm, 1);
  RunUntilAfterStop(kStopLimit - Millis(450));
  EXPECT_FALSE(m_stopped_at);
  m_unanswered = 0;
  RunUntilStopped();
}

// Guards against a home that ends while a statement or commit of another proxy is in progress.
TEST_F(HomeStopTest, CommitForAnotherProxyIsCarriedOutBeforeTheHomeEnds) {
  const auto session = OpenSession(*m_fleet.NonHomes().front());
  Execute(session, MakeBegin());
  ASSERT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  auto& home = UsedHome();
  SetStatementDuration(Millis(600));
  Start(session, MakeCommit("c-1"));
  m_fleet.RunUntil([] { return false; }, Millis(100));
  Stop(home, 0);
  RunUntilStopped();
  m_fleet.RunUntil([this] { return m_replies.contains("c-1"); }, kLongTimeout);
  EXPECT_TRUE(m_replies["c-1"].ok());
  EXPECT_LT(m_replied_at["c-1"], *m_stopped_at + Millis(50));
  EXPECT_GT(*m_stopped_at, m_stop_began + Millis(400));
}

// Guards against a transaction of another proxy that a stopping home does not end, because
// one of its statements was in progress then.
TEST_F(HomeStopTest, TransactionOfAnotherProxyIsRefusedAfterTheStatementInProgress) {
  const auto session = OpenSession(*m_fleet.NonHomes().front());
  Execute(session, MakeBegin());
  ASSERT_TRUE(Execute(session, MakeWrite("w-1", "a")).ok());
  auto& home = UsedHome();
  Stop(home, 0);
  SetStatementDuration(Millis(400));
  RunUntilAfterStop(kBeforeRefusal);
  EXPECT_TRUE(Execute(session, MakeWrite("w-2", "a")).ok());
  ExpectAborted(Execute(session, MakeCommit("c-1")));
  EXPECT_FALSE(HasRun("c-1"));
  RunUntilStopped();
}

}  // namespace
}  // namespace cardamom::testing
