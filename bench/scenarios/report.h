// Lines of the form "metric value unit target verdict".
#pragma once

#include <string>
#include <vector>

#include "bench/load/load_result.h"

namespace cardamom {

enum class Bound { kAtLeast, kAtMost };

// Not thread safe.
class Report {
 public:
  // Prints the line and keeps the verdict.
  void Add(const std::string& metric,
           double value,
           const std::string& unit,
           Bound bound,
           double target);
  // Prints a figure that has no target.
  void Note(const std::string& metric, double value, const std::string& unit);
  // Keeps a result for the HTML report.
  void Keep(LoadResult result);
  void WriteHtml(const std::string& path) const;

  int misses() const { return m_misses; }

 private:
  int m_misses = 0;
  std::vector<LoadResult> m_results;
};

}  // namespace cardamom
