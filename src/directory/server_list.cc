#include "directory/server_list.h"

#include <utility>

namespace cardamom {

void ServerList::OnEntries(const std::vector<EndpointEntry>& entries, TimePoint now) {
  if (m_store_failing) {
    m_store_failing = false;
    m_has_store_recovered = true;
    m_store_recovered_at = now;
  }
  const bool store_recovering = m_has_store_recovered && now - m_store_recovered_at < m_retention;
  const auto before = std::move(m_entries);
  m_entries.clear();
  for (const auto& entry : entries) {
    m_entries[entry.id] = entry;
    m_retained.erase(entry.id);
  }
  for (const auto& [id, entry] : before) {
    if (!m_entries.contains(id)) {
      m_retained.try_emplace(id, RetainedEntry{entry, now});
    }
  }
  std::erase_if(m_retained, [&](const auto& item) {
    const auto& missing = item.second;
    const bool within_retention = !missing.entry.leaving && now - missing.since < m_retention;
    return !store_recovering && !within_retention;
  });
}

std::vector<EndpointEntry> ServerList::Entries() const {
  std::vector<EndpointEntry> all;
  for (const auto& [id, entry] : m_entries) {
    all.push_back(entry);
  }
  for (const auto& [id, missing] : m_retained) {
    all.push_back(missing.entry);
  }
  return all;
}

}  // namespace cardamom
