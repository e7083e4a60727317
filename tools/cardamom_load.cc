// Generates load on running proxies and reports the results as callers would have seen them.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/program_options.hpp>

#include "bench/load/load_generator.h"
#include "core/split.h"

namespace {

namespace po = boost::program_options;
using namespace cardamom;

int Compare(const std::vector<std::string>& files, const std::string& html) {
  std::vector<LoadResult> results;
  for (const auto& path : files) {
    std::ifstream file(path);
    auto result = DecodeJson<LoadResult>(std::string(std::istreambuf_iterator<char>(file), {}));
    if (!result) {
      std::cerr << path << ": " << result.error().detail << "\n";
      return EXIT_FAILURE;
    }
    std::cout << SummaryText(*result) << "\n";
    results.push_back(std::move(*result));
  }
  std::ofstream(html) << ReportHtml(results);
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  LoadOptions load;
  std::string proxies;
  std::string groups;
  std::string json;
  std::string html = "load.html";
  std::vector<std::string> compare;
  std::int64_t duration_ms = 5000;
  std::int64_t max_age_ms = 0;
  bool create = false;
  po::options_description options("cardamom_load");
  auto add = options.add_options();
  add("help", "print this text");
  add("proxies", po::value(&proxies), "caller addresses, separated by commas");
  add("groups", po::value(&groups), "groups, separated by commas");
  add("rate", po::value(&load.requests_per_second), "requests a second over all proxies");
  add("duration-ms", po::value(&duration_ms), "length of the run");
  add("read-share", po::value(&load.read_share), "share of reads, 0 to 1");
  add("age-ms", po::value(&max_age_ms), "greatest age that reads state; 0 for none");
  add("sessions", po::value(&load.sessions_per_group),
      "sessions a group, which roam between proxies");
  add("seed", po::value(&load.seed), "seed of the arrivals");
  add("name", po::value(&load.name), "name of the run in reports");
  add("create-table", po::bool_switch(&create), "create the table that the load uses first");
  add("json", po::value(&json), "file for the result");
  add("html", po::value(&html), "file for the report");
  add("compare", po::value(&compare)->multitoken(), "result files to show side by side");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << failure.what() << "\n";
    return EXIT_FAILURE;
  }
  if (values.contains("help")) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  if (!compare.empty()) {
    return Compare(compare, html);
  }
  for (const auto& text : SplitList(proxies)) {
    const auto address = Address::Parse(text);
    if (!address) {
      std::cerr << "'" << text << "' is not IP:PORT\n";
      return EXIT_FAILURE;
    }
    load.proxies.push_back(*address);
  }
  load.groups = SplitList(groups);
  if (load.proxies.empty() || load.groups.empty() || load.requests_per_second <= 0) {
    std::cerr << "--proxies, --groups and a positive --rate are needed\n";
    return EXIT_FAILURE;
  }
  load.duration = Millis(duration_ms);
  if (max_age_ms > 0) {
    load.max_age = Millis(max_age_ms);
  }
  try {
    if (create) {
      for (const auto& group : load.groups) {
        CreateLoadTable(load.proxies.front(), group);
      }
    }
    LoadGenerator generator(load);
    generator.Start();
    const auto result = generator.Finish();
    std::cout << SummaryText(result) << "\n";
    if (!json.empty()) {
      std::ofstream(json) << EncodeJson(result);
    }
    std::ofstream(html) << ReportHtml({result});
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
