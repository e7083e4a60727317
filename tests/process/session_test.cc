// Checks with real processes that a session reads its own writes through any proxy and that no read
// is older than its greatest age, while replicas lag and during failovers.
#include <gtest/gtest.h>

#include "bench/cluster/workload.h"

namespace cardamom {
namespace {

constexpr Millis kWaitTimeout{20'000};

class SessionTest : public testing::Test {
 protected:
  SessionTest() : m_cluster({.proxies = 3, .servers_per_group = 3, .max_read_age_ms = 800}) {
    m_cluster.AddGroup("g");
    CreateWorkloadTable(m_cluster, "g");
  }

  void SetLag(const std::string& endpoint, std::int64_t lag_ms) {
    EndpointFaults faults;
    faults.apply_lag_ms = lag_ms;
    m_cluster.SetEndpointFaults(endpoint, faults);
  }

  void ExpectNoViolations(Workload& workload) {
    workload.Stop();
    for (const auto& violation :
         workload.history().FindViolations(ReadFinalState(m_cluster, "g"))) {
      ADD_FAILURE() << violation;
    }
    EXPECT_GT(workload.history().reads().size(), 0U);
  }

  Cluster m_cluster;
};

TEST_F(SessionTest, RoamingSessionsSeeTheirWritesWhileReplicasLagSeconds) {
  SetLag("g-b", 2000);
  SetLag("g-c", 2500);
  Workload workload(m_cluster, {});
  ASSERT_TRUE(workload.WaitForWrites(200, kWaitTimeout));
  ExpectNoViolations(workload);
}

TEST_F(SessionTest, RoamingSessionsUseReplicasThatKeepUp) {
  Workload workload(m_cluster, {});
  ASSERT_TRUE(workload.WaitForWrites(200, kWaitTimeout));
  ExpectNoViolations(workload);
  const auto reads = workload.history().reads();
  const auto from_replicas =
      std::count_if(reads.begin(), reads.end(), [](const auto& read) { return read.from_replica; });
  // The target is 0.95 of all reads served by replicas while these are healthy.
  EXPECT_GE(static_cast<double>(from_replicas), 0.95 * static_cast<double>(reads.size()));
}

TEST_F(SessionTest, ReadsRespectTheMaxAgeWhileOneReplicaLags) {
  SetLag("g-b", 600);
  Workload workload(m_cluster, {.max_age = Millis(250)});
  ASSERT_TRUE(workload.WaitForWrites(150, kWaitTimeout));
  ExpectNoViolations(workload);
}

TEST_F(SessionTest, ReadsOwnWriteAfterAFailover) {
  Session session("g");
  for (int i = 0; i < 3; ++i) {
    const auto id = "f" + std::to_string(i);
    ASSERT_TRUE(session
                    .Write(m_cluster.proxy(0).caller_address, "INSERT INTO orders VALUES (?)",
                           {boost::json::string(id)}, id)
                    .ok());
    if (i == 1) {
      m_cluster.endpoint(m_cluster.PrimaryOf("g")).process->Kill();
    }
    const auto reply =
        session.Read(m_cluster.proxy(1).caller_address, "SELECT count(*) FROM orders WHERE id = ?",
                     {boost::json::string(id)});
    ASSERT_TRUE(reply.ok()) << reply.body;
    EXPECT_EQ(reply.result.rows.at(0).at(0), 1);
  }
}

TEST_F(SessionTest, ReadsOwnWriteThroughAProxySuspendedDuringAFailover) {
  // Proxy 2 is suspended during the failover. Once resumed, it still treats the old primary as the
  // primary; the token of the later term must prevent a stale read.
  const auto old_primary = m_cluster.PrimaryOf("g");
  m_cluster.proxy(2).process->Suspend();
  m_cluster.endpoint(old_primary).process->Suspend();
  Session session("g");
  const auto written = session.Write(m_cluster.proxy(0).caller_address,
                                     "INSERT INTO orders VALUES ('late')", {}, "late");
  ASSERT_TRUE(written.ok()) << written.body;
  m_cluster.endpoint(old_primary).process->Resume();
  m_cluster.proxy(2).process->Resume();
  const auto reply = session.Read(m_cluster.proxy(2).caller_address,
                                  "SELECT count(*) FROM orders WHERE id = 'late'");
  ASSERT_TRUE(reply.ok()) << reply.body;
  EXPECT_EQ(reply.result.rows.at(0).at(0), 1);
}

TEST_F(SessionTest, ProxyPartitionedWithTheOldPrimaryServesNoStaleRead) {
  // A partition of the paths to the servers: proxy 2 reaches only the old primary, the other
  // proxies and servers reach only the replicas. The proxies still reach each other and the store.
  const auto old_primary = m_cluster.PrimaryOf("g");
  EndpointFaults replica_side;
  replica_side.cut = {"vm2", old_primary};
  EndpointFaults old_side;
  for (const auto& endpoint : m_cluster.endpoints()) {
    if (endpoint->id.value() != old_primary) {
      old_side.cut.push_back(endpoint->id.value());
      m_cluster.SetEndpointFaults(endpoint->id.value(), replica_side);
    }
  }
  old_side.cut.push_back("vm0");
  old_side.cut.push_back("vm1");
  m_cluster.SetEndpointFaults(old_primary, old_side);
  Session writer("g");
  writer.set_deadline(Millis(8000));
  ASSERT_TRUE(
      writer
          .Write(m_cluster.proxy(0).caller_address, "INSERT INTO orders VALUES ('new')", {}, "new")
          .ok());
  const auto acknowledged = Clock::now();
  // Reads through the partitioned proxy may be refused, but never return data older than the
  // record's greatest read age (800 ms).
  Session reader("g");
  reader.set_deadline(Millis(500));
  while (Clock::now() < acknowledged + Millis(2500)) {
    const auto start = Clock::now();
    const auto reply = reader.Read(m_cluster.proxy(2).caller_address,
                                   "SELECT count(*) FROM orders WHERE id = 'new'");
    const bool must_see = start > acknowledged + Millis(800);
    if (reply.ok() && must_see) {
      EXPECT_EQ(reply.result.rows.at(0).at(0), 1) << "stale";
    }
  }
  // The replaced primary never acknowledges a write that is sent through this proxy.
  const auto refused = reader.Write(m_cluster.proxy(2).caller_address,
                                    "INSERT INTO orders VALUES ('ghost')", {}, "ghost");
  EXPECT_FALSE(refused.ok());
}

}  // namespace
}  // namespace cardamom
