// Reads events from the logs of proxies.
#pragma once

#include <istream>
#include <string>
#include <vector>

#include "cardamom/error.h"
#include "events/event_log.h"

namespace cardamom {

// What a log held. A value type.
struct ReadLog {
  std::vector<Event> events;
  // Lines that hold no event; a log may begin or end in the middle of one.
  std::size_t skipped = 0;
};

// Reads one JSON object a line; whatever stands before it, such as a time, is passed over. Thread
// safe for distinct streams.
ReadLog ReadLogLines(std::istream& lines);

// Reads all of `files`. Errors: kBadSetting for a file that cannot be opened. Thread safe.
Outcome<ReadLog> ReadLogFiles(const std::vector<std::string>& files);

}  // namespace cardamom
