// The gateway's interface to the platform: tables of its store, and promotion orders.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "cardamom/error.h"
#include "core/clock.h"
#include "core/store_position.h"

namespace cardamom {

namespace asio = boost::asio;

struct TableRow {
  std::string key;
  std::string value;
  StoreVersion version;
  // The row was removed; set only among changes.
  bool gone = false;
};

// The rows of a table at one position of the store, or the rows that changed after one.
struct TableSnapshot {
  std::vector<TableRow> rows;
  // Position of the whole store when the rows were read.
  StorePosition position;
  // The store's monotonic clock.
  std::int64_t now_ms = 0;
  // The same clock when the first rows were read: later changes of these may be missing. 0 if not
  // known.
  std::int64_t complete_at_ms = 0;
  // A local time at which, or after which, the store held these rows, or the changed rows and the
  // unchanged ones; not set if that is not proven. Ports that do not determine it leave it so.
  std::optional<BootTime> confirmed_at;
  // Only among changes: the requested history is no longer kept, so the whole table must be read.
  bool history_gone = false;
};

struct TableWrite {
  std::string table;
  std::string key;
  // Version that the row must have; 0 if it must not exist; not set for an unconditional write.
  std::optional<StoreVersion> expected;
  // The new value; not set to remove the row.
  std::optional<std::string> value;
};

struct TableWriteResult {
  // False if the row had another version.
  bool applied = false;
  // Era of the store when it handled the write. If it differs from the era in which the expected
  // version was read, the versions are not comparable, and `applied` shows nothing.
  StoreEra era;
};

// Calls to the store. Errors of all calls: kPlatformUnavailable, whose `ran` indicates whether a
// write may have taken effect.
struct TablePort {
  // Reads the whole table.
  std::function<asio::awaitable<Outcome<TableSnapshot>>(std::string table, TimePoint deadline)>
      read;
  // Waits for changes after position `after`, at most `wait`, and returns them.
  std::function<
      asio::awaitable<Outcome<TableSnapshot>>(std::string table, StorePosition after, Millis wait)>
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

// A name that no server has. The platform rejects an order for it, but remembers the order's token.
inline constexpr std::string_view kNoEndpoint = "no-server";

// Orders the platform to make `endpoint` the primary of `group`. Errors: kPlatformUnavailable; with
// Ran::kUnknown the order may be carried out later.
using PromotionOrder = std::function<asio::awaitable<Outcome<OrderResult>>(std::string group,
                                                                           std::string endpoint,
                                                                           std::string holder,
                                                                           std::uint64_t token,
                                                                           TimePoint deadline)>;

}  // namespace cardamom
