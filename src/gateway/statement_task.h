// A statement together with the session state, route and times that determine how it may run.
#pragma once

#include "core/clock.h"
#include "directory/configuration.h"
#include "gateway/statement_batch.h"
#include "statement/statement.h"

namespace cardamom {

// The referenced objects must outlive the call that takes the task.
struct StatementTask {
  const Statement& statement;
  const CallerState& caller;
  Route route;
  // When the statement was read from the caller.
  TimePoint received_at;
  // The allowed staleness of a read is counted back from this time: the arrival of the statement,
  // or of the BEGIN of its transaction.
  BootTime first_byte_at;
  TimePoint deadline;
  // The organisation on whose behalf the statement runs; empty on public routes.
  OrganisationName organisation;
};

}  // namespace cardamom
