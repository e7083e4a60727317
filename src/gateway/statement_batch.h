// Builds the requests that send one statement to a server, preceded by those that set the session
// values and prepared statement that the link does not have yet.
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
  // Position of the session's last commit, and the group in which it was made.
  std::optional<Position> committed;
  GroupId committed_in;
};

// Requests sent in one write. A value type.
struct StatementBatch {
  std::vector<EndpointRequest> requests;
  // Index in `requests` of the request that opens a transaction, if any.
  std::optional<std::size_t> begin_index;
  // Index in `requests` of the caller's statement, if any.
  std::optional<std::size_t> statement_index;
  // Session values of the link after all setup requests have succeeded.
  SessionValues values_after;
  // The setup requests set or clear session values.
  bool changes_values = false;
  // The setup requests clear the link's prepared statements, and prepare this one.
  bool clears_prepared = false;
  std::optional<PreparedStatement> prepares;
  // The link's name for the prepared statement that the caller's statement executes.
  std::string prepared_name;
  // The transaction has prepared as many statements as a link may hold. The batch must not be sent.
  bool exceeds_names = false;
};

// The request that sends `statement` itself to a server, after the setup requests of `batch`. Pure
// and thread safe.
EndpointRequest ToRequest(const Statement& statement,
                          const CallerState& caller,
                          const StatementBatch& batch);

// Whether `statement` reads or writes. An execution has the access of the prepared statement. Pure
// and thread safe.
Access AccessOf(const Statement& statement, const CallerState& caller);

// The setup requests that give `link` the session's values and the prepared statement that
// `statement` executes; `statement` may be null. If the link has a value that the session does not
// have, or no room for another prepared statement, all its values and prepared statements are
// discarded first, except within a transaction. Before a transaction (`statement` is null), room is
// made for half of the names that a link may hold. Pure and thread safe.
StatementBatch BuildSetupBatch(const PooledLink& link,
                               const CallerState& caller,
                               const Statement* statement,
                               bool in_transaction);

// Records on `link` the values and prepared statements that `batch` set there. Returns false if a
// setup request, which precedes the begin and the caller's statement, failed; the link must be
// closed then. Thread safe for distinct links.
bool UpdateLinkState(const StatementBatch& batch, const BatchReply& answer, PooledLink& link);

}  // namespace cardamom
