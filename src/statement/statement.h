// Statements of a caller's session and their replies, independent of any protocol.
//
// Thread safety: all types here are values; distinct objects may be used from distinct threads.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamom/strong.h"

namespace cardamom {

using RequestId = Strong<struct RequestIdTag, std::string>;
using DatabaseName = Strong<struct DatabaseNameTag, std::string>;

enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate,
};

enum class Access { kRead, kWrite };

// One statement as a caller sent it.
struct Statement {
  RequestId id;
  StatementKind kind = StatementKind::kRead;
  // The statement as the caller wrote it; reads, writes and commits go to a server unchanged.
  std::string text;
  // Name of the session value or of the prepared statement.
  std::string name;
  // The session value, the shape of a prepared statement, or the arguments of an execution.
  std::string value;
  // What a prepared statement does.
  Access access = Access::kRead;
};

// A statement that a caller prepared under a name of its own.
struct PreparedStatement {
  Access access = Access::kRead;
  std::string shape;

  auto operator<=>(const PreparedStatement&) const = default;
};

using SessionValues = std::map<std::string, std::string>;

// Why a statement was not answered with success.
enum class StatementError {
  // Promises: nothing of the caller's attempt is kept.
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMoved,
  kConnectionLimit,
  // The statement may have run.
  kInDoubt,
  kTimeout,
  kFailed,
  // The statement cannot run as it was sent.
  kMalformed,
  kUnknownStatement,
  kUnknownDatabase,
  // A code that this program does not know; handled as kFailed.
  kUnrecognized,
};

// Lower-case name of `error` for logs and metrics. Thread safe.
std::string_view ToString(StatementError error);

// Whether `error` tells the caller that nothing of its attempt is kept. Thread safe.
bool IsPromise(StatementError error);

// Whether a server that answers `error` did not run the statement. Thread safe.
bool MeansNotRun(StatementError error);

enum class SessionState { kIdle, kInTransaction, kFailed };

struct ReplyError {
  StatementError code = StatementError::kFailed;
  std::string text;
};

// The complete answer to one statement.
struct Reply {
  std::vector<std::string> rows;
  // The server's signature; "-" for what the proxy answers by itself.
  std::string signature = "-";
  std::optional<ReplyError> error;
  SessionState state = SessionState::kIdle;
  // The server's log position after the statement.
  std::optional<Position> position;

  bool ok() const { return !error.has_value(); }
};

// A reply that carries no rows and no error. Thread safe.
Reply LocalReply(SessionState state);
// A reply with an error. Thread safe.
Reply ErrorReply(StatementError code, std::string text, SessionState state);

}  // namespace cardamom
