// Converts statements and replies to messages between proxies and back.
#pragma once

#include <string_view>

#include "fleet/peer_messages.h"
#include "gateway/statement_task.h"

namespace cardamom {

// Parse the bodies of messages between proxies. Their texts and rows are bytes of callers and
// servers, which need not be UTF-8. Errors: kBadJson, kBadField. Pure and thread safe.
Outcome<PeerStatement> DecodeStatement(std::string_view body);
Outcome<PeerReply> DecodeReply(std::string_view body);

// Returns the message for a statement; its times are set when it is sent. Pure and thread safe.
PeerStatement ToMessage(PeerOperation operation, const GroupId& group, const StatementTask& task);

// A statement as a home received it; owns all that a StatementTask refers to. A value type.
struct ReceivedStatement {
  PeerOperation operation = PeerOperation::kRead;
  Statement statement;
  CallerState caller;
  Route route;
  TimePoint received;
  BootTime first_byte_at;
  TimePoint deadline;
  OrganisationName organisation;

  // The task refers to this object, which must outlive it.
  StatementTask ToTask() const {
    return {statement, caller, route, received, first_byte_at, deadline, organisation};
  }
};

// Returns the statement of a message that arrived at `now` and `boot_now`, the same time on both
// clocks. Errors: kBadField for numbers out of range, and for texts that do not fit into a line to
// a server. Pure and thread safe.
Outcome<ReceivedStatement> FromMessage(const PeerStatement& message,
                                       TimePoint now,
                                       BootTime boot_now);

// Pure and thread safe.
PeerReply ToMessage(const Reply& reply);
// An error code or a state that is out of range becomes kUnrecognized or kFailed. Pure and thread
// safe.
Reply FromMessage(PeerReply message);

}  // namespace cardamom
