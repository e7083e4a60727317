#include "config/config_state.h"

#include <algorithm>
#include <utility>

namespace cardamom {

ConfigState::Change ConfigState::Adopt(const ConfigSnapshot& snapshot) {
  Change change;
  m_heard = std::max(m_heard, snapshot.revision);
  if (m_adopted && snapshot.revision <= m_snapshot.revision) {
    return change;
  }
  std::map<GroupId, GroupRecord> records;
  for (const auto& stored : snapshot.records) {
    auto check = ParseRecord(stored.record);
    if (check.record) {
      records[stored.group] = std::move(*check.record);
      continue;
    }
    change.not_understood.push_back(stored.group);
    const auto last = m_records.find(stored.group);
    if (last != m_records.end()) {
      records[stored.group] = last->second;
    }
  }
  m_records = std::move(records);
  m_snapshot = snapshot;
  m_adopted = true;
  change.adopted = true;
  return change;
}

void ConfigState::Confirm(Revision revision, TimePoint now) {
  m_heard = std::max(m_heard, revision);
  m_confirmed = std::max(m_confirmed, now);
}

bool ConfigState::IsFresh(TimePoint now, Duration limit) const {
  return m_adopted && m_heard <= m_snapshot.revision && now - m_confirmed <= limit;
}

}  // namespace cardamom
