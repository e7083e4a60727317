// The groups that this proxy serves.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "membership/membership.h"
#include "proxy/group.h"
#include "proxy/steward.h"

namespace cardamom {

// Thread safe. m_mutex is taken before the locks of groups.
class GroupTable {
 public:
  GroupTable(ProxyContext& context,
             Membership& membership,
             PlatformClient& platform,
             Steward::AskPeers ask_peers);

  // Takes the records in force: starts, changes and stops groups.
  void Update(const std::map<GroupId, GroupRecord>& records);

  // The group if this proxy is one of its homes.
  std::shared_ptr<Group> Find(const GroupId& id) const;
  // The record of a group that is in force, home or not.
  std::optional<GroupRecord> RecordOf(const GroupId& id) const;
  std::vector<std::shared_ptr<Group>> All() const;

  void Stop();

 private:
  struct Entry {
    std::shared_ptr<Group> group;
    std::shared_ptr<Steward> steward;
  };

  std::size_t ShareOf(const GroupRecord& record) const;
  bool IsHome(const GroupRecord& record) const;
  // Requires m_mutex.
  void Apply(const GroupRecord& record);

  ProxyContext& m_context;
  Membership& m_membership;
  PlatformClient& m_platform;
  const Steward::AskPeers m_ask_peers;
  mutable std::mutex m_mutex;
  std::map<GroupId, GroupRecord> m_records;
  std::map<GroupId, Entry> m_entries;
};

}  // namespace cardamom
