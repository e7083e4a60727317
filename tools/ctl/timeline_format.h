// Sorts and formats the events of several processes.
#pragma once

#include <string>
#include <vector>

#include "events/event_log.h"

namespace cardamom {

// Puts `events` in causal order: by hybrid logical time, then by VM. Thread safe.
void SortEvents(std::vector<Event>& events);

// Each of these formats the events in the order given. Thread safe.
std::string TimelineText(const std::vector<Event>& events);
std::string TimelineJsonLines(const std::vector<Event>& events);
// One self-contained page with a column for each VM.
std::string TimelineHtml(const std::vector<Event>& events);

}  // namespace cardamom
