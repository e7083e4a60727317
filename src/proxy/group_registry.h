// The database groups that this proxy serves or coordinates.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "membership/membership.h"
#include "proxy/failover_coordinator.h"
#include "proxy/group.h"

namespace cardamom {

// Holds a Group and a failover coordinator for each group of which this proxy is a home (a proxy
// that holds connections to the group, see Membership::HomesOf) or the first-ranked coordinator.
//
// Thread safe. m_mutex is taken before the locks of groups.
class GroupRegistry {
 public:
  // The arguments must outlive this object and the coroutines of its groups.
  GroupRegistry(ProxyContext& context,
                Membership& membership,
                PlatformClient& platform,
                FailoverCoordinator::AskPeersHook ask_peers);

  // Applies the records in effect: starts, updates and stops groups. Call it too when the VM list
  // changed, since homes and coordinators follow from that list.
  void Update(const std::map<GroupId, GroupRecord>& records);

  // Returns the group if this proxy is one of its homes, else null.
  std::shared_ptr<Group> Find(const GroupId& id) const;
  // Returns the record in effect, whether or not this proxy is a home of the group.
  std::optional<GroupRecord> RecordOf(const GroupId& id) const;
  // Every group held here, also those that this proxy only coordinates.
  std::vector<std::shared_ptr<Group>> All() const;

  // Stops every group and its coordinator; does not wait for them.
  void Stop();

 private:
  struct Entry {
    std::shared_ptr<Group> group;
    std::shared_ptr<FailoverCoordinator> coordinator;
  };

  // Connections that this proxy may hold to each endpoint of the group.
  std::size_t ConnectionShareFor(const GroupRecord& record) const;
  // Also true if no VM of the list qualifies as a home.
  bool IsHome(const GroupRecord& record) const;
  // Starts the group or passes it the changed record. Requires m_mutex.
  void StartOrUpdate(const GroupRecord& record);

  ProxyContext& m_context;
  Membership& m_membership;
  PlatformClient& m_platform;
  const FailoverCoordinator::AskPeersHook m_ask_peers;
  mutable std::mutex m_mutex;
  std::map<GroupId, GroupRecord> m_records;
  std::map<GroupId, Entry> m_entries;
};

}  // namespace cardamom
