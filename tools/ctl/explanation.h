// From a request's id to its cause, by the events of all proxies.
#pragma once

#include <string>
#include <vector>

#include "events/event_log.h"

namespace cardamom {

// A value type.
struct Explanation {
  // The events that name the request, in causal order.
  std::vector<Event> request;
  // What happened at that time to the group, the servers and the proxies that it met.
  std::vector<Event> context;
  // One sentence: what became of the request and why. Empty if no event names it.
  std::string cause;
  // Where to look next, if the events do not say it all.
  std::string next;
};

// Explains `request`. Clocks of VMs differ: `context` reaches two seconds to both sides. Pure and
// thread safe.
Explanation Explain(std::vector<Event> events, const std::string& request);

std::string FormatExplanation(const Explanation& explanation);

}  // namespace cardamom
