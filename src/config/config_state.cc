#include "config/config_state.h"

#include <algorithm>
#include <utility>

namespace cardamom {

ConfigState::AdoptResult ConfigState::Adopt(const ConfigSnapshot& snapshot) {
  AdoptResult result;
  m_latest_observed_revision = std::max(m_latest_observed_revision, snapshot.revision);
  if (m_adopted && snapshot.revision <= m_snapshot.revision) {
    return result;
  }
  std::map<GroupId, GroupRecord> records;
  for (const auto& stored : snapshot.records) {
    auto parsed = ParseRecord(stored.record);
    // A record of another group is as malformed as one that cannot be parsed.
    if (parsed.record && parsed.record->group == stored.group) {
      records[stored.group] = std::move(*parsed.record);
      continue;
    }
    result.unreadable_groups.push_back(stored.group);
    const auto last = m_records.find(stored.group);
    if (last != m_records.end()) {
      records[stored.group] = last->second;
    }
  }
  m_records = std::move(records);
  m_snapshot = snapshot;
  m_adopted = true;
  result.adopted = true;
  return result;
}

void ConfigState::ObserveRevision(Revision revision, TimePoint now) {
  if (revision > m_latest_observed_revision) {
    if (m_latest_observed_revision <= m_snapshot.revision) {
      m_behind_since = now;
    }
    m_latest_observed_revision = revision;
  }
}

void ConfigState::Confirm(Revision revision, TimePoint at) {
  ObserveRevision(revision, at);
  m_confirmed_at = std::max(m_confirmed_at, at);
}

bool ConfigState::IsCurrent(TimePoint now, Duration limit) const {
  const bool behind = m_latest_observed_revision > m_snapshot.revision;
  return m_adopted && (!behind || now - m_behind_since <= limit);
}

bool ConfigState::IsFresh(TimePoint now, Duration limit) const {
  return IsCurrent(now, limit) && now - m_confirmed_at <= limit;
}

}  // namespace cardamom
