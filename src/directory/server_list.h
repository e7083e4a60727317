// The list of database servers, kept complete across outages of the store that holds it.
#pragma once

#include <map>
#include <vector>

#include "core/clock.h"
#include "directory/endpoint_entry.h"

namespace cardamom {

// Entries expire while the store is unavailable and reappear shortly after it recovers; until then
// a missing entry does not mean that the server is gone. A reader of the list may not notice the
// outage, so an entry that disappears without having been marked as leaving is always retained for
// the retention time. Performs no I/O: the time is passed in. Not thread safe.
class ServerList {
 public:
  // `retention`: how long an entry is retained after it disappeared, and how long all missing
  // entries are retained after the store has recovered.
  explicit ServerList(Duration retention) : m_retention(retention) {}

  // Records that a call to the store was not answered.
  void OnStoreFailure() { m_store_failing = true; }

  // Replaces the list by the entries that the store holds now.
  void OnEntries(const std::vector<EndpointEntry>& entries, TimePoint now);

  // Whether missing entries are retained. OnEntries should then be called again after the retention
  // time, so that they can be dropped.
  bool HasRetainedEntries() const { return !m_retained.empty(); }

  // All servers to use: the listed ones and then the retained ones, each sorted by id.
  std::vector<EndpointEntry> Entries() const;

 private:
  const Duration m_retention;
  bool m_store_failing = false;
  TimePoint m_store_recovered_at;
  bool m_has_store_recovered = false;
  std::map<EndpointId, EndpointEntry> m_entries;
  struct RetainedEntry {
    EndpointEntry entry;
    TimePoint since;
  };
  // Entries that the store no longer lists, retained for now.
  std::map<EndpointId, RetainedEntry> m_retained;
};

}  // namespace cardamom
