// Checks with real processes that writes are possible again soon after a failure and that no
// acknowledged write is lost. Each test fails the primary, the store or a proxy under load and then
// checks the history of the callers.
#include <gtest/gtest.h>

#include "bench/cluster/workload.h"

namespace cardamom {
namespace {

// Target for the longest time without an acknowledged write.
constexpr Millis kGapTarget{2000};
constexpr Millis kWaitTimeout{15'000};

class FailoverTest : public testing::Test {
 protected:
  FailoverTest() : m_cluster({.proxies = 3, .servers_per_group = 3}) {
    m_cluster.AddGroup("g");
    CreateWorkloadTable(m_cluster, "g");
  }

  // Calls `inject_failure` under load, then checks the longest gap between acknowledged writes
  // since the call, and the history against the final state as read through `final_read_proxy`.
  template <typename Fail>
  void FailUnderLoad(Fail inject_failure, std::size_t final_read_proxy = 0) {
    Workload workload(m_cluster, {});
    ASSERT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
    const auto since = Clock::now();
    inject_failure(workload);
    EXPECT_TRUE(workload.WaitForWrites(40, kWaitTimeout));
    workload.Stop();
    const auto gap = workload.history().LongestGap(since);
    RecordProperty("gap_ms", static_cast<int>(gap.count()));
    std::cout << "gap " << gap.count() << " ms, acknowledged "
              << workload.history().Count(WriteOutcome::kAcknowledged) << ", unknown "
              << workload.history().Count(WriteOutcome::kUnknown) << ", not run "
              << workload.history().Count(WriteOutcome::kNotRun) << std::endl;
    EXPECT_LE(gap, kGapTarget);
    for (const auto& violation :
         workload.history().FindViolations(ReadFinalState(m_cluster, "g", final_read_proxy))) {
      ADD_FAILURE() << violation;
    }
  }

  Process& PrimaryProcess() { return *m_cluster.endpoint(Primary()).process; }
  std::string Primary() { return m_cluster.PrimaryOf("g"); }

  Process& PrimaryProcessReportedBy(std::size_t proxy) {
    return *m_cluster.endpoint(m_cluster.PrimaryOf("g", proxy)).process;
  }

  // Number of events of `code` that the proxy reports.
  std::size_t CountEvents(std::size_t proxy, EventCode code) {
    const auto response =
        SendOnce(m_cluster.proxy(proxy).operations_address, "GET", "/v1/events", "");
    const auto list = DecodeJson<EventList>(response->body);
    return static_cast<std::size_t>(
        std::count_if(list->events.begin(), list->events.end(),
                      [code](const Event& event) { return event.code == static_cast<int>(code); }));
  }

  // The proxy that is the failover coordinator of rank 0.
  std::size_t FindCoordinator() {
    for (std::size_t i = 0; i < m_cluster.proxy_count(); ++i) {
      if (m_cluster.Status(i).groups.at(0).steward_rank == 0) {
        return i;
      }
    }
    throw std::runtime_error("no failover coordinator");
  }

  std::vector<std::string> Replicas() {
    std::vector<std::string> replicas;
    for (const auto& endpoint : m_cluster.endpoints()) {
      if (endpoint->id.value() != Primary()) {
        replicas.push_back(endpoint->id.value());
      }
    }
    return replicas;
  }

  Cluster m_cluster;
};

TEST_F(FailoverTest, PrimaryKilled) {
  FailUnderLoad([&](Workload& /*workload*/) { PrimaryProcess().Kill(); });
}

TEST_F(FailoverTest, PrimaryKilledWhileStoreIsDown) {
  FailUnderLoad([&](Workload& /*workload*/) {
    m_cluster.SetPlatformFaults(R"({"outage":true})");
    PrimaryProcess().Kill();
  });
}

TEST_F(FailoverTest, PrimaryKilledWhileStoreIsSlow) {
  FailUnderLoad([&](Workload& /*workload*/) {
    m_cluster.SetPlatformFaults(R"({"delay_ms":3000})");
    PrimaryProcess().Kill();
  });
}

TEST_F(FailoverTest, PrimarySuspendedAndResumed) {
  const auto old_primary = Primary();
  FailUnderLoad([&](Workload& workload) {
    m_cluster.endpoint(old_primary).process->Suspend();
    EXPECT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
    m_cluster.endpoint(old_primary).process->Resume();
  });
  EXPECT_NE(Primary(), old_primary);
}

TEST_F(FailoverTest, PrimaryPartitionedFromReplicasOnly) {
  const auto old_primary = Primary();
  EndpointFaults faults;
  faults.cut = Replicas();
  FailUnderLoad([&](Workload& workload) {
    m_cluster.SetEndpointFaults(old_primary, faults);
    EXPECT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
    // The old primary is reachable again; its log ends with entries that no other server has.
    m_cluster.SetEndpointFaults(old_primary, {});
  });
  EXPECT_NE(Primary(), old_primary);
}

TEST_F(FailoverTest, PrimaryPartitionedFromProxiesOnly) {
  const auto old_primary = Primary();
  EndpointFaults faults;
  faults.cut = {"vm0", "vm1", "vm2"};
  FailUnderLoad([&](Workload& workload) {
    m_cluster.SetEndpointFaults(old_primary, faults);
    EXPECT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
    m_cluster.SetEndpointFaults(old_primary, {});
  });
}

TEST_F(FailoverTest, CoordinatorAndPrimaryKilled) {
  const auto coordinator = FindCoordinator();
  FailUnderLoad(
      [&](Workload& workload) {
        workload.ExcludeProxy(coordinator);
        m_cluster.proxy(coordinator).process->Kill();
        PrimaryProcessReportedBy((coordinator + 1) % 3).Kill();
      },
      (coordinator + 1) % 3);
}

TEST_F(FailoverTest, CoordinatorSuspendedDuringPromotionAndResumed) {
  const auto coordinator = FindCoordinator();
  // The replicas respond slowly, so that the coordinator is suspended in the middle of its
  // promotion: after it took its reserved term and before the replicas respond. It resumes after
  // another coordinator has promoted a primary in a later term.
  EndpointFaults slow;
  slow.answer_delay_ms = 100;
  const auto replicas = Replicas();
  FailUnderLoad(
      [&](Workload& workload) {
        workload.ExcludeProxy(coordinator);
        for (const auto& replica : replicas) {
          m_cluster.SetEndpointFaults(replica, slow);
        }
        const auto before = m_cluster.Status((coordinator + 1) % 3).groups.at(0).term;
        PrimaryProcessReportedBy((coordinator + 1) % 3).Kill();
        const bool fenced = m_cluster.WaitForStatus(
            coordinator,
            [&](const ProxyStatus&) {
              return CountEvents(coordinator, EventCode::kReservedTermUsed) > 0;
            },
            kWaitTimeout);
        EXPECT_TRUE(fenced);
        m_cluster.proxy(coordinator).process->Suspend();
        for (const auto& replica : replicas) {
          m_cluster.SetEndpointFaults(replica, {});
        }
        EXPECT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
        EXPECT_GT(m_cluster.Status((coordinator + 1) % 3).groups.at(0).term, before);
        m_cluster.proxy(coordinator).process->Resume();
      },
      (coordinator + 1) % 3);
}

TEST_F(FailoverTest, BothReplicasFarBehindThenPrimaryKilled) {
  EndpointFaults frozen;
  frozen.replication_frozen = true;
  Workload workload(m_cluster, {.deadline = Millis(1500)});
  ASSERT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
  const auto replicas = Replicas();
  const auto old_primary = Primary();
  for (const auto& replica : replicas) {
    m_cluster.SetEndpointFaults(replica, frozen);
  }
  // Writes reach the primary only, so the failover loses them: none of them may be acknowledged.
  std::this_thread::sleep_for(Millis(300));
  m_cluster.endpoint(old_primary).process->Kill();
  for (const auto& replica : replicas) {
    m_cluster.SetEndpointFaults(replica, {});
  }
  EXPECT_TRUE(workload.WaitForWrites(40, kWaitTimeout));
  workload.Stop();
  for (const auto& violation : workload.history().FindViolations(ReadFinalState(m_cluster, "g"))) {
    ADD_FAILURE() << violation;
  }
}

TEST_F(FailoverTest, SecondPrimaryKilledAfterAFailover) {
  FailUnderLoad([&](Workload& workload) {
    const auto first = Primary();
    m_cluster.endpoint(first).process->Suspend();
    EXPECT_TRUE(workload.WaitForWrites(20, kWaitTimeout));
    m_cluster.endpoint(first).process->Resume();
    ASSERT_TRUE(m_cluster.WaitForStatus(
        0,
        [&](const ProxyStatus& status) {
          for (const auto& endpoint : status.groups.at(0).endpoints) {
            if (endpoint.lineage != status.groups.at(0).term || !endpoint.reachable) {
              return false;
            }
          }
          return true;
        },
        kWaitTimeout));
    m_cluster.endpoint(Primary()).process->Kill();
  });
}

}  // namespace
}  // namespace cardamom
