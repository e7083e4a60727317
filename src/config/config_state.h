// The configuration in force in one proxy.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cardamom/group_record.h"
#include "core/clock.h"
#include "core/json.h"

namespace cardamom {

// One record as the table holds it.
struct StoredRecord {
  GroupId group;
  // Revision at which the record last changed.
  Revision revision;
  // Identifies the change, so that a lost answer can be resolved.
  std::string change_id;
  // The operator's text.
  std::string record;
};
BOOST_DESCRIBE_STRUCT(StoredRecord, (), (group, revision, change_id, record))

// The whole configuration at one revision.
struct ConfigSnapshot {
  Revision revision;
  std::vector<StoredRecord> records;
};
BOOST_DESCRIBE_STRUCT(ConfigSnapshot, (), (revision, records))

// Pure: the time is passed in. Not thread safe.
class ConfigState {
 public:
  struct Change {
    bool adopted = false;
    // Groups whose records have a schema version that this program does not know.
    std::vector<GroupId> not_understood;
  };

  // Puts `snapshot` in force if its revision is greater than the one in force. A record that is not
  // understood leaves the group's last understood one in force.
  Change Adopt(const ConfigSnapshot& snapshot);

  // Notes that the platform, or a peer that follows it, named `revision` as the newest at `at`.
  void Confirm(Revision revision, TimePoint at);

  // Notes that `revision` exists.
  void Hear(Revision revision, TimePoint now);

  Revision revision() const { return m_snapshot.revision; }
  // Greatest revision heard of.
  Revision heard() const { return m_heard; }
  const ConfigSnapshot& snapshot() const { return m_snapshot; }
  const std::map<GroupId, GroupRecord>& records() const { return m_records; }

  // Whether a configuration was adopted and none greater has been known for longer than `limit`.
  bool IsCurrent(TimePoint now, Duration limit) const;

  // Whether the configuration may be relied on: it is current, and was confirmed within `limit`.
  bool IsFresh(TimePoint now, Duration limit) const;

 private:
  ConfigSnapshot m_snapshot;
  Revision m_heard;
  bool m_adopted = false;
  TimePoint m_confirmed;
  // When a greater revision than the one in force was first heard of.
  TimePoint m_behind_since;
  std::map<GroupId, GroupRecord> m_records;
};

}  // namespace cardamom
