// Statements of a caller's session and their replies, independent of any protocol.
//
// Thread safety: all types here are values; distinct objects may be used from distinct threads.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamom/strong.h"

namespace cardamom {

class MemoryCharge;

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
  // The session value, the shape (text) of a prepared statement, or the arguments of an execution.
  std::string value;
  // Whether a prepared statement reads or writes.
  Access access = Access::kRead;
};

// A statement that a caller has prepared, without the caller's name for it.
struct PreparedStatement {
  Access access = Access::kRead;
  std::string shape;

  auto operator<=>(const PreparedStatement&) const = default;
};

using SessionValues = std::map<std::string, std::string>;

// Why a statement did not succeed.
enum class StatementError {
  // These guarantee that nothing of the caller's attempt took effect.
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
  // A code that this program does not define; handled as kFailed.
  kUnrecognized,
  // The caller's key is unknown or was withdrawn; nothing ran.
  kDenied,
};

// Lower-case name of `error` for logs and metrics. Thread safe.
std::string_view ToString(StatementError error);

// Whether `error` guarantees the caller that nothing of its attempt took effect. Thread safe.
bool GuaranteesNoEffect(StatementError error);

// Whether `error`, answered by a server, guarantees that it did not run the statement. Thread safe.
bool GuaranteesNotRun(StatementError error);

enum class SessionState { kIdle, kInTransaction, kFailed };

struct ReplyError {
  StatementError code = StatementError::kFailed;
  std::string text;
};

// The complete answer to one statement.
struct Reply {
  std::vector<std::string> rows;
  // The server's signature; "-" for a reply of the proxy itself.
  std::string signature = "-";
  std::optional<ReplyError> error;
  SessionState state = SessionState::kIdle;
  // The server's log position after the statement.
  std::optional<Position> position;
  // The memory of the rows, if an account is kept.
  std::shared_ptr<MemoryCharge> charge;

  bool ok() const { return !error.has_value(); }
};

// Returns a reply without rows and error. Thread safe.
Reply EmptyReply(SessionState state);
// Returns a reply with an error. Thread safe.
Reply ErrorReply(StatementError code, std::string text, SessionState state);

}  // namespace cardamom
