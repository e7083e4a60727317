// Checks with real processes that a write with an idempotency key runs at most once. A proxy or a
// caller repeats a write whose response it did not get; the first attempt may have run, on this
// primary or on the one before a failover.
#include <gtest/gtest.h>

#include <thread>

#include "bench/cluster/workload.h"

namespace cardamom {
namespace {

constexpr Millis kWaitTimeout{20'000};
constexpr const char* kInsert = "INSERT INTO orders VALUES (?)";

class AtMostOnceTest : public testing::Test {
 protected:
  AtMostOnceTest() : m_cluster({.proxies = 2, .servers_per_group = 3}) {
    m_cluster.AddGroup("g");
    CreateWorkloadTable(m_cluster, "g");
  }

  CallerReply Write(std::size_t proxy, const std::string& id, Millis deadline = Millis(5000)) {
    Session session("g");
    session.set_deadline(deadline);
    return session.Write(m_cluster.proxy(proxy).caller_address, kInsert, {boost::json::string(id)},
                         "key-" + id);
  }

  Cluster m_cluster;
};

TEST_F(AtMostOnceTest, SameKeyThroughTwoProxiesAtOnce) {
  for (int i = 0; i < 30; ++i) {
    const auto id = "twin" + std::to_string(i);
    CallerReply first;
    std::thread other([&] { first = Write(0, id); });
    const auto second = Write(1, id);
    other.join();
    EXPECT_TRUE(first.ok()) << first.body;
    EXPECT_TRUE(second.ok()) << second.body;
    EXPECT_NE(first.result.replayed, second.result.replayed);
  }
  for (const auto& [id, count] : ReadFinalState(m_cluster, "g")) {
    EXPECT_EQ(count, 1) << id;
  }
}

TEST_F(AtMostOnceTest, LostAnswersAreResolvedByTheKey) {
  EndpointFaults faults;
  faults.lose_answers = 2;
  for (int i = 0; i < 10; ++i) {
    m_cluster.SetEndpointFaults(m_cluster.PrimaryOf("g"), faults);
    const auto reply = Write(0, "lost" + std::to_string(i));
    ASSERT_TRUE(reply.ok()) << reply.body;
    EXPECT_TRUE(*reply.result.replayed);
  }
  const auto state = ReadFinalState(m_cluster, "g");
  EXPECT_EQ(state.size(), 10U);
  for (const auto& [id, count] : state) {
    EXPECT_EQ(count, 1) << id;
  }
}

TEST_F(AtMostOnceTest, LostAnswerThenRetryThroughAnotherProxy) {
  EndpointFaults faults;
  faults.lose_answers = 1000;
  m_cluster.SetEndpointFaults(m_cluster.PrimaryOf("g"), faults);
  const auto first_reply = Write(0, "roam", Millis(300));
  EXPECT_TRUE(first_reply.outcome_unknown()) << first_reply.body;
  EXPECT_EQ(first_reply.problem.code, static_cast<int>(ResultCode::kOutcomeUnknown));
  EXPECT_EQ(first_reply.problem.key, "key-roam");
  m_cluster.SetEndpointFaults(m_cluster.PrimaryOf("g"), {});
  const auto reply = Write(1, "roam");
  ASSERT_TRUE(reply.ok()) << reply.body;
  EXPECT_TRUE(*reply.result.replayed);
  EXPECT_EQ(ReadFinalState(m_cluster, "g").at("roam"), 1);
}

TEST_F(AtMostOnceTest, KeyedWritesRetriedAfterAFailoverRunOnce) {
  EndpointFaults faults;
  faults.lose_answers = 1000;
  const auto old_primary = m_cluster.PrimaryOf("g");
  ASSERT_TRUE(Write(0, "before").ok());
  m_cluster.SetEndpointFaults(old_primary, faults);
  const auto first_reply = Write(0, "across", Millis(300));
  EXPECT_TRUE(first_reply.outcome_unknown()) << first_reply.body;
  m_cluster.endpoint(old_primary).process->Kill();
  const auto again = Write(1, "across");
  ASSERT_TRUE(again.ok()) << again.body;
  const auto replay = Write(1, "before");
  ASSERT_TRUE(replay.ok()) << replay.body;
  EXPECT_TRUE(*replay.result.replayed);
  const auto state = ReadFinalState(m_cluster, "g", 1);
  EXPECT_EQ(state.at("across"), 1);
  EXPECT_EQ(state.at("before"), 1);
}

TEST_F(AtMostOnceTest, SameKeyForAnotherStatementIsRejected) {
  ASSERT_TRUE(Write(0, "one").ok());
  Session session("g");
  const auto reply = session.Write(m_cluster.proxy(1).caller_address, kInsert,
                                   {boost::json::string("two")}, "key-one");
  EXPECT_EQ(reply.problem.code, static_cast<int>(ResultCode::kKeyConflict));
  EXPECT_TRUE(reply.not_run());
  EXPECT_FALSE(ReadFinalState(m_cluster, "g").contains("two"));
}

TEST_F(AtMostOnceTest, OutcomeCanBeQueriedByKey) {
  ASSERT_TRUE(Write(0, "asked").ok());
  Session session("g");
  auto reply = session.Get(m_cluster.proxy(1).caller_address, "/v1/groups/g/outcomes/key-asked");
  ASSERT_TRUE(reply.ok()) << reply.body;
  EXPECT_EQ(DecodeJson<OutcomeAnswer>(reply.body)->state, "committed");
  reply = session.Get(m_cluster.proxy(1).caller_address, "/v1/groups/g/outcomes/key-other");
  ASSERT_TRUE(reply.ok()) << reply.body;
  EXPECT_EQ(DecodeJson<OutcomeAnswer>(reply.body)->state, "none");
}

TEST_F(AtMostOnceTest, RefusedWritesDidNotRun) {
  // No replica receives the writes, so none is acknowledged before the faults are removed. Writes
  // that are refused as not run must not have run.
  EndpointFaults frozen;
  frozen.replication_frozen = true;
  const auto primary = m_cluster.PrimaryOf("g");
  for (const auto& endpoint : m_cluster.endpoints()) {
    if (endpoint->id.value() != primary) {
      m_cluster.SetEndpointFaults(endpoint->id.value(), frozen);
    }
  }
  Workload workload(m_cluster, {.sessions = 8, .deadline = Millis(400)});
  const auto deadline = Clock::now() + kWaitTimeout;
  while (workload.history().writes().size() < 60 && Clock::now() < deadline) {
    std::this_thread::sleep_for(Millis(10));
  }
  for (const auto& endpoint : m_cluster.endpoints()) {
    m_cluster.SetEndpointFaults(endpoint->id.value(), {});
  }
  EXPECT_TRUE(workload.WaitForWrites(10, kWaitTimeout));
  workload.Stop();
  for (const auto& violation : workload.history().FindViolations(ReadFinalState(m_cluster, "g"))) {
    ADD_FAILURE() << violation;
  }
}

}  // namespace
}  // namespace cardamom
