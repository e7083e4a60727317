// Finds the cause of a request's outcome in the events of all proxies.
#pragma once

#include <string>
#include <vector>

#include "events/event_log.h"

namespace cardamom {

// A value type.
struct Explanation {
  // The events that contain the request's id, in causal order.
  std::vector<Event> request_events;
  // The first 60 events of the same period about the group, the servers and the proxies that were
  // involved, in causal order.
  std::vector<Event> context_events;
  // One sentence: the outcome of the request and its cause. Empty if no event contains its id.
  std::string cause;
  // Which events to look at next; may be empty.
  std::string next_step;
};

// Explains the outcome of the request with the id `request`. Clocks of VMs differ, so
// `context_events` begins two seconds before the first event of the request and ends two seconds
// after the last one. Pure and thread safe.
Explanation Explain(std::vector<Event> events, const std::string& request);

// Formats `explanation` as text for a terminal. Thread safe.
std::string FormatExplanation(const Explanation& explanation);

}  // namespace cardamom
