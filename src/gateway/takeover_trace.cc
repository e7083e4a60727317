#include "gateway/takeover_trace.h"

#include <cstdint>

#include <fmt/format.h>

#include "cardamom/result_code.h"

namespace cardamom {
namespace {

std::int64_t MillisOf(Duration span) {
  return ToMillis(span).count();
}

std::string ToText(const Error& error) {
  return fmt::format("{}: {}", InfoOf(error.code).name, error.detail);
}

std::string ToText(Position position) {
  return fmt::format("{}.{}", position.term.value(), position.index.value());
}

std::string DescribeTrace(const StopTrace& trace, TimePoint stopped_at) {
  std::string text;
  const auto add = [&text](const std::string& part) { text += (text.empty() ? "" : ", ") + part; };
  if (trace.started_ms != 0) {
    add(fmt::format("started {}", trace.started_ms));
  }
  if (trace.link_opened_at && trace.answered_at) {
    add(fmt::format("link {} ms old", MillisOf(*trace.answered_at - *trace.link_opened_at)));
    add(fmt::format("answered {} ms before", MillisOf(stopped_at - *trace.answered_at)));
  }
  if (!trace.cause.empty()) {
    add(trace.cause);
  }
  return text.empty() ? text : "[" + text + "]";
}

}  // namespace

StopTrace TraceAnswer(const Endpoint& endpoint,
                      const ServerAnswers& answers,
                      bool was_primary,
                      Term stop_at) {
  const auto& id = endpoint.entry.id;
  StopTrace trace;
  trace.started_ms = endpoint.entry.started_ms;
  const auto status = answers.statuses.find(id);
  if (status == answers.statuses.end()) {
    const auto failure = answers.failures.find(id);
    trace.cause = failure != answers.failures.end() ? ToText(failure->second) : "no answer";
    return trace;
  }
  trace.link_opened_at = answers.links_opened_at.at(id);
  trace.answered_at = answers.answered_at.at(id);
  const auto& shown = status->second;
  if (was_primary ? shown.is_primary : shown.paused_at < stop_at) {
    trace.cause =
        fmt::format("shows {} in term {}, paused at {}", shown.is_primary ? "primary" : "replica",
                    shown.term.value(), shown.paused_at.value());
  }
  return trace;
}

std::string DescribeDeparted(const DepartedServer& departed, const ServerAnswers& asked) {
  const auto now = BootClock::now();
  auto text = fmt::format("departed {} ms ago", MillisOf(now - departed.departed_at));
  if (departed.never_listed) {
    text += ", only in the roster";
  }
  if (departed.announced) {
    text += ", announced";
  }
  if (departed.restarted) {
    text += ", restarted";
  }
  if (departed.ended_by) {
    text += fmt::format(", ended {} ms ago", MillisOf(now - *departed.ended_by));
  }
  const auto failure = asked.failures.find(departed.endpoint->entry.id);
  if (failure != asked.failures.end()) {
    text += ", " + ToText(failure->second);
  }
  return text;
}

std::string DescribeStopped(const std::vector<StopResult>& servers, TimePoint stopped_at) {
  std::string text;
  for (const auto& server : servers) {
    const auto shown = server.stopped ? server.received : server.covered_by.value_or(Position());
    text += fmt::format(" {}{}={}{}{}", server.endpoint.value(),
                        server.was_primary ? "(primary)" : "", ToText(shown),
                        server.stopped      ? ""
                        : server.covered_by ? "(ended, covered by this position)"
                                            : "(not stopped)",
                        DescribeTrace(server.trace, stopped_at));
  }
  return text;
}

std::string DescribeRepeatedStop(const std::vector<StopResult>& servers,
                                 const ServerAnswers& answers,
                                 TimePoint asked_at,
                                 TimePoint complete_at) {
  auto text = fmt::format("; stop repeated in {} ms", MillisOf(complete_at - asked_at));
  for (const auto& server : servers) {
    const auto& id = server.endpoint;
    const auto status = answers.statuses.find(id);
    if (status == answers.statuses.end()) {
      const auto failure = answers.failures.find(id);
      text += fmt::format(" {} gave no answer ({})", id.value(),
                          failure != answers.failures.end() ? ToText(failure->second) : "time-out");
      continue;
    }
    if (status->second.received != server.received || status->second.is_primary) {
      text += fmt::format(" {}={}{}", id.value(), ToText(status->second.received),
                          status->second.is_primary ? " as primary" : "");
    }
    const auto link_opened_at = answers.links_opened_at.at(id);
    if (server.trace.link_opened_at != link_opened_at) {
      text += fmt::format(" {} on another link, {} ms old", id.value(),
                          MillisOf(answers.answered_at.at(id) - link_opened_at));
    }
    text += fmt::format(" {} paused at {}", id.value(), status->second.paused_at.value());
  }
  return text;
}

std::string DescribeList(const GroupClient& group, const std::string& label) {
  const auto snapshot = group.SnapshotServerList();
  auto text = fmt::format("; {} of {} servers{}", label, snapshot.servers.size(),
                          snapshot.changing ? ", changing" : "");
  const auto proof = group.list_proof();
  if (!proof) {
    return text;
  }
  text += fmt::format(", version {}.{}, answered {} ms ago", proof->position.era.value(),
                      proof->position.version.value(), MillisOf(Clock::now() - proof->answered_at));
  if (proof->confirmed_at) {
    text += fmt::format(", held by the store {} ms ago",
                        MillisOf(BootClock::now() - *proof->confirmed_at));
  }
  return text;
}

std::string DescribeOrder(const Outcome<OrderResult>& ordered, Duration time) {
  const auto after = fmt::format("in {} ms", MillisOf(time));
  if (ordered) {
    return fmt::format("{} {}", NameOf(ordered), after);
  }
  const auto* outcome =
      ordered.error().ran == Ran::kNo ? "not carried out" : "outcome unknown, may be carried out";
  return fmt::format("{} {}, {}: {}", NameOf(ordered), after, outcome, ordered.error().detail);
}

const char* NameOf(const Outcome<OrderResult>& ordered) {
  if (!ordered) {
    return "unanswered";
  }
  return *ordered == OrderResult::kAccepted ? "accepted" : "rejected";
}

std::string DescribePromoted(const GroupClient& group,
                             const EndpointId& primary,
                             Position position,
                             std::uint64_t token) {
  const auto endpoint = group.Find(primary);
  return fmt::format("{} at {}, started {}, token {}", primary.value(), ToText(position),
                     endpoint ? endpoint->entry.started_ms : 0, token);
}

}  // namespace cardamom
