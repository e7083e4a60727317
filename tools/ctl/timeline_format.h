// Orders and prints the events of many processes.
#pragma once

#include <string>
#include <vector>

#include "events/event_log.h"

namespace cardamom {

// Puts `events` in causal order: by hybrid logical time, then by process. Thread safe.
void SortEvents(std::vector<Event>& events);

std::string TimelineText(const std::vector<Event>& events);
std::string TimelineJsonLines(const std::vector<Event>& events);
// One self-contained page with a lane for each process.
std::string TimelineHtml(const std::vector<Event>& events);

}  // namespace cardamom
