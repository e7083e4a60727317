#include "tools/ctl/log_reader.h"

#include <fstream>
#include <iterator>

namespace cardamom {

LogContents ReadLogLines(std::istream& lines) {
  LogContents log;
  std::string line;
  while (std::getline(lines, line)) {
    const auto start = line.find('{');
    const auto event = start == std::string::npos
                           ? Outcome<Event>(Error{ResultCode::kBadJson, "", Ran::kNo})
                           : DecodeJson<Event>(std::string_view(line).substr(start));
    if (event && event->code != 0) {
      log.events.push_back(*event);
    } else {
      ++log.skipped_lines;
    }
  }
  return log;
}

Outcome<LogContents> ReadLogFiles(const std::vector<std::string>& files) {
  LogContents all;
  for (const auto& name : files) {
    std::ifstream file(name);
    if (!file) {
      return Error{ResultCode::kBadSetting, name + " cannot be opened", Ran::kNo};
    }
    auto log = ReadLogLines(file);
    all.skipped_lines += log.skipped_lines;
    std::move(log.events.begin(), log.events.end(), std::back_inserter(all.events));
  }
  return all;
}

}  // namespace cardamom
