#include "tools/ctl/explanation.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include <fmt/format.h>

#include "tools/ctl/timeline_format.h"

namespace cardamom {
namespace {

constexpr std::int64_t kContextWindowMs = 2000;
constexpr std::size_t kMaxContextEvents = 60;

struct RefusalCause {
  std::string_view prefix;
  std::string_view cause;
  std::string_view next_step;
};

// Refusal reasons, matched by prefix. docs/OPERATIONS.md describes them in more detail.
constexpr std::array kRefusalCauses = {
    RefusalCause{"busy at", "the server had its queue full",
                 "405 of that server: how many statements, how many of them 'after -'"},
    RefusalCause{"lagging at", "the replica lacked a position that the read has to see",
                 "the lag of the group's replicas; the primary had no place either"},
    RefusalCause{"the queue of the endpoint is full",
                 "more work waited for the server than its slots do in the time that was left",
                 "405 of that server: how many a second; whether the replicas take reads"},
    RefusalCause{"no place before the deadline",
                 "the statement waited for its turn at the server until it was too late to send it",
                 "405 of that server: how many a second; whether the replicas take reads"},
    RefusalCause{"no primary", "no primary was known that answers",
                 "300, 301, 310, 303, 305 of the group"},
    RefusalCause{"no server",
                 "no server could answer: the primary was unknown or failing, and no replica "
                 "was known to be fresh enough",
                 "300, 301, 310, 303, 305 of the group"},
    RefusalCause{"no link is free", "all links of the proxy to the server were taken",
                 "402: transactions that rest"},
    RefusalCause{"Operation canceled", "the server did not answer before the deadline",
                 "500 and 501 of that server; 405 of it at that time"},
    RefusalCause{"begin: read_only", "the server was no longer the primary",
                 "303 and 306 of the group"},
    RefusalCause{"read_only", "the server was no longer the primary", "303 and 306 of the group"},
    RefusalCause{"connection_limit", "the server takes no more connections",
                 "205: whether the proxies agree about the homes"},
};

// Failover events (3xx) and connection events (5xx).
bool IsContextOfGroup(int code) {
  return code / 100 == 3 || code / 100 == 5;
}

// Process events (1xx), configuration events (2xx) and the reachability of peers.
bool IsContextOfProxy(int code) {
  return code / 100 == 1 || code / 100 == 2 ||
         code == static_cast<int>(EventCode::kPeerUnreachable) ||
         code == static_cast<int>(EventCode::kPeerReachable);
}

// Returns the word that follows `marker` in `text`, or an empty string if `marker` does not occur.
std::string FindWordAfter(const std::string& text, std::string_view marker) {
  const auto marker_pos = text.find(marker);
  if (marker_pos == std::string::npos) {
    return "";
  }
  const auto start = marker_pos + marker.size();
  return text.substr(start, text.find_first_of(" :;,", start) - start);
}

// Returns the last event that determined the reply to the caller, or null if there is none.
const Event* FindDecidingEvent(const std::vector<Event>& events) {
  const Event* last = nullptr;
  for (const auto& event : events) {
    const auto code = static_cast<EventCode>(event.code);
    const bool forward_answered = code == EventCode::kStatementForwarded &&
                                  event.subject.detail.find(": answered") != std::string::npos;
    const bool decides = code == EventCode::kStatementAnswered ||
                         code == EventCode::kStatementRefused ||
                         code == EventCode::kOutcomeUnknown ||
                         (code == EventCode::kStatementForwarded && !forward_answered);
    if (decides) {
      last = &event;
    }
  }
  return last;
}

// Sets `cause` and `next_step` from the event that determined the reply.
void DetermineCause(Explanation& explanation) {
  const auto* deciding = FindDecidingEvent(explanation.request_events);
  if (deciding == nullptr) {
    explanation.cause =
        "no proxy logged an outcome; it may still run, or its line was dropped (107)";
    return;
  }
  const auto& detail = deciding->subject.detail;
  switch (static_cast<EventCode>(deciding->code)) {
    case EventCode::kStatementAnswered:
      explanation.cause =
          fmt::format("answered by {}: {}", deciding->subject.endpoint.value(), detail);
      return;
    case EventCode::kOutcomeUnknown:
      explanation.cause =
          "unknown: the write or commit was sent and not answered in time: " + detail;
      explanation.next_step =
          "310 and 303 of the group: whether the server remained the primary or was replaced";
      return;
    case EventCode::kStatementForwarded:
      explanation.cause = "the home proxy did not answer: " + detail;
      explanation.next_step = "505 of that home in other logs, 101 and 100 in its own";
      return;
    default:
      break;
  }
  explanation.cause = "refused, nothing is kept: " + detail;
  explanation.next_step = "500 and 501 of that server in all logs";
  for (const auto& reason : kRefusalCauses) {
    if (detail.starts_with(reason.prefix)) {
      explanation.cause = fmt::format("refused, nothing is kept: {} ({})", reason.cause, detail);
      explanation.next_step = reason.next_step;
      return;
    }
  }
}

}  // namespace

Explanation Explain(std::vector<Event> events, const std::string& request) {
  SortEvents(events);
  Explanation explanation;
  std::set<std::string> vms;
  std::set<std::string> endpoints;
  std::set<std::string> groups;
  for (const auto& event : events) {
    if (event.subject.request != request) {
      continue;
    }
    explanation.request_events.push_back(event);
    vms.insert(event.vm);
    vms.insert(FindWordAfter(event.subject.detail, "to "));
    groups.insert(event.subject.group.value());
    endpoints.insert(event.subject.endpoint.value());
    endpoints.insert(FindWordAfter(event.subject.detail, " at "));
  }
  if (explanation.request_events.empty()) {
    return explanation;
  }
  groups.erase("");
  endpoints.erase("");
  const auto from = explanation.request_events.front().time_ms - kContextWindowMs;
  const auto to = explanation.request_events.back().time_ms + kContextWindowMs;
  for (const auto& event : events) {
    const bool in_time = event.time_ms >= from && event.time_ms <= to;
    const bool of_group =
        IsContextOfGroup(event.code) && (groups.contains(event.subject.group.value()) ||
                                         endpoints.contains(event.subject.endpoint.value()));
    const bool of_proxy = IsContextOfProxy(event.code) && vms.contains(event.vm);
    if (in_time && (of_group || of_proxy) &&
        explanation.context_events.size() < kMaxContextEvents) {
      explanation.context_events.push_back(event);
    }
  }
  DetermineCause(explanation);
  return explanation;
}

std::string FormatExplanation(const Explanation& explanation) {
  if (explanation.request_events.empty()) {
    return "no event names this request\n";
  }
  auto text = fmt::format("cause: {}\n", explanation.cause);
  if (!explanation.next_step.empty()) {
    text += fmt::format("next:  {}\n", explanation.next_step);
  }
  text += "\nthe request\n" + TimelineText(explanation.request_events);
  if (!explanation.context_events.empty()) {
    text += "\naround it\n" + TimelineText(explanation.context_events);
  }
  return text;
}

}  // namespace cardamom
