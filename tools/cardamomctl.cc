// The operators' command-line tool.
#include <cstdlib>
#include <iostream>
#include <map>

#include <boost/program_options.hpp>

#include "core/split.h"
#include "tools/ctl/explain_command.h"
#include "tools/ctl/record_commands.h"
#include "tools/ctl/status_commands.h"

namespace {

namespace po = boost::program_options;
using cardamom::CtlOptions;

using Command = int (*)(const CtlOptions&);

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"check", &cardamom::CheckRecord},      {"submit", &cardamom::ChangeRecord},
      {"replace", &cardamom::ChangeRecord},   {"withdraw", &cardamom::ChangeRecord},
      {"list", &cardamom::ListRecords},       {"show", &cardamom::ShowRecord},
      {"status", &cardamom::ShowStatus},      {"timeline", &cardamom::ShowTimeline},
      {"explain", &cardamom::ExplainRequest},
  };
  return commands;
}

}  // namespace

int main(int argc, char** argv) {
  CtlOptions options;
  std::string proxies;
  po::options_description flags("options");
  auto add = flags.add_options();
  add("help", "print this text");
  add("proxies", po::value(&proxies),
      "operations addresses, separated by commas "
      "(or CARDAMOM_PROXIES)");
  add("revision", po::value(&options.revision), "the record's revision that the change saw");
  add("change-id", po::value(&options.change_id),
      "identifies the change; repeat it to resolve "
      "an unknown outcome");
  add("format", po::value(&options.format), "text, json (status), jsonl or html (timeline)");
  add("output", po::value(&options.output), "file to write to");
  po::options_description hidden;
  hidden.add_options()("command", po::value(&options.command))("arguments",
                                                               po::value(&options.arguments));
  po::options_description all;
  all.add(flags).add(hidden);
  po::positional_options_description positional;
  positional.add("command", 1).add("arguments", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
              values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << failure.what() << "\n";
    return cardamom::kExitUsage;
  }
  const auto command = Commands().find(options.command);
  if (values.contains("help") || command == Commands().end()) {
    std::cout << "cardamomctl check FILE | submit FILE | replace FILE --revision N |\n"
                 "            withdraw GROUP --revision N | list | show GROUP | status |\n"
                 "            timeline [LOG...] | explain ID LOG...\n"
              << flags;
    return values.contains("help") ? cardamom::kExitOk : cardamom::kExitUsage;
  }
  if (proxies.empty()) {
    const char* text = std::getenv("CARDAMOM_PROXIES");
    proxies = text == nullptr ? "" : text;
  }
  options.proxies = cardamom::SplitList(proxies);
  return command->second(options);
}
