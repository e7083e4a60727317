// What the gateway asks of the platform's store.
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
  // The row was removed; only in changes.
  bool gone = false;
};

// The rows of a table at one moment, or its changes since one.
struct TableSnapshot {
  std::vector<TableRow> rows;
  // Version of the whole store at that moment.
  std::uint64_t version = 0;
  // The store's steady clock.
  std::int64_t now_ms = 0;
  // Changes only: the history asked for is no longer kept, so the table has to be read anew.
  bool history_gone = false;
};

struct TableWrite {
  std::string table;
  std::string key;
  // Version that the row must have; 0 if it must not exist; nothing for an unconditional write.
  std::optional<std::uint64_t> expected;
  // Nothing removes the row.
  std::optional<std::string> value;
};

struct TableWriteResult {
  // False if the row had another version.
  bool applied = false;
  std::int64_t now_ms = 0;
};

// Hooks to the store. Errors of all calls: kPlatformUnavailable, whose `ran` says whether a write
// may have taken effect.
struct TablePort {
  std::function<asio::awaitable<Outcome<TableSnapshot>>(std::string table, TimePoint deadline)>
      read;
  // Waits for changes after `after`, at most `wait`.
  std::function<
      asio::awaitable<Outcome<TableSnapshot>>(std::string table, std::uint64_t after, Millis wait)>
      follow;
  std::function<asio::awaitable<Outcome<TableWriteResult>>(TableWrite write, TimePoint deadline)>
      write;
};

enum class OrderResult {
  kAccepted,
  // A greater fencing token was seen, or the server does not run.
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
