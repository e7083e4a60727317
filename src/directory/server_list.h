// The list of database servers, kept right while the store that holds it comes and goes.
#pragma once

#include <map>
#include <vector>

#include "core/clock.h"
#include "directory/endpoint_entry.h"

namespace cardamom {

// Entries lapse while the store is away and come back shortly after its return; until then a
// missing entry says nothing. Who follows the list need not notice that the store was away, so an
// entry that is missing without having announced to leave is always kept for that time. Pure. Not
// thread safe.
class ServerList {
 public:
  // `return_time`: for how long entries may be missing, and how long after the store's return.
  explicit ServerList(Duration return_time) : m_return_time(return_time) {}

  // The store did not answer.
  void OnStoreFailure() { m_store_failing = true; }

  // Takes the entries that the store holds now.
  void OnEntries(const std::vector<EndpointEntry>& entries, TimePoint now);

  // Whether missing entries are being kept; the list should be read again after the return time.
  bool KeepsMissing() const { return !m_missing.empty(); }

  // All servers to be used, by id.
  std::vector<EndpointEntry> Entries() const;

 private:
  const Duration m_return_time;
  bool m_store_failing = false;
  TimePoint m_returned_at;
  bool m_has_returned = false;
  std::map<EndpointId, EndpointEntry> m_entries;
  struct Missing {
    EndpointEntry entry;
    TimePoint since;
  };
  // Entries that the store does not show, kept for now.
  std::map<EndpointId, Missing> m_missing;
};

}  // namespace cardamom
