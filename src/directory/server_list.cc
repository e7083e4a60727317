#include "directory/server_list.h"

#include <tuple>
#include <utility>

namespace cardamom {
namespace {

// How long the last report of a departed server is remembered: longer than the age of any copy that
// a store is restored from.
constexpr std::chrono::minutes kDepartedMemory{10};

}  // namespace

std::optional<EndpointEntry> ServerList::ResolveCopied(const EndpointEntry& entry) const {
  const auto it = m_known.find(entry.id);
  if (it == m_known.end()) {
    return entry;
  }
  const auto& known = it->second;
  const auto copied = std::tie(entry.started_ms, entry.sequence);
  const auto latest = std::tie(known.entry.started_ms, known.entry.sequence);
  if (copied > latest) {
    return entry;
  }
  return known.departed ? std::nullopt : std::optional(known.entry);
}

bool ServerList::IsFromAnotherWriter(const EndpointEntry& entry) const {
  const auto it = m_known.find(entry.id);
  return entry.started_ms == 0 && it != m_known.end() && it->second.entry.started_ms != 0;
}

void ServerList::RecordKnown(TimePoint now) {
  for (auto& [id, known] : m_known) {
    known.departed = !m_entries.contains(id) && !m_retained.contains(id);
  }
  for (const auto& [id, entry] : m_entries) {
    m_known[id] = {entry, false, now};
  }
  std::erase_if(m_known, [now](const auto& item) {
    return item.second.departed && now - item.second.seen_at > kDepartedMemory;
  });
}

void ServerList::OnEntries(const std::vector<EndpointEntry>& entries,
                           TimePoint now,
                           const std::set<EndpointId>& from_copy) {
  if (m_store_failing) {
    m_store_failing = false;
    m_has_store_recovered = true;
    m_store_recovered_at = now;
  }
  const bool store_recovering = m_has_store_recovered && now - m_store_recovered_at < m_retention;
  const auto before = std::move(m_entries);
  m_entries.clear();
  for (const auto& entry : entries) {
    if (IsFromAnotherWriter(entry)) {
      continue;
    }
    const auto listed = from_copy.contains(entry.id) ? ResolveCopied(entry) : std::optional(entry);
    if (listed) {
      m_entries[entry.id] = *listed;
      m_retained.erase(entry.id);
    }
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
  RecordKnown(now);
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
