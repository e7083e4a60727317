// Builds the requests that carry one statement to a server, with what the link lacks in front.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "directory/configuration.h"
#include "pool/link_pool.h"
#include "statement/endpoint_link.h"

namespace cardamom {

// The state of a caller's session that statements depend on. A value type.
struct CallerState {
  SessionValues values;
  std::map<std::string, PreparedStatement> prepared;
  // The session's last own commit, and the group it belongs to.
  std::optional<Position> committed;
  GroupId committed_in;
};

// Requests sent in one write. A value type.
struct StatementBatch {
  std::vector<EndpointRequest> requests;
  // Index of the opening of a transaction, if the batch has one.
  std::optional<std::size_t> begin_at;
  // Index of the caller's statement, if the batch has one.
  std::optional<std::size_t> main_at;
  // What the link holds once the batch was answered.
  SessionValues values_after;
  std::set<PreparedStatement> prepared_after;
};

// The statement itself, as it goes to a server. Pure and thread safe.
EndpointRequest ToRequest(const Statement& statement, const CallerState& caller);

// What the statement does: executions do what was prepared. Pure and thread safe.
Access AccessOf(const Statement& statement, const CallerState& caller);

// Requests that give `link` the session's values and the prepared statement that `statement`, if
// any, executes. Within a transaction nothing is cleared. Pure and thread safe.
StatementBatch StartBatch(const PooledLink& link,
                          const CallerState& caller,
                          const Statement* statement,
                          bool in_transaction);

// Notes on `link` what `batch` left there. Returns false if a part of the batch before the caller's
// statement failed; the link must be closed then. Thread safe for distinct links.
bool ApplyBatch(const StatementBatch& batch, const BatchReply& answer, PooledLink& link);

}  // namespace cardamom
