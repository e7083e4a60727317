// The result of one attempt to run a statement at one server.
#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "statement/statement.h"

namespace cardamom {

// A value type.
struct StatementAttempt {
  enum class Status {
    // `reply` is the server's reply to the statement.
    kAnswered,
    // The statement did not run or had no effect.
    kNotRun,
    // The statement may have run.
    kUnknown,
  };
  Status status = Status::kNotRun;
  Reply reply;
  // The reply may be the copy of an earlier one.
  bool is_ambiguous = false;
  // The server's replies show that the statement may have run outside its transaction.
  bool may_have_run_outside = false;
  std::string reason;
  // When the statement was sent; not set if only requests before it were sent.
  std::optional<TimePoint> sent_at;
  // The greatest position that the server had reported before the statement was sent.
  Position known_before;
  // The server refused the statement because its queue was full.
  bool busy = false;
};

}  // namespace cardamom
