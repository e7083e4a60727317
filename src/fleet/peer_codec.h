// Statements and replies as messages between proxies.
#pragma once

#include "fleet/peer_messages.h"
#include "gateway/statement_task.h"

namespace cardamom {

// The message for a statement, without its times. Pure and thread safe.
PeerStatement ToMessage(PeerOperation operation, const GroupId& group, const StatementTask& task);

// A statement as a home received it, with all that a StatementTask refers to. A value type.
struct ReceivedStatement {
  PeerOperation operation = PeerOperation::kRead;
  Statement statement;
  CallerState caller;
  Route route;
  TimePoint received;
  BootTime first_byte;
  TimePoint deadline;

  // Refers to this object.
  StatementTask Task() const { return {statement, caller, route, received, first_byte, deadline}; }
};

// Errors: kBadField for numbers out of range. Pure and thread safe.
Outcome<ReceivedStatement> FromMessage(const PeerStatement& message,
                                       TimePoint now,
                                       BootTime boot_now);

PeerReply ToMessage(const Reply& reply);
Reply FromMessage(PeerReply message);

}  // namespace cardamom
