#include "bench/load/load_result.h"

#include <algorithm>
#include <cmath>
#include <map>

#include <fmt/format.h>

namespace cardamom {
namespace {

constexpr int kPlotWidth = 620;
constexpr int kPlotHeight = 180;
constexpr double kUsPerMs = 1000;
constexpr double kUsPerSecond = 1e6;
// Greater latencies are drawn at the top edge of the plot.
constexpr double kPlotCeilingMs = 2500;

// Quantile of sorted microseconds, in milliseconds; 0 if there are none.
double QuantileMs(const std::vector<std::int64_t>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index]) / kUsPerMs;
}

// Height of a latency in the plot. Logarithmic, so that both 1 ms and 1 s are readable.
double PlotHeightOf(double ms) {
  const double bounded = std::clamp(ms, 0.1, kPlotCeilingMs);
  return kPlotHeight * (std::log10(bounded) + 1) / (std::log10(kPlotCeilingMs) + 1);
}

std::string LatencyPlot(const LoadResult& result) {
  auto svg = fmt::format("<svg width=\"{}\" height=\"{}\">", kPlotWidth + 60, kPlotHeight + 20);
  for (const double ms : {1.0, 10.0, 100.0, 1000.0}) {
    const double y = kPlotHeight - PlotHeightOf(ms);
    svg += fmt::format(
        "<line x1=\"50\" x2=\"{}\" y1=\"{:.0f}\" y2=\"{:.0f}\" stroke=\"#ddd\"/>"
        "<text x=\"2\" y=\"{:.0f}\">{:g} ms</text>",
        kPlotWidth + 50, y, y, y + 4, ms);
  }
  const double run_us = std::max(result.seconds, 0.001) * kUsPerSecond;
  // Draws at most about 8000 points, so that the page stays small.
  const auto step = std::max<std::size_t>(1, result.samples.size() / 4000);
  for (std::size_t i = 0; i < result.samples.size(); i += step) {
    const auto& sample = result.samples[i];
    const double x = 50 + kPlotWidth * static_cast<double>(sample.due_us) / run_us;
    const double y = kPlotHeight - PlotHeightOf(static_cast<double>(sample.latency_us) / kUsPerMs);
    const char* colour = sample.outcome != 0 ? "#c00" : sample.write ? "#e80" : "#06c";
    svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"1.2\" fill=\"{}\"/>", x, y, colour);
  }
  return svg + "</svg>";
}

// Plots the share of reads served by replicas in each second.
std::string ReplicaSharePlot(const LoadResult& result) {
  std::map<std::int64_t, std::pair<int, int>> seconds;
  for (const auto& sample : result.samples) {
    if (!sample.write && sample.outcome == 0) {
      auto& [replica, all] = seconds[sample.due_us / static_cast<std::int64_t>(kUsPerSecond)];
      replica += sample.from_replica ? 1 : 0;
      ++all;
    }
  }
  auto svg = fmt::format(
      "<svg width=\"{}\" height=\"90\"><text x=\"2\" y=\"12\">1</text>"
      "<text x=\"2\" y=\"82\">0</text><polyline fill=\"none\" stroke=\"#080\" points=\"",
      kPlotWidth + 60);
  for (const auto& [second, counts] : seconds) {
    const double share = static_cast<double>(counts.first) / counts.second;
    const double x = 50 + kPlotWidth * (static_cast<double>(second) + 0.5) / result.seconds;
    svg += fmt::format("{:.1f},{:.1f} ", x, 80 - 70 * share);
  }
  return svg + "\"/></svg>";
}

}  // namespace

LatencySummary LoadResult::Latency(bool write, LoadOutcome outcome) const {
  std::vector<std::int64_t> latencies;
  for (const auto& sample : samples) {
    if (sample.write == write && sample.outcome == static_cast<int>(outcome)) {
      latencies.push_back(sample.latency_us);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return {latencies.size(), QuantileMs(latencies, 0.5), QuantileMs(latencies, 0.99),
          QuantileMs(latencies, 1)};
}

std::uint64_t LoadResult::Count(LoadOutcome outcome) const {
  return static_cast<std::uint64_t>(std::count_if(
      samples.begin(), samples.end(),
      [outcome](const LoadSample& sample) { return sample.outcome == static_cast<int>(outcome); }));
}

double LoadResult::ReplicaShare() const {
  double replica = 0;
  double all = 0;
  for (const auto& sample : samples) {
    if (!sample.write && sample.outcome == 0) {
      replica += sample.from_replica ? 1 : 0;
      ++all;
    }
  }
  return all == 0 ? 0 : replica / all;
}

double LoadResult::LongestGapMs(std::int64_t since_us) const {
  std::map<int, std::vector<std::int64_t>> ends;
  for (const auto& sample : samples) {
    if (sample.write && sample.outcome == 0) {
      ends[sample.group].push_back(sample.due_us + sample.latency_us);
    }
  }
  std::int64_t longest = 0;
  for (auto& [group, times] : ends) {
    std::sort(times.begin(), times.end());
    auto previous = since_us;
    for (const auto time : times) {
      if (time > since_us) {
        longest = std::max(longest, time - previous);
        previous = time;
      }
    }
  }
  return static_cast<double>(longest) / kUsPerMs;
}

double LoadResult::Goodput() const {
  const auto good = std::count_if(samples.begin(), samples.end(), [this](const auto& sample) {
    return sample.outcome == static_cast<int>(LoadOutcome::kOk) &&
           static_cast<double>(sample.latency_us) <= deadline_ms * kUsPerMs;
  });
  return seconds == 0 ? 0 : static_cast<double>(good) / seconds;
}

std::string SummaryText(const LoadResult& result) {
  const auto reads = result.Latency(false, LoadOutcome::kOk);
  const auto writes = result.Latency(true, LoadOutcome::kOk);
  return fmt::format(
      "{}: {:.0f}/s offered, {:.0f}/s good, reads {} (median {:.2f} ms, p99 {:.2f} ms, replica "
      "share {:.4f}), writes {} (median {:.2f} ms, p99 {:.2f} ms), not run {}, unknown {}",
      result.name, result.rate, result.Goodput(), reads.count, reads.median_ms, reads.p99_ms,
      result.ReplicaShare(), writes.count, writes.median_ms, writes.p99_ms,
      result.Count(LoadOutcome::kNotRun), result.Count(LoadOutcome::kUnknown));
}

std::string ReportHtml(const std::vector<LoadResult>& results) {
  std::string page =
      "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Load report</title><style>"
      "body{font:13px sans-serif}text{font:11px sans-serif}td{vertical-align:top;padding:8px}"
      "</style></head><body><p>Latency from the due time: reads blue, writes orange, failures "
      "red. Below: share of reads served by replicas in each second.</p><table><tr>";
  for (const auto& result : results) {
    page += fmt::format("<td><h3>{}</h3><p>{}</p>{}<br>{}</td>", result.name, SummaryText(result),
                        LatencyPlot(result), ReplicaSharePlot(result));
  }
  return page + "</tr></table></body></html>\n";
}

}  // namespace cardamom
