// Checks with real processes that a transaction is isolated from other requests and takes effect
// only by its commit, also if its caller, its proxy or the primary fails.
#include <gtest/gtest.h>

#include <thread>

#include "bench/cluster/workload.h"

namespace cardamom {
namespace {

constexpr Millis kWaitTimeout{10'000};

class TransactionTest : public testing::Test {
 protected:
  TransactionTest()
      : m_cluster({.proxies = 2,
                   .servers_per_group = 3,
                   .extra_proxy_flags = {"--transaction-idle-ms", "800"}}) {
    m_cluster.AddGroup("g");
    CreateWorkloadTable(m_cluster, "g");
  }

  const Address& CallerAddress(std::size_t i) { return m_cluster.proxy(i).caller_address; }

  static std::string TransactionPath(const std::string& id, const std::string& operation) {
    return "/v1/transactions/" + id + "/" + operation;
  }

  CallerReply Insert(Session& session,
                     std::size_t proxy,
                     const std::string& transaction,
                     const std::string& row) {
    CallerStatement statement;
    statement.sql = "INSERT INTO orders VALUES (?)";
    statement.params.emplace_back(row);
    return session.Post(CallerAddress(proxy), TransactionPath(transaction, "statements"),
                        EncodeJson(statement));
  }

  // Inserts the row 'free' and returns whether that succeeds within 5 s. It needs the open
  // transaction to be rolled back: an endpoint runs one writer at a time.
  bool CanWrite() {
    Session session("g");
    session.set_deadline(Millis(5000));
    return session.Write(CallerAddress(1), "INSERT INTO orders VALUES ('free')", {}, "free").ok();
  }

  Cluster m_cluster;
};

TEST_F(TransactionTest, CommitShowsEverythingAndRollbackNothing) {
  Session session("g");
  const auto kept = session.Begin(CallerAddress(0));
  ASSERT_FALSE(kept.empty());
  EXPECT_TRUE(Insert(session, 0, kept, "a").ok());
  EXPECT_TRUE(Insert(session, 0, kept, "b").ok());
  EXPECT_TRUE(ReadFinalState(m_cluster, "g", 1).empty()) << "an open transaction was seen";
  EXPECT_TRUE(
      session.Post(CallerAddress(0), TransactionPath(kept, "commit"), "{}", "commit-1").ok());
  const auto dropped = session.Begin(CallerAddress(0));
  EXPECT_TRUE(Insert(session, 0, dropped, "c").ok());
  EXPECT_TRUE(session.Post(CallerAddress(0), TransactionPath(dropped, "rollback"), "{}").ok());
  const std::map<std::string, int> expected = {{"a", 1}, {"b", 1}};
  EXPECT_EQ(ReadFinalState(m_cluster, "g"), expected);
  // The session reads its own commit through the other proxy.
  const auto reply = session.Read(CallerAddress(1), "SELECT count(*) FROM orders");
  ASSERT_TRUE(reply.ok()) << reply.body;
  EXPECT_EQ(reply.result.rows.at(0).at(0), 2);
}

TEST_F(TransactionTest, StatementsThroughAnotherProxyReachTheOwner) {
  Session session("g");
  const auto id = session.Begin(CallerAddress(0));
  EXPECT_TRUE(Insert(session, 1, id, "x").ok());
  EXPECT_TRUE(Insert(session, 0, id, "y").ok());
  EXPECT_TRUE(session.Post(CallerAddress(1), TransactionPath(id, "commit"), "{}").ok());
  EXPECT_EQ(ReadFinalState(m_cluster, "g").size(), 2U);
}

TEST_F(TransactionTest, OwnerKilledDuringTransaction) {
  Session session("g");
  session.set_deadline(Millis(1000));
  const auto id = session.Begin(CallerAddress(0));
  EXPECT_TRUE(Insert(session, 0, id, "half").ok());
  m_cluster.proxy(0).process->Kill();
  const auto statement = Insert(session, 1, id, "more");
  EXPECT_FALSE(statement.ok());
  EXPECT_TRUE(statement.not_run()) << statement.body;
  m_cluster.PublishVms();
  ASSERT_TRUE(m_cluster.WaitForStatus(
      1, [](const ProxyStatus& status) { return status.vms.size() == 1; }, kWaitTimeout));
  EXPECT_EQ(Insert(session, 1, id, "more").problem.code,
            static_cast<int>(ResultCode::kTransactionAborted));
  EXPECT_TRUE(CanWrite());
  const std::map<std::string, int> expected = {{"free", 1}};
  EXPECT_EQ(ReadFinalState(m_cluster, "g", 1), expected);
}

TEST_F(TransactionTest, SecondConcurrentRequestIsRejected) {
  Session session("g");
  const auto id = session.Begin(CallerAddress(0));
  EndpointFaults slow;
  slow.answer_delay_ms = 300;
  m_cluster.SetEndpointFaults(m_cluster.PrimaryOf("g"), slow);
  CallerReply first;
  std::thread other([&] {
    Session another("g");
    first = Insert(another, 0, id, "one");
  });
  // Waits until the first request is in progress; `in_progress` also counts the open transaction.
  ASSERT_TRUE(m_cluster.WaitForStatus(
      0, [](const ProxyStatus& status) { return status.in_progress >= 2; }, kWaitTimeout));
  const auto second = Insert(session, 0, id, "two");
  other.join();
  EXPECT_TRUE(first.ok()) << first.body;
  EXPECT_EQ(second.problem.code, static_cast<int>(ResultCode::kTransactionBusy));
  EXPECT_TRUE(second.not_run());
}

TEST_F(TransactionTest, IdleTransactionIsRolledBack) {
  {
    Session gone("g");
    const auto id = gone.Begin(CallerAddress(0));
    EXPECT_TRUE(Insert(gone, 0, id, "left").ok());
  }
  EXPECT_TRUE(CanWrite()) << "the idle transaction was not rolled back";
  EXPECT_FALSE(ReadFinalState(m_cluster, "g").contains("left"));
}

TEST_F(TransactionTest, PrimaryKilledDuringTransaction) {
  Session session("g");
  const auto id = session.Begin(CallerAddress(0));
  EXPECT_TRUE(Insert(session, 0, id, "gone").ok());
  m_cluster.endpoint(m_cluster.PrimaryOf("g")).process->Kill();
  const auto commit =
      session.Post(CallerAddress(0), TransactionPath(id, "commit"), "{}", "commit-gone");
  EXPECT_FALSE(commit.ok());
  EXPECT_EQ(commit.problem.code, static_cast<int>(ResultCode::kTransactionAborted)) << commit.body;
  EXPECT_FALSE(ReadFinalState(m_cluster, "g").contains("gone"));
}

TEST_F(TransactionTest, LostAnswerOfACommitIsResolved) {
  Session session("g");
  const auto id = session.Begin(CallerAddress(0));
  EXPECT_TRUE(Insert(session, 0, id, "kept").ok());
  EndpointFaults faults;
  faults.lose_answers = 1;
  m_cluster.SetEndpointFaults(m_cluster.PrimaryOf("g"), faults);
  const auto commit =
      session.Post(CallerAddress(0), TransactionPath(id, "commit"), "{}", "commit-kept");
  EXPECT_TRUE(commit.ok()) << commit.body;
  EXPECT_EQ(ReadFinalState(m_cluster, "g").at("kept"), 1);
}

TEST_F(TransactionTest, InvalidTransactionIdsAreRejected) {
  Session session("g");
  EXPECT_EQ(Insert(session, 0, "vm0~0123", "x").problem.code,
            static_cast<int>(ResultCode::kUnknownTransaction));
  EXPECT_EQ(Insert(session, 0, "nonsense", "x").problem.code,
            static_cast<int>(ResultCode::kUnknownTransaction));
}

}  // namespace
}  // namespace cardamom
