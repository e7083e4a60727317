// Checks with real processes that endpoints and proxies leave without caller errors, lost writes or
// aborted transactions.
#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "bench/cluster/workload.h"

namespace cardamom {
namespace {

// Target for the time after which an endpoint that leaves gets no more requests.
constexpr Millis kDrainTarget{3000};
// Target for the longest time without an acknowledged write during a switchover.
constexpr Millis kSwitchoverGapTarget{300};
constexpr Millis kWaitTimeout{15'000};

class DrainTest : public testing::Test {
 protected:
  DrainTest()
      : m_cluster({.proxies = 3,
                   .servers_per_group = 3,
                   .extra_proxy_flags = {"--stop-notice-ms", "200"}}) {
    m_cluster.AddGroup("g");
    CreateWorkloadTable(m_cluster, "g");
  }

  HttpResponse MarkLeaving(const std::string& id) {
    auto record = m_cluster.RecordOf("g");
    for (auto& endpoint : record.endpoints) {
      endpoint.leaving = endpoint.leaving || endpoint.id.value() == id;
    }
    return m_cluster.ReplaceRecord(record);
  }

  // Number of reads and writes that an endpoint has served.
  std::int64_t RequestsServedBy(const std::string& id) {
    const auto statistics = m_cluster.EndpointStatistics(id);
    return statistics.at("reads").as_int64() + statistics.at("writes").as_int64();
  }

  void ExpectNoErrorsAndNoViolations(Workload& workload, std::size_t proxy = 0) {
    workload.Stop();
    for (const auto& [problem, count] : workload.history().Problems()) {
      ADD_FAILURE() << count << " times " << problem;
    }
    for (const auto& violation :
         workload.history().FindViolations(ReadFinalState(m_cluster, "g", proxy))) {
      ADD_FAILURE() << violation;
    }
  }

  // Marks `id` as leaving under load. It must get no more requests after kDrainTarget, while
  // writes go on without errors and without a gap longer than kSwitchoverGapTarget.
  void DrainUnderLoad(const std::string& id) {
    Workload workload(m_cluster, {});
    ASSERT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
    const auto since = Clock::now();
    ASSERT_EQ(MarkLeaving(id).status, 200);
    std::this_thread::sleep_until(since + kDrainTarget);
    const auto before = RequestsServedBy(id);
    EXPECT_TRUE(workload.WaitForWrites(50, kWaitTimeout));
    EXPECT_EQ(RequestsServedBy(id), before);
    std::cout << "gap " << workload.history().LongestGap(since).count() << " ms\n";
    EXPECT_LE(workload.history().LongestGap(since), kSwitchoverGapTarget);
    ExpectNoErrorsAndNoViolations(workload);
  }

  Cluster m_cluster;
};

TEST_F(DrainTest, LeavingReplica) {
  const auto primary = m_cluster.PrimaryOf("g");
  DrainUnderLoad(primary == "g-c" ? "g-b" : "g-c");
}

TEST_F(DrainTest, LeavingPrimary) {
  const auto old_primary = m_cluster.PrimaryOf("g");
  DrainUnderLoad(old_primary);
  EXPECT_NE(m_cluster.PrimaryOf("g"), old_primary);
}

TEST_F(DrainTest, LeavingPrimaryWhileStoreIsSlow) {
  m_cluster.SetPlatformFaults(R"({"delay_ms":100})");
  const auto old_primary = m_cluster.PrimaryOf("g");
  DrainUnderLoad(old_primary);
  EXPECT_NE(m_cluster.PrimaryOf("g"), old_primary);
}

TEST_F(DrainTest, VoterCannotBeRemovedBeforeItLeft) {
  auto record = m_cluster.RecordOf("g");
  const auto primary = m_cluster.PrimaryOf("g");
  std::erase_if(record.endpoints, [&](const auto& endpoint) {
    return endpoint.id.value() != primary && endpoint.id.value() != "g-b";
  });
  EXPECT_EQ(m_cluster.ReplaceRecord(record).status, InfoOf(ResultCode::kRecordInvalid).http_status);
}

TEST_F(DrainTest, LeavingEndpointCanBeRemovedAfterItLeft) {
  const auto primary = m_cluster.PrimaryOf("g");
  const std::string leaving = primary == "g-c" ? "g-b" : "g-c";
  ASSERT_EQ(MarkLeaving(leaving).status, 200);
  auto record = m_cluster.RecordOf("g");
  std::erase_if(record.endpoints,
                [&](const auto& endpoint) { return endpoint.id.value() == leaving; });
  const auto deadline = Clock::now() + kWaitTimeout;
  auto response = m_cluster.ReplaceRecord(record);
  while (response.status != 200 && Clock::now() < deadline) {
    std::this_thread::sleep_for(Millis(50));
    response = m_cluster.ReplaceRecord(record);
  }
  EXPECT_EQ(response.status, 200) << response.body;
}

TEST_F(DrainTest, ReservedTermOfADeadProxyDoesNotBlockRemoval) {
  // Only failover coordinators of ranks 0 and 1 hold a reserved term; both are killed. The voters
  // of their terms include the leaving endpoint, which cannot be removed while such a term may
  // still be used: the surviving coordinator has to complete a greater term, which removes the
  // reservations.
  const auto primary = m_cluster.PrimaryOf("g");
  std::size_t survivor = 0;
  for (std::size_t i = 0; i < m_cluster.proxy_count(); ++i) {
    if (m_cluster.Status(i).groups.at(0).steward_rank == 2) {
      survivor = i;
    }
  }
  for (std::size_t i = 0; i < m_cluster.proxy_count(); ++i) {
    if (i != survivor) {
      m_cluster.proxy(i).process->Kill();
    }
  }
  m_cluster.PublishVms();
  auto record = m_cluster.RecordOf("g");
  const std::string leaving = primary == "g-c" ? "g-b" : "g-c";
  for (auto& endpoint : record.endpoints) {
    endpoint.leaving = endpoint.id.value() == leaving;
  }
  ASSERT_EQ(m_cluster.ReplaceRecord(record, survivor).status, 200);
  std::erase_if(record.endpoints,
                [&](const auto& endpoint) { return endpoint.id.value() == leaving; });
  const auto deadline = Clock::now() + kWaitTimeout;
  auto response = m_cluster.ReplaceRecord(record, survivor);
  while (response.status != 200 && Clock::now() < deadline) {
    std::this_thread::sleep_for(Millis(50));
    response = m_cluster.ReplaceRecord(record, survivor);
  }
  EXPECT_EQ(response.status, 200) << response.body;
}

TEST_F(DrainTest, WithdrawDuringATransaction) {
  Session session("g");
  const auto id = session.Begin(m_cluster.proxy(0).caller_address);
  ASSERT_FALSE(id.empty());
  CallerStatement statement;
  statement.sql = "INSERT INTO orders VALUES ('last')";
  EXPECT_TRUE(session
                  .Post(m_cluster.proxy(0).caller_address, "/v1/transactions/" + id + "/statements",
                        EncodeJson(statement))
                  .ok());
  RecordChangeMessage message;
  message.action = "withdraw";
  message.group = GroupId("g");
  message.expected = Revision(1);
  ASSERT_EQ(m_cluster.SendRecordChange(message).status, 200);
  ASSERT_TRUE(m_cluster.WaitForStatus(
      0, [](const ProxyStatus& status) { return status.groups.empty(); }, kDrainTarget));
  // New requests are refused; the open transaction may finish.
  Session late("g");
  EXPECT_TRUE(late.Read(m_cluster.proxy(0).caller_address, "SELECT 1").not_run());
  const auto commit = session.Post(m_cluster.proxy(0).caller_address,
                                   "/v1/transactions/" + id + "/commit", "{}", "last");
  EXPECT_TRUE(commit.ok()) << commit.body;
}

TEST_F(DrainTest, OpenTransactionFinishesBeforePrimaryLeaves) {
  const auto old_primary = m_cluster.PrimaryOf("g");
  Session session("g");
  const auto id = session.Begin(m_cluster.proxy(1).caller_address);
  ASSERT_FALSE(id.empty());
  ASSERT_EQ(MarkLeaving(old_primary).status, 200);
  ASSERT_TRUE(m_cluster.WaitForStatus(
      1, [](const ProxyStatus& status) { return status.revision.value() == 2; }, kWaitTimeout));
  CallerStatement statement;
  statement.sql = "INSERT INTO orders VALUES ('finished')";
  EXPECT_TRUE(session
                  .Post(m_cluster.proxy(1).caller_address, "/v1/transactions/" + id + "/statements",
                        EncodeJson(statement))
                  .ok());
  const auto commit = session.Post(m_cluster.proxy(1).caller_address,
                                   "/v1/transactions/" + id + "/commit", "{}", "finished");
  EXPECT_TRUE(commit.ok()) << commit.body;
  EXPECT_TRUE(m_cluster.WaitForStatus(
      0,
      [&](const ProxyStatus& status) { return status.groups.at(0).primary.value() != old_primary; },
      kDrainTarget));
  EXPECT_EQ(ReadFinalState(m_cluster, "g").at("finished"), 1);
}

TEST_F(DrainTest, GracefulStopUnderLoadCausesNoErrors) {
  Workload workload(m_cluster, {.sessions = 6});
  ASSERT_TRUE(workload.WaitForWrites(30, kWaitTimeout));
  Session session("g");
  const auto id = session.Begin(m_cluster.proxy(2).caller_address);
  ASSERT_FALSE(id.empty());
  // A load balancer sends no more callers to a proxy that is not ready.
  m_cluster.proxy(2).process->Signal(SIGTERM);
  workload.ExcludeProxy(2);
  CallerStatement statement;
  statement.sql = "INSERT INTO orders VALUES ('stopping')";
  EXPECT_TRUE(session
                  .Post(m_cluster.proxy(2).caller_address, "/v1/transactions/" + id + "/statements",
                        EncodeJson(statement))
                  .ok());
  EXPECT_FALSE(m_cluster.proxy(2).process->Wait(Millis(600)).has_value())
      << "it stopped with a transaction open";
  EXPECT_TRUE(session
                  .Post(m_cluster.proxy(2).caller_address, "/v1/transactions/" + id + "/commit",
                        "{}", "stopping")
                  .ok());
  EXPECT_EQ(m_cluster.proxy(2).process->Wait(kWaitTimeout), 0);
  EXPECT_TRUE(workload.WaitForWrites(30, kWaitTimeout));
  ExpectNoErrorsAndNoViolations(workload);
}

TEST_F(DrainTest, SecondSignalStopsImmediately) {
  Session session("g");
  ASSERT_FALSE(session.Begin(m_cluster.proxy(2).caller_address).empty());
  m_cluster.proxy(2).process->Signal(SIGTERM);
  EXPECT_FALSE(m_cluster.proxy(2).process->Wait(Millis(500)).has_value());
  m_cluster.proxy(2).process->Signal(SIGTERM);
  EXPECT_EQ(m_cluster.proxy(2).process->Wait(Millis(2000)), 128 + SIGTERM);
}

}  // namespace
}  // namespace cardamom
