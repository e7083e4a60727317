// The measurements of the project's performance targets. Each Measure function starts its own
// clusters, prints its metrics and throws if a cluster cannot be started.
#pragma once

#include "bench/cluster/cluster.h"
#include "bench/scenarios/report.h"

namespace cardamom {

// Length and size of the runs.
struct BenchScale {
  // Proxies of the runs on a user's site.
  std::size_t proxies = 6;
  Millis run_duration{6000};
  // Length of the run that counts false promotions while the primary is suspended for 500 ms every
  // 2 s.
  Millis slow_periods_duration{20'000};
  // Proxies of the run that measures the cost of an idle cluster.
  std::size_t idle_proxies = 21;
  // Number of times that each kind of failure is measured with the store up and with it down.
  int failover_rounds = 1;
};

// A user's site with five slots per server.
ClusterProfile HighRateClusterProfile(const BenchScale& scale);
// A user's site with three slots per server.
ClusterProfile LowRateClusterProfile(const BenchScale& scale);

// Share of reads that replicas serve: with healthy replicas, with one in each group that lags 5 s,
// and with bursts of lag.
void MeasureReplicaShare(const BenchScale& scale, Report& report);
// Longest time without a successful write after the primary is killed, suspended or partitioned
// from its replicas.
void MeasureFailover(const BenchScale& scale, Report& report);
// Promotions while the primary repeatedly does not answer for 500 ms; none should happen.
void MeasureSlowPeriods(const BenchScale& scale, Report& report);
// Write gap and caller errors of a planned switchover.
void MeasureSwitchover(const BenchScale& scale, Report& report);
// Goodput and refusal latency at three times the capacity of the servers.
void MeasureOverload(const BenchScale& scale, Report& report);
// Connections to the servers while proxies are replaced.
void MeasureConnections(const BenchScale& scale, Report& report);
// Latency that a proxy adds to a read; `scale` is not used.
void MeasureAddedLatency(const BenchScale& scale, Report& report);
// CPU time per statement and memory per caller connection, for docs/CAPACITY.md.
void MeasureDataPath(const BenchScale& scale, Report& report);
// CPU time, memory and traffic of an idle proxy. Nothing else may use the loopback interface: all
// its traffic is counted.
void MeasureIdleCost(const BenchScale& scale, Report& report);
// As MeasureIdleCost, at several numbers of proxies and groups, for docs/CAPACITY.md; `scale` is
// not used.
void MeasureIdleCostScaling(const BenchScale& scale, Report& report);

}  // namespace cardamom
