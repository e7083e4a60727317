// Prints lines of the form "metric value unit target verdict" and collects load results.
#pragma once

#include <string>
#include <vector>

#include "bench/load/load_result.h"

namespace cardamom {

enum class Bound { kAtLeast, kAtMost };

// Not thread safe.
class Report {
 public:
  // Prints the metric with its target and counts a missed target.
  void CheckMetric(const std::string& metric,
                   double value,
                   const std::string& unit,
                   Bound bound,
                   double target);
  // Prints a metric that has no target.
  void PrintMetric(const std::string& metric, double value, const std::string& unit);
  // Adds a result to the HTML report.
  void AddLoadResult(LoadResult result);
  // Writes the plots of the added results. Errors are ignored.
  void WriteHtml(const std::string& path) const;

  // Number of missed targets.
  int missed_targets() const { return m_missed_targets; }

 private:
  int m_missed_targets = 0;
  std::vector<LoadResult> m_results;
};

}  // namespace cardamom
