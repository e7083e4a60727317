#include "bench/scenarios/report.h"

#include <fstream>
#include <iostream>
#include <utility>

#include <fmt/format.h>

namespace cardamom {

void Report::CheckMetric(const std::string& metric,
                         double value,
                         const std::string& unit,
                         Bound bound,
                         double target) {
  const bool met = bound == Bound::kAtLeast ? value >= target : value <= target;
  m_missed_targets += met ? 0 : 1;
  std::cout << fmt::format("{:<46} {:>10.4g} {:<6} {} {:<8g} {}", metric, value, unit,
                           bound == Bound::kAtLeast ? ">=" : "<=", target, met ? "met" : "MISSED")
            << std::endl;
}

void Report::PrintMetric(const std::string& metric, double value, const std::string& unit) {
  std::cout << fmt::format("{:<46} {:>10.4g} {:<6} -", metric, value, unit) << std::endl;
}

void Report::AddLoadResult(LoadResult result) {
  m_results.push_back(std::move(result));
}

void Report::WriteHtml(const std::string& path) const {
  std::ofstream(path) << ReportHtml(m_results);
}

}  // namespace cardamom
