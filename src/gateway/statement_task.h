// A statement together with what decides how it may run.
#pragma once

#include "core/clock.h"
#include "directory/configuration.h"
#include "gateway/statement_batch.h"
#include "statement/statement.h"

namespace cardamom {

// References outlive the call that takes the task.
struct StatementTask {
  const Statement& statement;
  const CallerState& caller;
  Route route;
  // When the statement was read from the caller.
  TimePoint received;
  BootTime first_byte;
  TimePoint deadline;
};

}  // namespace cardamom
