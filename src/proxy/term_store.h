// Reads and changes a group's term row in the platform's table.
#pragma once

#include <functional>
#include <mutex>

#include "async/notifier.h"
#include "failover/term_row.h"
#include "table/platform_client.h"

namespace cardamom {

// Key of the term row of `group`. Thread safe.
std::string TermRowKey(const GroupId& group);

// Thread safe. The row last read or written stays available while the platform does not answer. If
// the store comes back from an older copy, the next change adds what the row held here shows, so
// that no term is allocated twice and no voter set is lost. Precondition: calling coroutines run on
// a strand.
class TermStore {
 public:
  // `platform` must outlive this object.
  TermStore(PlatformClient& platform, GroupId group);

  // Reads the row, applies `update` and writes the row by compare-and-set; repeats this until the
  // write succeeds, `update` returns false, or the deadline passes. After a lost answer `update`
  // may thus be applied twice; the owner and term of an allocation show this. Errors:
  // kPlatformUnavailable; the change may have taken effect all the same.
  asio::awaitable<Outcome<TermRow>> Update(std::function<bool(TermRow&)> update,
                                           TimePoint deadline);

  // Reads the row from the platform. Errors: kPlatformUnavailable.
  asio::awaitable<Outcome<TermRow>> Refresh(TimePoint deadline);

  // The row as last read or written; empty before that.
  TermRow cached_row() const;

 private:
  struct VersionedRow {
    TermRow row;
    StorePosition position;
  };

  asio::awaitable<Outcome<VersionedRow>> Load(TimePoint deadline);
  // Adds what the cached row shows to a row that was read after the store was restored.
  void MergeCached(VersionedRow& loaded) const;
  // Replaces the cached row unless `loaded` is older.
  void UpdateCache(const VersionedRow& loaded);

  PlatformClient& m_platform;
  const GroupId m_group;
  mutable std::mutex m_mutex;
  VersionedRow m_cached_row;
};

}  // namespace cardamom
