// Messages between proxies: statements forwarded to a home proxy, and rows of the store's tables.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/store_position.h"

namespace cardamom {

// HTTP paths on the address for peers.
inline constexpr const char* kPeerStatementPath = "/v1/peer/statement";
inline constexpr const char* kPeerPingPath = "/v1/peer/ping";
inline constexpr const char* kPeerTablePath = "/v1/peer/table";
inline constexpr const char* kPeerStorePath = "/v1/peer/store";
inline constexpr const char* kPeerHoldPath = "/v1/peer/hold";
inline constexpr const char* kPeerReleasePath = "/v1/peer/release";

// What a home is asked to do with a statement. The numbers are part of the protocol.
enum class PeerOperation : int {
  kRead = 0,
  kWrite = 1,
  // Opens a transaction with its first statement.
  kFirstInTransaction = 2,
  // Runs a later statement of an open transaction.
  kNextInTransaction = 3,
  kCommit = 4,
  kRollback = 5,
};

// POST /v1/peer/statement. Times are durations up to the sending of the message, never times of
// day: `age_us` since the first byte of the statement or of its transaction's BEGIN arrived,
// `spent_ms` since the statement was read. `left_ms` is the time that remains for the statement.
struct PeerStatement {
  int operation = 0;
  std::string from;
  std::string group;
  std::string id;
  int kind = 0;
  std::string text;
  std::string name;
  std::string value;
  int access = 0;
  std::map<std::string, std::string> values;
  // Access and shape of the prepared statement that is executed.
  std::optional<int> prepared_access;
  std::optional<std::string> prepared_shape;
  // Position of the session's last own commit in this group.
  std::optional<Position> committed;
  int consistency = 0;
  std::int64_t max_staleness_ms = 0;
  int priority = 0;
  std::int64_t age_us = 0;
  std::int64_t spent_ms = 0;
  std::int64_t left_ms = 0;
  bool read_only = false;
  // Whether a home that does not reach the primary may wait for it. If not, it reports that at
  // once, since another home may reach the primary.
  bool may_wait = true;
  // Id of an open transaction at this home.
  std::string transaction;
  // The organisation on whose behalf the statement runs; not set if there is none.
  std::optional<std::string> organisation;
};
BOOST_DESCRIBE_STRUCT(PeerStatement,
                      (),
                      (operation,
                       from,
                       group,
                       id,
                       kind,
                       text,
                       name,
                       value,
                       access,
                       values,
                       prepared_access,
                       prepared_shape,
                       committed,
                       consistency,
                       max_staleness_ms,
                       priority,
                       age_us,
                       spent_ms,
                       left_ms,
                       read_only,
                       may_wait,
                       transaction,
                       organisation))

// The answer to a statement.
struct PeerReply {
  // False: the home did not accept the statement, so it did not run.
  bool taken = true;
  // With `taken` false: the home cannot serve the statement now (see CanServe), but another home
  // may.
  bool elsewhere = false;
  std::vector<std::string> rows;
  std::string signature;
  std::optional<int> error;
  std::string error_text;
  int state = 0;
  std::optional<Position> position;
  // Id of the transaction that stays open; empty if none does.
  std::string transaction;
};
BOOST_DESCRIBE_STRUCT(
    PeerReply,
    (),
    (taken, elsewhere, rows, signature, error, error_text, state, position, transaction))

// One row of a followed table; the value may be any bytes.
struct PeerRow {
  std::string key;
  StoreVersion version;
  bool gone = false;
  std::string value_base64;
};
BOOST_DESCRIBE_STRUCT(PeerRow, (), (key, version, gone, value_base64))

// POST kPeerTablePath: asks for the rows of a table, or for its changes after the version `after`.
struct PeerTableRequest {
  std::string table;
  std::optional<StoreVersion> after;
  // Era of `after`; not set by proxies of earlier versions.
  std::optional<StoreEra> era;
  std::int64_t wait_ms = 0;
  // Set by a proxy that is starting: it accepts the rows that the peer has loaded, however old.
  bool any_age = false;
};
BOOST_DESCRIBE_STRUCT(PeerTableRequest, (), (table, after, era, wait_ms, any_age))

struct PeerTableReply {
  std::vector<PeerRow> rows;
  // Not set by proxies of earlier versions.
  std::optional<StoreEra> era;
  StoreVersion version;
  bool history_gone = false;
  // How long before the arrival of the request the store is known to have held these rows; negative
  // if it is known of a later time. Not set if it is not known, and by proxies of earlier versions.
  std::optional<std::int64_t> confirmed_age_us;
};
BOOST_DESCRIBE_STRUCT(PeerTableReply, (), (rows, era, version, history_gone, confirmed_age_us))

// GET kPeerStorePath: whether the peer's list of servers is up to date with the store.
struct PeerStoreReply {
  bool in_step = false;
};
BOOST_DESCRIBE_STRUCT(PeerStoreReply, (), (in_step))

// POST kPeerHoldPath: asks the proxy to hold back acknowledgements of commits of `group`, see
// AcknowledgementHold.
struct PeerHold {
  std::string group;
  std::uint64_t token = 0;
};
BOOST_DESCRIBE_STRUCT(PeerHold, (), (group, token))

struct PeerHoldReply {
  // False: the proxy has seen a greater token.
  bool held = false;
  // See AcknowledgementHold.
  Position passed_on;
  Position log_end;
};
BOOST_DESCRIBE_STRUCT(PeerHoldReply, (), (held, passed_on, log_end))

// POST kPeerReleasePath: ends a hold, see HoldRelease. The answer is empty.
struct PeerRelease {
  std::string group;
  std::uint64_t token = 0;
  Term term;
  std::optional<Position> base;
};
BOOST_DESCRIBE_STRUCT(PeerRelease, (), (group, token, term, base))

}  // namespace cardamom
