// The gateway's interface to the platform: tables of its store, and promotion orders.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "cardamom/error.h"
#include "core/clock.h"

namespace cardamom {

namespace asio = boost::asio;

struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  // The row was removed; set only among changes.
  bool gone = false;
};

// The rows of a table at one version of the store, or the rows that changed after one.
struct TableSnapshot {
  std::vector<TableRow> rows;
  // Version of the whole store when the rows were read.
  std::uint64_t version = 0;
  // The store's monotonic clock.
  std::int64_t now_ms = 0;
  // Only among changes: the requested history is no longer kept, so the whole table must be read.
  bool history_gone = false;
};

struct TableWrite {
  std::string table;
  std::string key;
  // Version that the row must have; 0 if it must not exist; not set for an unconditional write.
  std::optional<std::uint64_t> expected;
  // The new value; not set to remove the row.
  std::optional<std::string> value;
};

struct TableWriteResult {
  // False if the row had another version.
  bool applied = false;
  std::int64_t now_ms = 0;
};

// Calls to the store. Errors of all calls: kPlatformUnavailable, whose `ran` indicates whether a
// write may have taken effect.
struct TablePort {
  // Reads the whole table.
  std::function<asio::awaitable<Outcome<TableSnapshot>>(std::string table, TimePoint deadline)>
      read;
  // Waits for changes after version `after`, at most `wait`, and returns them.
  std::function<
      asio::awaitable<Outcome<TableSnapshot>>(std::string table, std::uint64_t after, Millis wait)>
      follow;
  // Writes or removes one row.
  std::function<asio::awaitable<Outcome<TableWriteResult>>(TableWrite write, TimePoint deadline)>
      write;
};

enum class OrderResult {
  kAccepted,
  // The platform has seen a greater fencing token, or the server does not run.
  kRejected,
};

// Orders the platform to make `endpoint` the primary of `group`. Errors: kPlatformUnavailable; with
// Ran::kUnknown the order may be carried out later.
using PromotionOrder = std::function<asio::awaitable<Outcome<OrderResult>>(std::string group,
                                                                           std::string endpoint,
                                                                           std::string holder,
                                                                           std::uint64_t token,
                                                                           TimePoint deadline)>;

}  // namespace cardamom
