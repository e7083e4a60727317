// What a load run measured.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"

namespace cardamom {

enum class LoadOutcome { kOk = 0, kNotRun = 1, kUnknown = 2 };

// One request. Latency counts from the time at which the request was due, so that a stall is seen
// by every request that it delays.
struct LoadSample {
  // Offset of the due time from the start of the run.
  std::int64_t due_us = 0;
  std::int64_t latency_us = 0;
  bool write = false;
  int outcome = 0;
  bool from_replica = false;
  int group = 0;
};
BOOST_DESCRIBE_STRUCT(LoadSample, (), (due_us, latency_us, write, outcome, from_replica, group))

struct LatencySummary {
  std::uint64_t count = 0;
  double median_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
};
BOOST_DESCRIBE_STRUCT(LatencySummary, (), (count, median_ms, p99_ms, max_ms))

// A value type; distinct objects may be used from distinct threads.
struct LoadResult {
  std::string name;
  double rate = 0;
  double seconds = 0;
  // An answer after its deadline is worth nothing.
  double deadline_ms = 0;
  std::vector<LoadSample> samples;

  LatencySummary Latency(bool write, LoadOutcome outcome) const;
  std::uint64_t Count(LoadOutcome outcome) const;
  // Share of the successful reads that replicas served.
  double ReplicaShare() const;
  // Longest time without a successful write in one group, from `since_us` on.
  double LongestGapMs(std::int64_t since_us) const;
  // Requests a second that succeeded within their deadline.
  double Goodput() const;
};
BOOST_DESCRIBE_STRUCT(LoadResult, (), (name, rate, seconds, deadline_ms, samples))

// A self-contained page with plots of one result, or of several side by side. Thread safe.
std::string ReportHtml(const std::vector<LoadResult>& results);
// One line a result. Thread safe.
std::string SummaryText(const LoadResult& result);

}  // namespace cardamom
