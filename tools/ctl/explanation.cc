#include "tools/ctl/explanation.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include <fmt/format.h>

#include "tools/ctl/timeline_format.h"

namespace cardamom {
namespace {

constexpr std::int64_t kContextMs = 2000;
constexpr std::size_t kMostContext = 60;

struct Reason {
  std::string_view begin;
  std::string_view cause;
  std::string_view next;
};

// Refusal reasons, matched by prefix. docs/OPERATIONS.md describes them in more detail.
constexpr std::array kReasons = {
    Reason{"busy at", "the server had its queue full",
           "405 of that server: how many statements, how many of them 'after -'"},
    Reason{"lagging at", "the replica lacked a position that the read has to see",
           "the lag of the group's replicas; the primary had no place either"},
    Reason{"the queue of the endpoint is full",
           "more work waited for the server than its slots do in the time that was left",
           "405 of that server: how many a second; whether the replicas take reads"},
    Reason{"no place before the deadline",
           "the statement waited for its turn at the server until it was too late to send it",
           "405 of that server: how many a second; whether the replicas take reads"},
    Reason{"no primary", "no primary was known that answers",
           "300, 301, 310, 303, 305 of the group"},
    Reason{"no server",
           "no server could answer: the primary was unknown or failing, and no replica "
           "was known to be fresh enough",
           "300, 301, 310, 303, 305 of the group"},
    Reason{"no link is free", "all links of the proxy to the server were taken",
           "402: transactions that rest"},
    Reason{"Operation canceled", "the server did not answer before the deadline",
           "500 and 501 of that server; 405 of it at that time"},
    Reason{"begin: read_only", "the server had lost the lead", "303 and 306 of the group"},
    Reason{"read_only", "the server had lost the lead", "303 and 306 of the group"},
    Reason{"connection_limit", "the server takes no more connections",
           "205: whether the proxies agree about the homes"},
};

bool IsContextOfGroup(int code) {
  return code / 100 == 3 || code / 100 == 5;
}

bool IsContextOfProxy(int code) {
  return code / 100 == 1 || code / 100 == 2 ||
         code == static_cast<int>(EventCode::kPeerUnreachable) ||
         code == static_cast<int>(EventCode::kPeerReachable);
}

// Returns the word that follows `lead` in `text`, or an empty string if `lead` does not occur.
std::string WordAfter(const std::string& text, std::string_view lead) {
  const auto place = text.find(lead);
  if (place == std::string::npos) {
    return "";
  }
  const auto start = place + lead.size();
  return text.substr(start, text.find_first_of(" :;,", start) - start);
}

// Returns the last event that determined the reply to the caller, or null if there is none.
const Event* FindLast(const std::vector<Event>& events) {
  const Event* last = nullptr;
  for (const auto& event : events) {
    const auto code = static_cast<EventCode>(event.code);
    const bool forwarded_well = code == EventCode::kStatementForwarded &&
                                event.subject.detail.find(": answered") != std::string::npos;
    const bool decides = code == EventCode::kStatementAnswered ||
                         code == EventCode::kStatementRefused ||
                         code == EventCode::kOutcomeUnknown ||
                         (code == EventCode::kStatementForwarded && !forwarded_well);
    if (decides) {
      last = &event;
    }
  }
  return last;
}

// Sets `cause` and `next` from the event that determined the reply.
void Judge(Explanation& explanation) {
  const auto* last = FindLast(explanation.request);
  if (last == nullptr) {
    explanation.cause =
        "no proxy logged an outcome; it may still run, or its line was dropped (107)";
    return;
  }
  const auto& detail = last->subject.detail;
  switch (static_cast<EventCode>(last->code)) {
    case EventCode::kStatementAnswered:
      explanation.cause = fmt::format("answered by {}: {}", last->subject.endpoint.value(), detail);
      return;
    case EventCode::kOutcomeUnknown:
      explanation.cause =
          "unknown: the write or commit was sent and not answered in time: " + detail;
      explanation.next = "310 and 303 of the group: whether the server led on or was replaced";
      return;
    case EventCode::kStatementForwarded:
      explanation.cause = "the home proxy did not answer: " + detail;
      explanation.next = "505 of that home in other logs, 101 and 100 in its own";
      return;
    default:
      break;
  }
  explanation.cause = "refused, nothing is kept: " + detail;
  explanation.next = "500 and 501 of that server in all logs";
  for (const auto& reason : kReasons) {
    if (detail.starts_with(reason.begin)) {
      explanation.cause = fmt::format("refused, nothing is kept: {} ({})", reason.cause, detail);
      explanation.next = reason.next;
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
    explanation.request.push_back(event);
    vms.insert(event.vm);
    vms.insert(WordAfter(event.subject.detail, "to "));
    groups.insert(event.subject.group.value());
    endpoints.insert(event.subject.endpoint.value());
    endpoints.insert(WordAfter(event.subject.detail, " at "));
  }
  if (explanation.request.empty()) {
    return explanation;
  }
  groups.erase("");
  endpoints.erase("");
  const auto from = explanation.request.front().time_ms - kContextMs;
  const auto to = explanation.request.back().time_ms + kContextMs;
  for (const auto& event : events) {
    const bool in_time = event.time_ms >= from && event.time_ms <= to;
    const bool of_group =
        IsContextOfGroup(event.code) && (groups.contains(event.subject.group.value()) ||
                                         endpoints.contains(event.subject.endpoint.value()));
    const bool of_proxy = IsContextOfProxy(event.code) && vms.contains(event.vm);
    if (in_time && (of_group || of_proxy) && explanation.context.size() < kMostContext) {
      explanation.context.push_back(event);
    }
  }
  Judge(explanation);
  return explanation;
}

std::string FormatExplanation(const Explanation& explanation) {
  if (explanation.request.empty()) {
    return "no event names this request\n";
  }
  auto text = fmt::format("cause: {}\n", explanation.cause);
  if (!explanation.next.empty()) {
    text += fmt::format("next:  {}\n", explanation.next);
  }
  text += "\nthe request\n" + TimelineText(explanation.request);
  if (!explanation.context.empty()) {
    text += "\naround it\n" + TimelineText(explanation.context);
  }
  return text;
}

}  // namespace cardamom
