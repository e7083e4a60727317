// Messages of the caller interface (docs/CALLER-API.md).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "endpoint/endpoint_messages.h"

namespace cardamom {

// Body of POST read, write and statements.
struct CallerStatement {
  std::string sql;
  boost::json::array params;
  // Reads only: greatest age of the data.
  std::optional<std::int64_t> max_age_ms;
};
BOOST_DESCRIBE_STRUCT(CallerStatement, (), (sql, params, max_age_ms))

struct CallerResult {
  std::vector<std::string> columns;
  std::vector<boost::json::array> rows;
  std::int64_t affected = 0;
  // Reads only: the endpoint that answered, and whether it is a replica.
  std::optional<std::string> endpoint;
  std::optional<bool> replica;
  // Writes only: the key was known and this is the stored answer.
  std::optional<bool> replayed;
  // Writes only: the key under which the outcome can be asked for.
  std::optional<std::string> key;
};
BOOST_DESCRIBE_STRUCT(CallerResult, (), (columns, rows, affected, endpoint, replica, replayed, key))

struct TransactionCreated {
  TransactionId transaction;
};
BOOST_DESCRIBE_STRUCT(TransactionCreated, (), (transaction))

// Answer of GET outcomes.
struct OutcomeAnswer {
  // "committed", "aborted" or "none".
  std::string state;
  std::optional<CallerResult> result;
};
BOOST_DESCRIBE_STRUCT(OutcomeAnswer, (), (state, result))

// Problem details (RFC 9457).
struct Problem {
  std::string type = "about:blank";
  std::string title;
  int status = 0;
  std::string detail;
  int code = 0;
  std::string ran;
  // The key of a write whose outcome is unknown.
  std::optional<std::string> key;
};
BOOST_DESCRIBE_STRUCT(Problem, (), (type, title, status, detail, code, ran, key))

}  // namespace cardamom
