#include "tools/ctl/log_reader.h"

#include <fstream>
#include <iterator>

namespace cardamom {

ReadLog ReadLogLines(std::istream& lines) {
  ReadLog log;
  std::string line;
  while (std::getline(lines, line)) {
    const auto start = line.find('{');
    const auto event = start == std::string::npos
                           ? Outcome<Event>(Error{ResultCode::kBadJson, "", Ran::kNo})
                           : DecodeJson<Event>(std::string_view(line).substr(start));
    if (event && event->code != 0) {
      log.events.push_back(*event);
    } else {
      ++log.skipped;
    }
  }
  return log;
}

Outcome<ReadLog> ReadLogFiles(const std::vector<std::string>& files) {
  ReadLog all;
  for (const auto& name : files) {
    std::ifstream file(name);
    if (!file) {
      return Error{ResultCode::kBadSetting, name + " cannot be opened", Ran::kNo};
    }
    auto log = ReadLogLines(file);
    all.skipped += log.skipped;
    std::move(log.events.begin(), log.events.end(), std::back_inserter(all.events));
  }
  return all;
}

}  // namespace cardamom
