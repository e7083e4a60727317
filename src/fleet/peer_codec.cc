#include "fleet/peer_codec.h"

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>

#include "core/plain_text.h"

namespace cardamom {
namespace {

template <typename Enum>
bool IsValidEnumValue(int value, Enum last) {
  return value >= 0 && value <= static_cast<int>(last);
}

// No time of a statement, and no staleness that a route allows, exceeds one hour. A message with a
// longer duration is malformed, and sums with its durations might overflow.
constexpr Millis kMaxDuration{3'600'000};

template <typename Duration>
bool IsValidDuration(Duration span) {
  return span >= Duration::zero() && span <= kMaxDuration;
}

bool IsAbsentOrPlain(const std::optional<std::string>& text) {
  return !text || IsPlainText(*text);
}

// Whether no text of the message could end a line to a server or start another one.
bool FitsIntoLines(const PeerStatement& message) {
  const bool values_fit = std::all_of(
      message.values.begin(), message.values.end(),
      [](const auto& entry) { return IsPlainText(entry.first) && IsPlainText(entry.second); });
  const bool id_fits =
      message.id != "-" && message.id.find(' ') == std::string::npos && IsPlainText(message.id);
  return values_fit && id_fits && IsPlainText(message.text) && IsPlainText(message.name) &&
         IsPlainText(message.value) && IsAbsentOrPlain(message.prepared_shape) &&
         IsAbsentOrPlain(message.organisation);
}

template <typename Message>
Outcome<Message> Decode(std::string_view body) {
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code ec;
  const auto json = boost::json::parse(body, ec, {}, options);
  if (ec) {
    return Error{ResultCode::kBadJson, ec.message()};
  }
  try {
    return boost::json::value_to<Message>(json);
  } catch (const std::exception& failure) {
    return Error{ResultCode::kBadField, failure.what()};
  }
}

}  // namespace

Outcome<PeerStatement> DecodeStatement(std::string_view body) {
  return Decode<PeerStatement>(body);
}

Outcome<PeerReply> DecodeReply(std::string_view body) {
  return Decode<PeerReply>(body);
}

PeerStatement ToMessage(PeerOperation operation, const GroupId& group, const StatementTask& task) {
  PeerStatement message;
  message.operation = static_cast<int>(operation);
  message.group = group.value();
  message.id = task.statement.id.value();
  message.kind = static_cast<int>(task.statement.kind);
  message.text = task.statement.text;
  message.name = task.statement.name;
  message.value = task.statement.value;
  message.access = static_cast<int>(task.statement.access);
  message.values = task.caller.values;
  if (task.statement.kind == StatementKind::kExecute) {
    const auto prepared = task.caller.prepared.find(task.statement.name);
    if (prepared != task.caller.prepared.end()) {
      message.prepared_access = static_cast<int>(prepared->second.access);
      message.prepared_shape = prepared->second.shape;
    }
  }
  if (task.caller.committed && task.caller.committed_in == group) {
    message.committed = task.caller.committed;
  }
  message.consistency = static_cast<int>(task.route.consistency);
  message.max_staleness_ms = task.route.max_staleness.count();
  message.priority = task.route.priority;
  if (!task.organisation.value().empty()) {
    message.organisation = task.organisation.value();
  }
  return message;
}

Outcome<ReceivedStatement> FromMessage(const PeerStatement& message,
                                       TimePoint now,
                                       BootTime boot_now) {
  const bool enums_valid = IsValidEnumValue(message.operation, PeerOperation::kRollback) &&
                           IsValidEnumValue(message.kind, StatementKind::kDeallocate) &&
                           IsValidEnumValue(message.access, Access::kWrite) &&
                           IsValidEnumValue(message.consistency, Consistency::kReadYourWrites) &&
                           IsValidEnumValue(message.prepared_access.value_or(0), Access::kWrite);
  const bool durations_valid = IsValidDuration(std::chrono::microseconds(message.age_us)) &&
                               IsValidDuration(Millis(message.spent_ms)) &&
                               IsValidDuration(Millis(message.left_ms)) &&
                               IsValidDuration(Millis(message.max_staleness_ms));
  if (!enums_valid || !durations_valid) {
    return Error{ResultCode::kBadField, "a number out of range", Ran::kNo};
  }
  if (!FitsIntoLines(message)) {
    return Error{ResultCode::kBadField, "a text with control characters, or a bad id", Ran::kNo};
  }
  ReceivedStatement in;
  in.operation = static_cast<PeerOperation>(message.operation);
  in.statement.id = RequestId(message.id);
  in.statement.kind = static_cast<StatementKind>(message.kind);
  in.statement.text = message.text;
  in.statement.name = message.name;
  in.statement.value = message.value;
  in.statement.access = static_cast<Access>(message.access);
  in.caller.values = message.values;
  if (message.prepared_shape) {
    in.caller.prepared[message.name] = {static_cast<Access>(message.prepared_access.value_or(0)),
                                        *message.prepared_shape};
  }
  in.caller.committed = message.committed;
  in.caller.committed_in = GroupId(message.group);
  in.route.group = GroupId(message.group);
  in.route.consistency = static_cast<Consistency>(message.consistency);
  in.route.max_staleness = Millis(message.max_staleness_ms);
  in.route.priority = message.priority;
  in.route.statement_timeout = Millis(message.spent_ms + message.left_ms);
  in.received = now - Millis(message.spent_ms);
  in.first_byte_at = boot_now - std::chrono::microseconds(message.age_us);
  in.deadline = now + Millis(message.left_ms);
  in.organisation = OrganisationName(message.organisation.value_or(""));
  return in;
}

PeerReply ToMessage(const Reply& reply) {
  PeerReply message;
  message.rows = reply.rows;
  message.signature = reply.signature;
  if (reply.error) {
    message.error = static_cast<int>(reply.error->code);
    message.error_text = reply.error->text;
  }
  message.state = static_cast<int>(reply.state);
  message.position = reply.position;
  return message;
}

Reply FromMessage(PeerReply message) {
  Reply reply;
  reply.rows = std::move(message.rows);
  reply.signature = std::move(message.signature);
  if (message.error) {
    const auto code = IsValidEnumValue(*message.error, StatementError::kDenied)
                          ? static_cast<StatementError>(*message.error)
                          : StatementError::kUnrecognized;
    reply.error = ReplyError{code, std::move(message.error_text)};
  }
  reply.state = IsValidEnumValue(message.state, SessionState::kFailed)
                    ? static_cast<SessionState>(message.state)
                    : SessionState::kFailed;
  reply.position = message.position;
  return reply;
}

}  // namespace cardamom
