// The measurements of a load run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/json.h"

namespace cardamom {

enum class LoadOutcome { kOk = 0, kNotRun = 1, kUnknown = 2 };

// One request. Latency counts from the scheduled time of the request, so that a stall shows in the
// latency of every request that it delays (no coordinated omission).
struct LoadSample {
  // Scheduled time, counted from the start of the run.
  std::int64_t due_us = 0;
  std::int64_t latency_us = 0;
  bool write = false;
  // A LoadOutcome.
  int outcome = 0;
  bool from_replica = false;
  // Index in LoadOptions::groups.
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
  // Scheduled requests per second.
  double rate = 0;
  // Length of the run.
  double seconds = 0;
  // A response after its deadline does not count towards the goodput.
  double deadline_ms = 0;
  std::vector<LoadSample> samples;

  // Latency of the writes, or of the reads, that ended with `outcome`; all 0 if there are none.
  LatencySummary Latency(bool write, LoadOutcome outcome) const;
  std::uint64_t Count(LoadOutcome outcome) const;
  // Share of the successful reads that replicas served; 0 without successful reads.
  double ReplicaShare() const;
  // Longest time between the ends of two consecutive successful writes in one group after
  // `since_us`, or between `since_us` and the first of them. The time after the last one does not
  // count.
  double LongestGapMs(std::int64_t since_us) const;
  // Requests per second that succeeded within their deadline.
  double Goodput() const;
};
BOOST_DESCRIBE_STRUCT(LoadResult, (), (name, rate, seconds, deadline_ms, samples))

// A self-contained HTML page that plots the results side by side. Thread safe.
std::string ReportHtml(const std::vector<LoadResult>& results);
// A summary in one line, without a line end. Thread safe.
std::string SummaryText(const LoadResult& result);

}  // namespace cardamom
