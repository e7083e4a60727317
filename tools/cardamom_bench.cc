// Runs the measurements and prints "metric value unit target verdict" lines.
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include <boost/program_options.hpp>

#include "bench/scenarios/scenarios.h"

namespace {

namespace po = boost::program_options;
using namespace cardamom;

using Measurement = void (*)(const BenchScale&, Report&);

const std::vector<std::pair<std::string, Measurement>>& Measurements() {
  static const std::vector<std::pair<std::string, Measurement>> measurements = {
      {"replica-share", &MeasureReplicaShare}, {"failover", &MeasureFailover},
      {"slow-spells", &MeasureSlowPeriods},    {"switchover", &MeasureSwitchover},
      {"overload", &MeasureOverload},          {"connections", &MeasureConnections},
      {"added-latency", &MeasureAddedLatency}, {"data-path", &MeasureDataPath},
      {"idle-cost", &MeasureIdleCost},         {"slopes", &MeasureIdleCostScaling},
  };
  return measurements;
}

}  // namespace

int main(int argc, char** argv) {
  std::string only;
  std::string html = "bench.html";
  bool quick = false;
  po::options_description options("cardamom_bench");
  auto add = options.add_options();
  add("help", "print this text");
  add("quick", po::bool_switch(&quick), "short runs; leaves out slopes");
  add("only", po::value(&only), "run one measurement");
  add("html", po::value(&html), "file for the report");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << failure.what() << "\n";
    return EXIT_FAILURE;
  }
  if (values.contains("help")) {
    std::cout << options << "\nmeasurements:";
    for (const auto& [name, run] : Measurements()) {
      std::cout << " " << name;
    }
    std::cout << "\n";
    return EXIT_SUCCESS;
  }
  BenchScale scale;
  if (quick) {
    scale = {.proxies = 3,
             .run_duration = Millis(2500),
             .slow_periods_duration = Millis(8000),
             .idle_proxies = 6};
  }
  Report report;
  for (const auto& [name, run] : Measurements()) {
    const bool wanted = only.empty() ? !(quick && name == "slopes") : only == name;
    if (wanted) {
      std::cout << "# " << name << std::endl;
      try {
        run(scale, report);
      } catch (const std::exception& failure) {
        std::cerr << name << ": " << failure.what() << "\n";
        return EXIT_FAILURE;
      }
    }
  }
  report.WriteHtml(html);
  std::cout << report.missed_targets() << " missed" << std::endl;
  return EXIT_SUCCESS;
}
