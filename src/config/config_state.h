// The configuration that one proxy currently applies.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cardamom/group_record.h"
#include "core/clock.h"
#include "core/json.h"
#include "core/store_position.h"

namespace cardamom {

// One record as stored in the configuration table.
struct StoredRecord {
  GroupId group;
  // Revision at which the record last changed.
  Revision revision;
  // Identifies the change that wrote the record, so that a lost response can be resolved.
  std::string change_id;
  // JSON text as the operator wrote it.
  std::string record;
};
BOOST_DESCRIBE_STRUCT(StoredRecord, (), (group, revision, change_id, record))

// The whole configuration at one revision.
struct ConfigSnapshot {
  Revision revision;
  std::vector<StoredRecord> records;
  // Era of the store that the snapshot was read in.
  StoreEra era;
};
BOOST_DESCRIBE_STRUCT(ConfigSnapshot, (), (revision, records, era))

// Tracks the snapshot in force, and the latest revision that the proxy has observed.
//
// Performs no I/O: the time is passed in. Not thread safe.
class ConfigState {
 public:
  struct AdoptResult {
    bool adopted = false;
    // Groups whose record cannot be parsed, such as one with an unknown schema version.
    std::vector<GroupId> unreadable_groups;
  };

  // Puts `snapshot` in force if none is in force or its revision is greater than the one in force.
  // If a record cannot be parsed or is one of another group, the group's last parsed record, if
  // any, stays in force.
  AdoptResult Adopt(const ConfigSnapshot& snapshot);

  // Records that the platform, or a peer that follows it, reported `revision` as the latest at time
  // `at`.
  void Confirm(Revision revision, TimePoint at);

  // Records that `revision` exists, observed at `now`.
  void ObserveRevision(Revision revision, TimePoint now);

  // Whether `read`, a snapshot read from the store, shows that the store came back from an older
  // copy that lacks changes in force here.
  bool HasStoreLostChanges(const ConfigSnapshot& read) const {
    return m_adopted && read.era > m_snapshot.era && read.revision < m_snapshot.revision;
  }
  // Records that the store holds the snapshot in force again, in `era`.
  void OnWrittenBack(StoreEra era) { m_snapshot.era = era; }

  Revision revision() const { return m_snapshot.revision; }
  // Greatest revision observed, whether in force or not.
  Revision latest_observed_revision() const { return m_latest_observed_revision; }
  const ConfigSnapshot& snapshot() const { return m_snapshot; }
  const std::map<GroupId, GroupRecord>& records() const { return m_records; }

  // Whether a configuration is in force and a later revision, if any, was first observed at most
  // `limit` ago.
  bool IsCurrent(TimePoint now, Duration limit) const;

  // Whether the configuration may be relied on: it is current, and the latest revision was
  // confirmed within `limit`.
  bool IsFresh(TimePoint now, Duration limit) const;

 private:
  ConfigSnapshot m_snapshot;
  Revision m_latest_observed_revision;
  bool m_adopted = false;
  TimePoint m_confirmed_at;
  // When a revision later than the one in force was first observed.
  TimePoint m_behind_since;
  std::map<GroupId, GroupRecord> m_records;
};

}  // namespace cardamom
