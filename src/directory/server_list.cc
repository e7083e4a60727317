#include "directory/server_list.h"

#include <utility>

namespace cardamom {

void ServerList::OnEntries(const std::vector<EndpointEntry>& entries, TimePoint now) {
  if (m_store_failing) {
    m_store_failing = false;
    m_has_returned = true;
    m_returned_at = now;
  }
  const bool returning = m_has_returned && now - m_returned_at < m_return_time;
  const auto before = std::move(m_entries);
  m_entries.clear();
  for (const auto& entry : entries) {
    m_entries[entry.id] = entry;
    m_missing.erase(entry.id);
  }
  for (const auto& [id, entry] : before) {
    if (!m_entries.contains(id)) {
      m_missing.try_emplace(id, Missing{entry, now});
    }
  }
  std::erase_if(m_missing, [&](const auto& item) {
    const auto& missing = item.second;
    const bool young = !missing.entry.leaving && now - missing.since < m_return_time;
    return !returning && !young;
  });
}

std::vector<EndpointEntry> ServerList::Entries() const {
  std::vector<EndpointEntry> all;
  for (const auto& [id, entry] : m_entries) {
    all.push_back(entry);
  }
  for (const auto& [id, missing] : m_missing) {
    all.push_back(missing.entry);
  }
  return all;
}

}  // namespace cardamom
