// The list of database servers, kept complete across outages of the store that holds it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.h"
#include "directory/endpoint_entry.h"

namespace cardamom {

// Entries expire while the store is unavailable and reappear shortly after it recovers; until then
// a missing entry does not mean that the server is gone. A reader of the list may not notice the
// outage, so an entry that disappears without having been marked as leaving is always retained for
// the retention time. After the store was restored from an older copy, entries of the copy do not
// replace what was known of a server: one that has left does not return, and one that is leaving
// stays so, until it reports anew. Performs no I/O: the time is passed in. Not thread safe.
class ServerList {
 public:
  // `retention`: how long an entry is retained after it disappeared, and how long all missing
  // entries are retained after the store has recovered.
  explicit ServerList(Duration retention) : m_retention(retention) {}

  // Records that a call to the store was not answered.
  void OnStoreFailure() { m_store_failing = true; }

  // Records that the store was restored from an older copy. Missing entries are retained as after a
  // failure, since servers that registered after the copy was taken have to register again.
  void OnStoreRestored() { m_store_failing = true; }

  // Replaces the list by the entries that the store holds now. `from_copy`: entries that may stem
  // from the copy that the store was restored from, and not from the server since.
  void OnEntries(const std::vector<EndpointEntry>& entries,
                 TimePoint now,
                 const std::set<EndpointId>& from_copy = {});

  // Whether missing entries are retained. OnEntries should then be called again after the retention
  // time, so that they can be dropped.
  bool HasRetainedEntries() const { return !m_retained.empty(); }

  // All servers to use: the listed ones and then the retained ones, each sorted by id.
  std::vector<EndpointEntry> Entries() const;

 private:
  // The latest report of a server, also after the server has left the list.
  struct KnownEntry {
    EndpointEntry entry;
    bool departed = false;
    TimePoint seen_at;
  };

  // Whether `entry` is not the server's own: it does not tell the start, which the server has told.
  bool IsFromAnotherWriter(const EndpointEntry& entry) const;
  // The entry to list for `entry` of a copy: itself if it is newer than what was known, what was
  // known otherwise, and nothing if the server has departed.
  std::optional<EndpointEntry> ResolveCopied(const EndpointEntry& entry) const;
  void RecordKnown(TimePoint now);

  const Duration m_retention;
  std::map<EndpointId, KnownEntry> m_known;
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
