#include "directory/server_list.h"

#include <utility>

namespace cardamom {

void ServerList::OnEntries(const std::vector<EndpointEntry>& entries, TimePoint now) {
  if (m_store_failing) {
    m_store_failing = false;
    m_has_returned = true;
    m_returned_at = now;
  }
  auto before = std::move(m_entries);
  before.merge(m_missing);
  m_missing.clear();
  m_entries.clear();
  for (const auto& entry : entries) {
    m_entries[entry.id] = entry;
    before.erase(entry.id);
  }
  const bool keeps = m_has_returned && now - m_returned_at < m_return_time;
  if (keeps) {
    m_missing = std::move(before);
  }
}

std::vector<EndpointEntry> ServerList::Entries() const {
  std::vector<EndpointEntry> all;
  for (const auto* part : {&m_entries, &m_missing}) {
    for (const auto& [id, entry] : *part) {
      all.push_back(entry);
    }
  }
  return all;
}

}  // namespace cardamom
