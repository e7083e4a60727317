#include "bench/scenarios/scenarios.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <fmt/format.h>

#include "bench/cluster/session.h"
#include "bench/load/load_generator.h"

namespace cardamom {
namespace {

// Requests per second.
constexpr double kHighRatePerSecond = 900;
constexpr double kLowRatePerSecond = 400;
// Time for a new cluster, or a load that just began, to reach a steady state.
constexpr Millis kSettleTime{1500};

std::vector<Address> CallerAddresses(Cluster& cluster) {
  std::vector<Address> callers;
  for (std::size_t i = 0; i < cluster.proxy_count(); ++i) {
    callers.push_back(cluster.proxy(i).caller_address);
  }
  return callers;
}

// Starts a cluster with `groups` groups, named s0, s1 and so on, and their tables.
std::unique_ptr<Cluster> StartCluster(const ClusterProfile& profile, int groups) {
  auto cluster = std::make_unique<Cluster>(profile);
  for (int i = 0; i < groups; ++i) {
    const auto name = "s" + std::to_string(i);
    cluster->AddGroup(name);
    CreateLoadTable(cluster->proxy(0).caller_address, name);
  }
  std::this_thread::sleep_for(kSettleTime);
  return cluster;
}

LoadOptions MakeLoadOptions(Cluster& cluster, const std::string& name, double rate, int groups) {
  LoadOptions options;
  options.name = name;
  options.proxies = CallerAddresses(cluster);
  for (int i = 0; i < groups; ++i) {
    options.groups.push_back("s" + std::to_string(i));
  }
  options.requests_per_second = rate;
  options.max_age = Millis(1000);
  return options;
}

// Delays each response of the endpoints to simulate the network round trip between failure domains.
void SetNetworkDelay(Cluster& cluster, std::int64_t delay_ms) {
  EndpointFaults faults;
  faults.answer_delay_ms = delay_ms;
  for (const auto& endpoint : cluster.endpoints()) {
    cluster.SetEndpointFaults(endpoint->id.value(), faults);
  }
}

LoadResult RunLoad(const LoadOptions& options) {
  LoadGenerator generator(options);
  generator.Start();
  auto result = generator.Finish();
  std::cout << "# " << SummaryText(result) << std::endl;
  return result;
}

// Delays, at `replicas` replicas of a group, the visibility of received log entries by `lag_ms` and
// each response by `delay_ms`.
void SetReplicaLag(Cluster& cluster,
                   const std::string& group,
                   std::size_t replicas,
                   std::int64_t lag_ms,
                   std::int64_t delay_ms) {
  const auto primary = cluster.PrimaryOf(group);
  EndpointFaults faults;
  faults.apply_lag_ms = lag_ms;
  faults.answer_delay_ms = delay_ms;
  std::size_t delayed_replicas = 0;
  for (const auto& endpoint : cluster.endpoints()) {
    if (endpoint->group.value() == group && endpoint->id.value() != primary &&
        delayed_replicas < replicas) {
      cluster.SetEndpointFaults(endpoint->id.value(), faults);
      ++delayed_replicas;
    }
  }
}

enum class Failure { kKill, kSuspend, kPartition };

const char* NameOf(Failure failure) {
  switch (failure) {
    case Failure::kKill:
      return "kill";
    case Failure::kSuspend:
      return "freeze";
    case Failure::kPartition:
      return "cut";
  }
  return "";
}

void InjectFailure(Cluster& cluster, Failure failure, const std::string& primary) {
  if (failure == Failure::kKill) {
    cluster.endpoint(primary).process->Kill();
  } else if (failure == Failure::kSuspend) {
    cluster.endpoint(primary).process->Suspend();
  } else {
    EndpointFaults faults;
    // Replaces the earlier faults of the primary, so the simulated network delay is set again.
    faults.answer_delay_ms = 1;
    for (const auto& endpoint : cluster.endpoints()) {
      if (endpoint->id.value() != primary) {
        faults.cut.push_back(endpoint->id.value());
      }
    }
    cluster.SetEndpointFaults(primary, faults);
  }
}

// Returns the longest time without a successful write after the failure, in milliseconds.
double MeasureOneFailover(const BenchScale& scale,
                          Report& report,
                          Failure failure,
                          bool store_down) {
  auto cluster = StartCluster(LowRateClusterProfile(scale), 1);
  SetNetworkDelay(*cluster, 1);
  const auto name = fmt::format("{} {}", NameOf(failure), store_down ? "store down" : "store up");
  auto options = MakeLoadOptions(*cluster, name, kLowRatePerSecond, 1);
  options.read_share = 0.5;
  LoadGenerator generator(options);
  generator.Start();
  std::this_thread::sleep_for(kSettleTime);
  if (store_down) {
    cluster->SetPlatformFaults(R"({"outage":true})");
  }
  const auto since_us = generator.NowUs();
  InjectFailure(*cluster, failure, cluster->PrimaryOf("s0"));
  auto result = generator.Finish();
  const double gap_ms = result.LongestGapMs(since_us);
  std::cout << "# " << SummaryText(result) << ", gap " << gap_ms << " ms" << std::endl;
  report.AddLoadResult(std::move(result));
  return gap_ms;
}

// Increase of the group's term since `term`: 0 without a promotion, at least 1 for each.
std::size_t TermIncreaseSince(Cluster& cluster, std::uint64_t term) {
  return cluster.Status(0).groups.at(0).term.value() - term;
}

// Bytes that the loopback interface received since the machine started.
std::uint64_t LoopbackBytes() {
  std::ifstream file("/proc/net/dev");
  for (std::string line; std::getline(file, line);) {
    const auto interface_pos = line.find("lo:");
    if (interface_pos != std::string::npos) {
      std::istringstream fields(line.substr(interface_pos + 3));
      std::uint64_t received = 0;
      fields >> received;
      return received;
    }
  }
  return 0;
}

// Cost of one idle proxy: mean share of a CPU core, greatest memory and mean traffic of all
// proxies.
struct IdleCost {
  double core_share = 0;
  double resident_mb = 0;
  double kb_per_second = 0;
};

// Traffic on the loopback interface in kilobytes per second.
double LoopbackKbPerSecond(Millis duration) {
  const auto bytes = LoopbackBytes();
  std::this_thread::sleep_for(duration);
  return static_cast<double>(LoopbackBytes() - bytes) / static_cast<double>(duration.count());
}

IdleCost SampleIdleCost(Cluster& cluster, Millis duration) {
  std::vector<ProcessUsage> before;
  for (std::size_t i = 0; i < cluster.proxy_count(); ++i) {
    before.push_back(UsageOf(cluster.proxy(i).process->pid()));
  }
  const double running_rate = LoopbackKbPerSecond(duration);
  std::vector<ProcessUsage> after;
  for (std::size_t i = 0; i < cluster.proxy_count(); ++i) {
    after.push_back(UsageOf(cluster.proxy(i).process->pid()));
    cluster.proxy(i).process->Suspend();
  }
  // Traffic between the servers continues while the proxies are suspended; it is subtracted.
  const double suspended_rate = LoopbackKbPerSecond(duration / 2);
  for (std::size_t i = 0; i < cluster.proxy_count(); ++i) {
    cluster.proxy(i).process->Resume();
  }
  const auto seconds = std::chrono::duration<double>(duration).count();
  const auto count = static_cast<double>(cluster.proxy_count());
  IdleCost cost;
  cost.kb_per_second = (running_rate - suspended_rate) / count;
  for (std::size_t i = 0; i < cluster.proxy_count(); ++i) {
    const auto usage = UsageOf(cluster.proxy(i).process->pid());
    cost.core_share += (usage.cpu_seconds - before[i].cpu_seconds) / seconds / count;
    cost.resident_mb = std::max(cost.resident_mb, static_cast<double>(usage.resident_bytes) / 1e6);
  }
  return cost;
}

// Waits until no group is active any more: the proxies treat a group as active for 5 s after its
// last request, here the last one of the set-up.
void WaitUntilIdle() {
  std::this_thread::sleep_for(Millis(7000));
}

}  // namespace

ClusterProfile HighRateClusterProfile(const BenchScale& scale) {
  ClusterProfile profile;
  profile.proxies = scale.proxies;
  profile.slots = 5;
  profile.connections = 80;
  profile.connect_ms = 10;
  profile.service_us = 2000;
  return profile;
}

ClusterProfile LowRateClusterProfile(const BenchScale& scale) {
  ClusterProfile profile;
  profile.proxies = scale.proxies;
  profile.slots = 3;
  profile.connections = 90;
  profile.connect_ms = 30;
  profile.service_us = 2000;
  return profile;
}

void MeasureReplicaShare(const BenchScale& scale, Report& report) {
  constexpr int kGroups = 3;
  constexpr std::int64_t kDelayMs = 3;
  auto cluster = StartCluster(HighRateClusterProfile(scale), kGroups);
  SetNetworkDelay(*cluster, kDelayMs);
  auto options = MakeLoadOptions(*cluster, "ceneri healthy", kHighRatePerSecond, kGroups);
  options.duration = scale.run_duration;
  auto healthy = RunLoad(options);
  report.CheckMetric("replica_share_healthy", healthy.ReplicaShare(), "share", Bound::kAtLeast,
                     0.95);
  report.AddLoadResult(std::move(healthy));

  for (int i = 0; i < kGroups; ++i) {
    SetReplicaLag(*cluster, "s" + std::to_string(i), 1, 5000, kDelayMs);
  }
  options.name = "ceneri one replica behind";
  options.seed = 2;
  auto lagging = RunLoad(options);
  report.PrintMetric("replica_share_one_replica_5s_behind", lagging.ReplicaShare(), "share");
  report.AddLoadResult(std::move(lagging));

  options.name = "ceneri lag bursts";
  options.seed = 3;
  LoadGenerator generator(options);
  generator.Start();
  const auto end = Clock::now() + scale.run_duration;
  for (std::int64_t lag_ms = 2000; Clock::now() + Millis(1500) < end; lag_ms = 2000 - lag_ms) {
    for (int i = 0; i < kGroups; ++i) {
      SetReplicaLag(*cluster, "s" + std::to_string(i), 2, lag_ms, kDelayMs);
    }
    std::this_thread::sleep_for(Millis(1500));
  }
  auto bursts = generator.Finish();
  std::cout << "# " << SummaryText(bursts) << std::endl;
  report.PrintMetric("replica_share_lag_bursts_2s", bursts.ReplicaShare(), "share");
  report.AddLoadResult(std::move(bursts));
}

void MeasureFailover(const BenchScale& scale, Report& report) {
  std::vector<double> gaps;
  for (int round = 0; round < scale.failover_rounds; ++round) {
    for (const auto failure : {Failure::kKill, Failure::kSuspend, Failure::kPartition}) {
      for (const bool store_down : {false, true}) {
        gaps.push_back(MeasureOneFailover(scale, report, failure, store_down));
        report.PrintMetric(
            fmt::format("failover_gap_{}_store_{}", NameOf(failure), store_down ? "down" : "up"),
            gaps.back(), "ms");
      }
    }
  }
  std::sort(gaps.begin(), gaps.end());
  report.CheckMetric("failover_gap_longest", gaps.back(), "ms", Bound::kAtMost, 2000);
  report.CheckMetric("failover_gap_median", gaps[gaps.size() / 2], "ms", Bound::kAtMost, 1000);
}

void MeasureSlowPeriods(const BenchScale& scale, Report& report) {
  auto cluster = StartCluster(LowRateClusterProfile(scale), 1);
  SetNetworkDelay(*cluster, 1);
  auto options = MakeLoadOptions(*cluster, "slow spells of 500 ms", kLowRatePerSecond, 1);
  options.duration = scale.slow_periods_duration;
  const auto term = cluster->Status(0).groups.at(0).term.value();
  const auto primary = cluster->PrimaryOf("s0");
  LoadGenerator generator(options);
  generator.Start();
  const auto end = Clock::now() + scale.slow_periods_duration - Millis(2000);
  int slow_periods = 0;
  while (Clock::now() < end) {
    cluster->endpoint(primary).process->Suspend();
    std::this_thread::sleep_for(Millis(500));
    cluster->endpoint(primary).process->Resume();
    std::this_thread::sleep_for(Millis(1500));
    ++slow_periods;
  }
  auto result = generator.Finish();
  std::cout << "# " << SummaryText(result) << std::endl;
  report.PrintMetric("slow_spells", slow_periods, "count");
  report.CheckMetric("false_promotions", static_cast<double>(TermIncreaseSince(*cluster, term)),
                     "count", Bound::kAtMost, 0);
  report.AddLoadResult(std::move(result));
}

void MeasureSwitchover(const BenchScale& scale, Report& report) {
  auto cluster = StartCluster(LowRateClusterProfile(scale), 1);
  SetNetworkDelay(*cluster, 1);
  auto options = MakeLoadOptions(*cluster, "planned switchover", kLowRatePerSecond, 1);
  options.read_share = 0.5;
  LoadGenerator generator(options);
  generator.Start();
  std::this_thread::sleep_for(kSettleTime);
  const auto old_primary = cluster->PrimaryOf("s0");
  auto record = cluster->RecordOf("s0");
  for (auto& endpoint : record.endpoints) {
    endpoint.leaving = endpoint.id.value() == old_primary;
  }
  const auto since_us = generator.NowUs();
  const auto replaced = cluster->ReplaceRecord(record);
  auto result = generator.Finish();
  std::cout << "# " << SummaryText(result) << std::endl;
  report.CheckMetric("switchover_accepted", replaced.status == 200 ? 1 : 0, "bool", Bound::kAtLeast,
                     1);
  report.CheckMetric("switchover_moved", cluster->PrimaryOf("s0") != old_primary ? 1 : 0, "bool",
                     Bound::kAtLeast, 1);
  report.CheckMetric("switchover_gap", result.LongestGapMs(since_us), "ms", Bound::kAtMost, 300);
  report.CheckMetric("switchover_caller_errors",
                     static_cast<double>(result.samples.size() - result.Count(LoadOutcome::kOk)),
                     "count", Bound::kAtMost, 0);
  report.AddLoadResult(std::move(result));
}

void MeasureOverload(const BenchScale& scale, Report& report) {
  auto profile = HighRateClusterProfile(scale);
  // Long enough that the simulated servers are the bottleneck, not the machine of the benchmark.
  profile.service_us = 10'000;
  auto cluster = StartCluster(profile, 1);
  auto options = MakeLoadOptions(*cluster, "peak", 0, 1);
  options.read_share = 1;
  options.deadline = Millis(500);
  options.duration = scale.run_duration;
  // Three servers with five slots each.
  const double capacity = 3.0 * static_cast<double>(profile.slots) * 1e6 / profile.service_us;
  double peak = 0;
  for (const double share : {0.4, 0.6, 0.8}) {
    options.requests_per_second = capacity * share;
    options.seed += 1;
    options.name = fmt::format("at {:.1f} of capacity", share);
    auto result = RunLoad(options);
    peak = std::max(peak, result.Goodput());
    report.AddLoadResult(std::move(result));
  }
  options.requests_per_second = capacity * 3;
  options.seed += 1;
  options.name = "at 3 times capacity";
  auto result = RunLoad(options);
  const auto refused = result.Latency(false, LoadOutcome::kNotRun);
  report.PrintMetric("capacity_nominal", capacity, "1/s");
  report.PrintMetric("goodput_peak", peak, "1/s");
  // The peak was measured below capacity, so the nominal capacity is the stricter reference.
  report.CheckMetric("overload_goodput_share", result.Goodput() / std::max(peak, capacity), "share",
                     Bound::kAtLeast, 0.9);
  report.CheckMetric("overload_refusal_p99", refused.p99_ms, "ms", Bound::kAtMost, 50);
  double waiting = 0;
  double connections = 0;
  for (const auto& endpoint : cluster->endpoints()) {
    const auto statistics = cluster->EndpointStatistics(endpoint->id.value());
    waiting = std::max(waiting, statistics.at("peak_waiting").to_number<double>());
    connections = std::max(connections, statistics.at("peak_connections").to_number<double>());
  }
  report.PrintMetric("overload_peak_waiting_at_an_endpoint", waiting, "count");
  report.CheckMetric("overload_peak_connections", connections, "count", Bound::kAtMost,
                     static_cast<double>(profile.connections));
  report.AddLoadResult(std::move(result));
}

void MeasureConnections(const BenchScale& scale, Report& report) {
  const auto profile = HighRateClusterProfile(scale);
  auto cluster = StartCluster(profile, 1);
  // VMs are killed and new ones added while changes of the VM list take 3 s to become visible.
  cluster->SetPlatformFaults(R"({"list_lag_ms":3000})");
  auto options = MakeLoadOptions(*cluster, "proxies replaced", kHighRatePerSecond, 1);
  options.duration = scale.run_duration + Millis(4000);
  LoadGenerator generator(options);
  generator.Start();
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(Millis(1500));
    const auto victim = static_cast<std::size_t>(i) + 1;
    generator.ExcludeProxy(cluster->proxy(victim).caller_address);
    std::this_thread::sleep_for(Millis(200));
    cluster->proxy(victim).process->Kill();
    cluster->AddProxy("new" + std::to_string(i));
    cluster->PublishVms();
  }
  auto result = generator.Finish();
  std::cout << "# " << SummaryText(result) << std::endl;
  double peak = 0;
  double refused = 0;
  for (const auto& endpoint : cluster->endpoints()) {
    const auto statistics = cluster->EndpointStatistics(endpoint->id.value());
    peak = std::max(peak, statistics.at("peak_connections").to_number<double>());
    refused += statistics.at("refused_connections").to_number<double>();
  }
  report.CheckMetric("connections_peak_at_an_endpoint", peak, "count", Bound::kAtMost,
                     static_cast<double>(profile.connections));
  report.CheckMetric("connections_refused_by_endpoints", refused, "count", Bound::kAtMost, 0);
  report.AddLoadResult(std::move(result));
}

void MeasureAddedLatency(const BenchScale& /*scale*/, Report& report) {
  constexpr int kRequests = 3000;
  auto cluster = StartCluster({.proxies = 1}, 1);
  const auto measure = [&](const Address& address, const std::string& target,
                           const std::string& body, std::vector<HttpHeader> headers) {
    BlockingClient client(address);
    std::vector<double> times;
    for (int i = 0; i < kRequests; ++i) {
      HttpRequest request;
      request.method = "POST";
      request.target = target;
      request.body = body;
      request.headers = headers;
      const auto start = Clock::now();
      const auto response = client.Send(request, Millis(2000));
      if (response && response->status == 200) {
        times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  };
  Session session("s0");
  session.Write(cluster->proxy(0).caller_address, "UPDATE load SET n = 1 WHERE id = 1");
  const auto replica = cluster->PrimaryOf("s0") == "s0-b" ? "s0-c" : "s0-b";
  ReadRequest direct_request;
  direct_request.statement.sql = "SELECT n FROM load WHERE id = 1";
  const auto direct_times =
      measure(cluster->endpoint(replica).address, "/v1/read", EncodeJson(direct_request), {});
  CallerStatement proxied_statement;
  proxied_statement.sql = direct_request.statement.sql;
  const auto proxied_times =
      measure(cluster->proxy(0).caller_address, "/v1/groups/s0/read", EncodeJson(proxied_statement),
              {{"Cardamom-Session", session.token()}});
  const auto quantile = [](const std::vector<double>& times, double share) {
    return times.at(static_cast<std::size_t>(share * static_cast<double>(times.size() - 1)));
  };
  report.PrintMetric("direct_read_median", quantile(direct_times, 0.5), "ms");
  report.PrintMetric("proxied_read_median", quantile(proxied_times, 0.5), "ms");
  report.CheckMetric("added_latency_median",
                     quantile(proxied_times, 0.5) - quantile(direct_times, 0.5), "ms",
                     Bound::kAtMost, 0.3);
  report.CheckMetric("added_latency_p99",
                     quantile(proxied_times, 0.99) - quantile(direct_times, 0.99), "ms",
                     Bound::kAtMost, 2);
}

void MeasureDataPath(const BenchScale& scale, Report& report) {
  constexpr std::size_t kConnections = 2000;
  auto cluster = StartCluster({.proxies = 1}, 1);
  const auto pid = cluster->proxy(0).process->pid();
  auto options = MakeLoadOptions(*cluster, "data path", 1500, 1);
  options.duration = scale.run_duration;
  const auto before = UsageOf(pid);
  auto result = RunLoad(options);
  const auto after = UsageOf(pid);
  report.PrintMetric(
      "cpu_a_statement",
      (after.cpu_seconds - before.cpu_seconds) * 1e6 / static_cast<double>(result.samples.size()),
      "us");
  report.AddLoadResult(std::move(result));

  std::vector<std::unique_ptr<BlockingClient>> clients;
  for (std::size_t i = 0; i < kConnections; ++i) {
    clients.push_back(std::make_unique<BlockingClient>(cluster->proxy(0).caller_address));
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/groups/s0/read";
    request.body = R"({"sql":"SELECT 1","max_age_ms":1000})";
    clients.back()->Send(request, Millis(2000));
  }
  const auto with_connections = UsageOf(pid);
  report.PrintMetric("memory_a_caller_connection",
                     (static_cast<double>(with_connections.resident_bytes) -
                      static_cast<double>(after.resident_bytes)) /
                         1000 / static_cast<double>(kConnections),
                     "KB");
}

void MeasureIdleCost(const BenchScale& scale, Report& report) {
  ClusterProfile profile;
  profile.proxies = scale.idle_proxies;
  auto cluster = StartCluster(profile, 3);
  WaitUntilIdle();
  const auto cost = SampleIdleCost(*cluster, Millis(5000));
  report.CheckMetric("idle_core_share", cost.core_share * 100, "%", Bound::kAtMost, 1.2);
  report.CheckMetric("idle_resident", cost.resident_mb, "MB", Bound::kAtMost, 128);
  report.CheckMetric("idle_traffic_a_proxy", cost.kb_per_second, "KB/s", Bound::kAtMost, 3);
}

void MeasureIdleCostScaling(const BenchScale& /*scale*/, Report& report) {
  struct Size {
    std::size_t proxies;
    int groups;
    std::uint32_t homes;
  };
  for (const auto& size : {Size{3, 3, 21}, Size{9, 3, 21}, Size{21, 3, 21}, Size{60, 3, 3},
                           Size{9, 9, 3}, Size{9, 30, 3}}) {
    ClusterProfile profile;
    profile.proxies = size.proxies;
    profile.home_proxies = size.homes;
    Cluster cluster(profile);
    for (int i = 0; i < size.groups; ++i) {
      cluster.AddGroup("s" + std::to_string(i));
    }
    WaitUntilIdle();
    const auto cost = SampleIdleCost(cluster, Millis(5000));
    const auto label =
        fmt::format("{} proxies, {} groups, {} homes", size.proxies, size.groups, size.homes);
    report.PrintMetric(label + ": core", cost.core_share * 100, "%");
    report.PrintMetric(label + ": resident", cost.resident_mb, "MB");
    report.PrintMetric(label + ": traffic a proxy", cost.kb_per_second, "KB/s");
  }
}

}  // namespace cardamom
