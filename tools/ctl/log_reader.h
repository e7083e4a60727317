// Reads events from the logs of proxies.
#pragma once

#include <istream>
#include <string>
#include <vector>

#include "cardamom/error.h"
#include "events/event_log.h"

namespace cardamom {

// The events read from one or more logs. A value type.
struct LogContents {
  std::vector<Event> events;
  // Lines without a complete event; a log may begin or end in the middle of a line.
  std::size_t skipped_lines = 0;
};

// Reads one JSON object per line and skips any text before it, such as a timestamp. Thread safe for
// distinct streams.
LogContents ReadLogLines(std::istream& lines);

// Reads all of `files`. Errors: kBadSetting for a file that cannot be opened. Thread safe.
Outcome<LogContents> ReadLogFiles(const std::vector<std::string>& files);

}  // namespace cardamom
