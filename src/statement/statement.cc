#include "statement/statement.h"

#include <utility>

namespace cardamom {

std::string_view ToString(StatementError error) {
  switch (error) {
    case StatementError::kBusy:
      return "busy";
    case StatementError::kAborted:
      return "aborted";
    case StatementError::kLagging:
      return "lagging";
    case StatementError::kReadOnly:
      return "read_only";
    case StatementError::kMoved:
      return "moved";
    case StatementError::kConnectionLimit:
      return "connection_limit";
    case StatementError::kInDoubt:
      return "in_doubt";
    case StatementError::kTimeout:
      return "timeout";
    case StatementError::kFailed:
      return "failed";
    case StatementError::kMalformed:
      return "malformed";
    case StatementError::kUnknownStatement:
      return "unknown_statement";
    case StatementError::kUnknownDatabase:
      return "unknown_database";
    case StatementError::kUnrecognized:
      return "unrecognized";
    case StatementError::kDenied:
      return "denied";
  }
  return "unrecognized";
}

bool GuaranteesNoEffect(StatementError error) {
  switch (error) {
    case StatementError::kBusy:
    case StatementError::kAborted:
    case StatementError::kLagging:
    case StatementError::kReadOnly:
    case StatementError::kMoved:
    case StatementError::kConnectionLimit:
      return true;
    default:
      return false;
  }
}

bool GuaranteesNotRun(StatementError error) {
  switch (error) {
    case StatementError::kBusy:
    case StatementError::kLagging:
    case StatementError::kReadOnly:
    case StatementError::kUnknownStatement:
    case StatementError::kMoved:
    case StatementError::kConnectionLimit:
      return true;
    default:
      return false;
  }
}

Reply EmptyReply(SessionState state) {
  Reply reply;
  reply.state = state;
  return reply;
}

Reply ErrorReply(StatementError code, std::string text, SessionState state) {
  Reply reply;
  reply.error = ReplyError{code, std::move(text)};
  reply.state = state;
  return reply;
}

}  // namespace cardamom
