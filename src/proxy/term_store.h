// Reads and changes a group's term row in the platform's table.
#pragma once

#include <functional>
#include <mutex>

#include "async/notifier.h"
#include "failover/term_row.h"
#include "table/platform_client.h"

namespace cardamom {

// Key of the row of `group`.
std::string TermRowKey(const GroupId& group);

// Thread safe. The row last seen stays available while the platform does not answer.
class TermStore {
 public:
  TermStore(PlatformClient& platform, GroupId group);

  // Changes the row by compare-and-set until `change` takes effect, `change` returns false, or the
  // deadline passes. An answer that is lost is resolved by reading the row again: changes are such
  // that applying one twice is seen by its owner and term. Errors: kPlatformUnavailable.
  asio::awaitable<Outcome<TermRow>> Change(std::function<bool(TermRow&)> change,
                                           TimePoint deadline);

  // Reads the row again. Errors: kPlatformUnavailable.
  asio::awaitable<Outcome<TermRow>> Refresh(TimePoint deadline);

  // The row as last seen. Thread safe.
  TermRow cached() const;

 private:
  struct Versioned {
    TermRow row;
    std::uint64_t version = 0;
  };

  asio::awaitable<Outcome<Versioned>> Load(TimePoint deadline);
  void Keep(const Versioned& seen);

  PlatformClient& m_platform;
  const GroupId m_group;
  mutable std::mutex m_mutex;
  Versioned m_seen;
};

}  // namespace cardamom
