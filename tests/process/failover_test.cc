// Checks with real processes that writes are possible again soon after a failure and that no
// acknowledged write is lost. Each test fails the primary, the store or a proxy under load and then
// checks the history of the callers.
#include <gtest/gtest.h>

#include "bench/cluster/workload.h"

namespace cardamom {
namespace {

// Target for the longest time without an acknowledged write.
constexpr Millis kGapTarget{2000};
constexpr Millis kPatience{15'000};

class FailoverTest : public testing::Test {
 protected:
  FailoverTest() : m_cluster({.proxies = 3, .servers = 3}) {
    m_cluster.AddGroup("g");
    CreateWorkloadTable(m_cluster, "g");
  }

  // Calls `fail` under load, then checks the longest gap between acknowledged writes since then,
  // and the history against the final state as read through `proxy_to_ask`.
  template <typename Fail>
  void RunThrough(Fail fail, std::size_t proxy_to_ask = 0) {
    Workload workload(m_cluster, {});
    ASSERT_TRUE(workload.WaitForWrites(20, kPatience));
    const auto since = Clock::now();
    fail(workload);
    EXPECT_TRUE(workload.WaitForWrites(40, kPatience));
    workload.Stop();
    const auto gap = workload.history().LongestGap(since);
    RecordProperty("gap_ms", static_cast<int>(gap.count()));
    std::cout << "gap " << gap.count() << " ms, acknowledged "
              << workload.history().Count(WriteOutcome::kAcknowledged) << ", unknown "
              << workload.history().Count(WriteOutcome::kUnknown) << ", not run "
              << workload.history().Count(WriteOutcome::kNotRun) << std::endl;
    EXPECT_LE(gap, kGapTarget);
    for (const auto& violation :
         workload.history().Violations(FinalState(m_cluster, "g", proxy_to_ask))) {
      ADD_FAILURE() << violation;
    }
  }

  Process& PrimaryProcess() { return *m_cluster.endpoint(Primary()).process; }
  std::string Primary() { return m_cluster.PrimaryOf("g"); }

  Process& PrimaryProcessAsSeenBy(std::size_t proxy) {
    return *m_cluster.endpoint(m_cluster.PrimaryOf("g", proxy)).process;
  }

  // Number of events of that code that the proxy reports.
  std::size_t EventsOf(std::size_t proxy, EventCode code) {
    const auto response =
        SendOnce(m_cluster.proxy(proxy).operations_address, "GET", "/v1/events", "");
    const auto list = DecodeJson<EventList>(response->body);
    return static_cast<std::size_t>(
        std::count_if(list->events.begin(), list->events.end(),
                      [code](const Event& event) { return event.code == static_cast<int>(code); }));
  }

  // The proxy that acts first as failover coordinator.
  std::size_t FindSteward() {
    for (std::size_t i = 0; i < m_cluster.proxies(); ++i) {
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
  RunThrough([&](Workload& /*workload*/) { PrimaryProcess().Kill(); });
}

TEST_F(FailoverTest, PrimaryKilledWhileStoreIsDown) {
  RunThrough([&](Workload& /*workload*/) {
    m_cluster.SetPlatformFaults(R"({"outage":true})");
    PrimaryProcess().Kill();
  });
}

TEST_F(FailoverTest, PrimaryKilledWhileStoreIsSlow) {
  RunThrough([&](Workload& /*workload*/) {
    m_cluster.SetPlatformFaults(R"({"delay_ms":3000})");
    PrimaryProcess().Kill();
  });
}

TEST_F(FailoverTest, PrimaryFrozenAndWokenLater) {
  const auto old = Primary();
  RunThrough([&](Workload& workload) {
    m_cluster.endpoint(old).process->Suspend();
    EXPECT_TRUE(workload.WaitForWrites(20, kPatience));
    m_cluster.endpoint(old).process->Resume();
  });
  EXPECT_NE(Primary(), old);
}

TEST_F(FailoverTest, PrimaryCutFromReplicasButNotFromProxies) {
  const auto old = Primary();
  EndpointFaults faults;
  faults.cut = Replicas();
  RunThrough([&](Workload& workload) {
    m_cluster.SetEndpointFaults(old, faults);
    EXPECT_TRUE(workload.WaitForWrites(20, kPatience));
    // The old primary is reachable again; its log ends with entries that no other server has.
    m_cluster.SetEndpointFaults(old, {});
  });
  EXPECT_NE(Primary(), old);
}

TEST_F(FailoverTest, PrimaryCutFromProxiesButNotFromReplicas) {
  const auto old = Primary();
  EndpointFaults faults;
  faults.cut = {"vm0", "vm1", "vm2"};
  RunThrough([&](Workload& workload) {
    m_cluster.SetEndpointFaults(old, faults);
    EXPECT_TRUE(workload.WaitForWrites(20, kPatience));
    m_cluster.SetEndpointFaults(old, {});
  });
}

TEST_F(FailoverTest, StewardDiesWithThePrimary) {
  const auto steward = FindSteward();
  RunThrough(
      [&](Workload& workload) {
        workload.ExcludeProxy(steward);
        m_cluster.proxy(steward).process->Kill();
        PrimaryProcessAsSeenBy((steward + 1) % 3).Kill();
      },
      (steward + 1) % 3);
}

TEST_F(FailoverTest, StewardFrozenInTheMiddleOfAPromotionAndWokenLater) {
  const auto steward = FindSteward();
  // The replicas respond slowly, so that the coordinator is suspended in the middle of its
  // promotion: after it took its reserved term and before the replicas respond. It resumes after
  // another coordinator has promoted a primary in a later term.
  EndpointFaults slow;
  slow.answer_delay_ms = 100;
  const auto replicas = Replicas();
  RunThrough(
      [&](Workload& workload) {
        workload.ExcludeProxy(steward);
        for (const auto& replica : replicas) {
          m_cluster.SetEndpointFaults(replica, slow);
        }
        const auto before = m_cluster.Status((steward + 1) % 3).groups.at(0).term;
        PrimaryProcessAsSeenBy((steward + 1) % 3).Kill();
        const bool fenced = m_cluster.WaitForStatus(
            steward,
            [&](const ProxyStatus&) { return EventsOf(steward, EventCode::kReservedTermUsed) > 0; },
            kPatience);
        EXPECT_TRUE(fenced);
        m_cluster.proxy(steward).process->Suspend();
        for (const auto& replica : replicas) {
          m_cluster.SetEndpointFaults(replica, {});
        }
        EXPECT_TRUE(workload.WaitForWrites(20, kPatience));
        EXPECT_GT(m_cluster.Status((steward + 1) % 3).groups.at(0).term, before);
        m_cluster.proxy(steward).process->Resume();
      },
      (steward + 1) % 3);
}

TEST_F(FailoverTest, BothReplicasFarBehindThenPrimaryKilled) {
  EndpointFaults frozen;
  frozen.replication_frozen = true;
  Workload workload(m_cluster, {.deadline = Millis(1500)});
  ASSERT_TRUE(workload.WaitForWrites(20, kPatience));
  const auto replicas = Replicas();
  const auto old = Primary();
  for (const auto& replica : replicas) {
    m_cluster.SetEndpointFaults(replica, frozen);
  }
  // Writes reach the primary only, so the failover loses them: none of them may be acknowledged.
  std::this_thread::sleep_for(Millis(300));
  m_cluster.endpoint(old).process->Kill();
  for (const auto& replica : replicas) {
    m_cluster.SetEndpointFaults(replica, {});
  }
  EXPECT_TRUE(workload.WaitForWrites(40, kPatience));
  workload.Stop();
  for (const auto& violation : workload.history().Violations(FinalState(m_cluster, "g"))) {
    ADD_FAILURE() << violation;
  }
}

TEST_F(FailoverTest, TwoFailuresInARow) {
  RunThrough([&](Workload& workload) {
    const auto first = Primary();
    m_cluster.endpoint(first).process->Suspend();
    EXPECT_TRUE(workload.WaitForWrites(20, kPatience));
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
        kPatience));
    m_cluster.endpoint(Primary()).process->Kill();
  });
}

}  // namespace
}  // namespace cardamom
