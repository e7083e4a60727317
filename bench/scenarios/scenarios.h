// The measurements of issue and brief, each a function that prints its lines.
#pragma once

#include "bench/cluster/cluster.h"
#include "bench/scenarios/report.h"

namespace cardamom {

// How long and how large the runs are.
struct BenchScale {
  std::size_t proxies = 6;
  Millis run{6000};
  // Length of the run that counts false promotions.
  Millis spells{20'000};
  std::size_t idle_proxies = 21;
  int failover_rounds = 1;
};

SiteProfile CeneriProfile(const BenchScale& scale);
SiteProfile AssociationProfile(const BenchScale& scale);

void MeasureReplicaShare(const BenchScale& scale, Report& report);
void MeasureFailover(const BenchScale& scale, Report& report);
void MeasureSlowSpells(const BenchScale& scale, Report& report);
void MeasureSwitchover(const BenchScale& scale, Report& report);
void MeasureOverload(const BenchScale& scale, Report& report);
void MeasureConnections(const BenchScale& scale, Report& report);
void MeasureAddedLatency(const BenchScale& scale, Report& report);
// Processor time a statement and memory a caller connection, for docs/CAPACITY.md.
void MeasureDataPath(const BenchScale& scale, Report& report);
void MeasureIdleCost(const BenchScale& scale, Report& report);
// Idle cost at several numbers of proxies and groups, for docs/CAPACITY.md.
void MeasureSlopes(const BenchScale& scale, Report& report);

}  // namespace cardamom
