// Messages of the endpoint contract (docs/ENDPOINT-CONTRACT.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// One statement with positional parameters.
struct SqlStatement {
  std::string sql;
  boost::json::array params;
};
BOOST_DESCRIBE_STRUCT(SqlStatement, (), (sql, params))

// The rows that a statement returned and the number of rows that it changed.
struct StatementResult {
  std::vector<std::string> columns;
  std::vector<boost::json::array> rows;
  std::int64_t affected = 0;
};
BOOST_DESCRIBE_STRUCT(StatementResult, (), (columns, rows, affected))

// A refusal or failure that a server reports; `code` is a ResultCode.
struct ServerError {
  int code = 0;
  std::string detail;
  Term term;
  Position applied;
};
BOOST_DESCRIBE_STRUCT(ServerError, (), (code, detail, term, applied))

// The state that a server reports. `fenced` is the lowest term that it accepts; `lineage` is the
// term of the primary whose log it follows, and `start` the index of the first entry of that term.
// `last` is the last entry of its log, `held` its index, and `applied` the last entry that reads
// see.
struct ServerState {
  EndpointId endpoint;
  std::string instance;
  Term fenced;
  Term lineage;
  bool is_primary = false;
  Position last;
  LogIndex held;
  LogIndex applied;
  LogIndex start;
  std::string primary_address;
  std::uint64_t primary_contact_age_ms = 0;
  // The note (see TermNote) of the proxy that promoted the primary of the lineage, stored with the
  // first entry of the lineage.
  std::string note;
  std::uint32_t connections = 0;
  std::uint32_t open_transactions = 0;
};
BOOST_DESCRIBE_STRUCT(ServerState,
                      (),
                      (endpoint,
                       instance,
                       fenced,
                       lineage,
                       is_primary,
                       last,
                       held,
                       applied,
                       start,
                       primary_address,
                       primary_contact_age_ms,
                       note,
                       connections,
                       open_transactions))

// POST /v1/state. Answered once `held`, `applied` or `fenced` differs from the values given here,
// at the latest after `wait_ms`.
struct StateRequest {
  LogIndex seen_held;
  LogIndex seen_applied;
  Term seen_fenced;
  // A replica also answers once it has had no contact with its primary for this long; 0 disables
  // this.
  std::uint32_t contact_limit_ms = 0;
  std::uint32_t wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(StateRequest,
                      (),
                      (seen_held, seen_applied, seen_fenced, contact_limit_ms, wait_ms))

// POST /v1/read. Refused with kServerBehind when `need` is not applied within `wait_ms`.
struct ReadRequest {
  SqlStatement statement;
  Position need;
  std::uint32_t wait_ms = 0;
  // The read is refused unless this server is primary of this term; 0 disables the check.
  Term as_primary_of;
};
BOOST_DESCRIBE_STRUCT(ReadRequest, (), (statement, need, wait_ms, as_primary_of))

struct ReadAnswer {
  StatementResult result;
  Position position;
  EndpointId endpoint;
};
BOOST_DESCRIBE_STRUCT(ReadAnswer, (), (result, position, endpoint))

// POST /v1/write, and POST /v1/commit with an empty statement. The key is stored in the same
// database transaction as the effect. `fingerprint` identifies the work: a key that is stored
// with another fingerprint is refused with kKeyConflict.
struct WriteRequest {
  Term term;
  IdempotencyKey key;
  std::string fingerprint;
  SqlStatement statement;
  std::uint32_t wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(WriteRequest, (), (term, key, fingerprint, statement, wait_ms))

struct WriteAnswer {
  StatementResult result;
  Position position;
  // An earlier request stored the key; `result` is the stored result.
  bool replayed = false;
};
BOOST_DESCRIBE_STRUCT(WriteAnswer, (), (result, position, replayed))

// POST /v1/key. Looks up the stored result of an idempotency key.
struct KeyRequest {
  Term term;
  IdempotencyKey key;
};
BOOST_DESCRIBE_STRUCT(KeyRequest, (), (term, key))

struct KeyAnswer {
  bool found = false;
  std::string fingerprint;
  StatementResult result;
  Position position;
};
BOOST_DESCRIBE_STRUCT(KeyAnswer, (), (found, fingerprint, result, position))

// POST /v1/begin, /v1/execute, /v1/rollback; the transaction belongs to the connection.
struct TransactionRequest {
  Term term;
  SqlStatement statement;
  std::uint32_t wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(TransactionRequest, (), (term, statement, wait_ms))

// POST /v1/fence. The server refuses lower terms from now on and is no longer primary.
struct FenceRequest {
  Term term;
};
BOOST_DESCRIBE_STRUCT(FenceRequest, (), (term))

// POST /v1/promote. Refused unless the server is fenced at `term` and its last entry is `last`.
struct PromoteRequest {
  Term term;
  Position last;
  std::string note;
};
BOOST_DESCRIBE_STRUCT(PromoteRequest, (), (term, last, note))

// POST /v1/follow. Follows the log of the primary at `address`, or with `copy_until` only copies
// the log of a fenced server up to that position.
struct FollowRequest {
  Term term;
  std::string address;
  std::optional<Position> copy_until;
};
BOOST_DESCRIBE_STRUCT(FollowRequest, (), (term, address, copy_until))

// One entry of the log.
struct LogEntry {
  Term term;
  std::string note;
  IdempotencyKey key;
  std::string fingerprint;
  std::vector<SqlStatement> statements;
  std::string result;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (term, note, key, fingerprint, statements, result))

// POST /v1/log, sent between servers. The answer holds the entries after `after`, or reports a
// mismatch if the log has no entry there or one with another term.
struct LogRequest {
  EndpointId from;
  Term term;
  Position after;
  std::uint32_t limit = 0;
  std::uint32_t wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(LogRequest, (), (from, term, after, limit, wait_ms))

struct LogAnswer {
  bool mismatch = false;
  // With `mismatch`: the index to ask for next.
  LogIndex hint;
  LogIndex start;
  std::string note;
  std::vector<LogEntry> entries;
};
BOOST_DESCRIBE_STRUCT(LogAnswer, (), (mismatch, hint, start, note, entries))

}  // namespace cardamom
