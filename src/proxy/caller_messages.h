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
  // Reads only: greatest age of the data that the caller accepts.
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
  // Writes only: whether the key had been used before, and this is its stored result.
  std::optional<bool> replayed;
  // Writes and commits only: the idempotency key by which the outcome can be looked up.
  std::optional<std::string> key;
};
BOOST_DESCRIBE_STRUCT(CallerResult, (), (columns, rows, affected, endpoint, replica, replayed, key))

struct TransactionCreated {
  TransactionId transaction;
};
BOOST_DESCRIBE_STRUCT(TransactionCreated, (), (transaction))

// Body of the response to GET outcomes.
struct OutcomeAnswer {
  // "committed", "aborted" or, if the key is not stored, "none".
  std::string state;
  // Only if `state` is "committed".
  std::optional<CallerResult> result;
};
BOOST_DESCRIBE_STRUCT(OutcomeAnswer, (), (state, result))

// Problem details (RFC 9457).
struct ProblemDetails {
  std::string type = "about:blank";
  std::string title;
  int status = 0;
  std::string detail;
  int code = 0;
  std::string ran;
  // The key of a write whose outcome is unknown.
  std::optional<std::string> key;
};
BOOST_DESCRIBE_STRUCT(ProblemDetails, (), (type, title, status, detail, code, ran, key))

}  // namespace cardamom
