// The member list of the fleet as this proxy has loaded it, and the assignment of homes to groups.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "directory/table_follower.h"
#include "gateway/gateway_context.h"
#include "membership/home_plan.h"
#include "membership/vm_entry.h"

namespace cardamom {

// Every proxy writes a row of its own to the store when it starts and marks it as leaving when it
// stops. The row of a proxy that crashed stays, and proxies that cannot reach it use the next home.
// The list may be out of date, and every user of it must tolerate that. Not thread safe: all use is
// on the thread of the context.
class Fleet {
 public:
  static constexpr const char* kTableName = "members";

  // `table` accesses the store directly. `context` must outlive the object.
  Fleet(GatewayContext& context, TablePort table);

  // Starts to follow the table of members through `followed`, which may be served by a relay. Must
  // be called at most once. The object must outlive the coroutines that this starts on the context.
  void Start(TablePort followed);
  // Marks this proxy's row as leaving. Tries once, for at most 1 s; a failure is ignored.
  asio::awaitable<void> Leave();

  // Sets the function that is called after each change of the list, and once when the list has
  // settled.
  void set_on_change(std::function<void()> hook) { m_on_change = std::move(hook); }

  // Sets the function that is called after each change of the rows of the table of members, some of
  // which are no members.
  void set_on_rows(std::function<void()> hook) { m_on_rows = std::move(hook); }

  const VmEntry& self() const { return m_self; }
  // All proxies that are not leaving; includes this one unless it is leaving.
  std::vector<VmEntry> vms() const;
  // As vms(), and those that began to leave so recently that their processes may still run.
  std::vector<VmEntry> RunningVms() const;
  // The entry of `vm`, or nullptr. Valid until the list changes.
  const VmEntry* Find(const std::string& vm) const;

  // Whether the list is considered complete. When the whole system starts, proxies add themselves
  // one after the other, so the list settles once it has not changed for kSettleTime. It settles at
  // once if it contains a row that an earlier process of this proxy left, since the fleet is then
  // already running. Until it has settled, this proxy is a home of no group.
  bool IsSettled() const { return m_settled; }
  // Whether an earlier process of this VM was a member, and not leaving, when the list was first
  // read.
  bool was_member_at_start() const { return m_was_member_at_start; }

  // The number of homes of a group whose servers accept `max_connections` each, and of links per
  // home. One home and one link until the list has settled.
  HomePlan Plan(std::size_t max_connections) const;
  // The homes of a group, those nearest to this proxy first. Valid until the list,
  // the silent VMs or `max_connections` change.
  const std::vector<VmEntry>& HomesOf(const GroupId& group, std::size_t max_connections) const;
  // Records whether `vm` answers none of this proxy's requests. While all homes of a group by the
  // list are silent, the next VMs of the ranking that are not silent take their place.
  void SetSilent(const std::string& vm, bool silent);
  bool IsSilent(const std::string& vm) const { return m_silent.contains(vm); }
  bool AreHomesReplaced(const GroupId& group, std::size_t max_connections) const;
  // VMs to try as homes of the group, best first, if all its homes by the list are silent;
  // otherwise none.
  std::vector<VmEntry> ReplacementsFor(const GroupId& group, std::size_t max_connections) const;
  // Whether this proxy is a home of the group.
  bool IsHome(const GroupId& group, std::size_t max_connections) const;
  // Whether this proxy is the first of the group's homes by the list. Exactly one proxy is,
  // provided that all proxies have the same list.
  bool IsFirstHome(const GroupId& group, std::size_t max_connections) const;
  // Whether every proxy of the fleet is a home of a group whose servers accept `max_connections`
  // each.
  bool EveryProxyIsHome(std::size_t max_connections) const;

  // The relays of this VM's failure domain, best first. They read the store on behalf of the other
  // proxies of the domain.
  std::vector<VmEntry> Relays() const;
  // Whether this proxy is a relay of its failure domain, or the domain has none.
  bool IsRelay() const;

  TableFollower& follower() { return m_follower; }
  const TableFollower& follower() const { return m_follower; }

 private:
  struct HomeAssignment {
    std::size_t count = 0;
    std::vector<VmEntry> vms;
    bool is_home = false;
    bool is_first_home = false;
    // All homes by the list are silent.
    bool replaced = false;
  };

  // The time within which a process that has left has ended.
  Millis StopTime() const;
  // Writes this proxy's row if it is missing or differs from m_self.
  void RegisterIfNeeded();
  asio::awaitable<void> Register();
  asio::awaitable<void> WaitUntilSettled();
  asio::awaitable<bool> WriteOwnRow(bool leaving, TimePoint deadline);
  void AdoptRows();
  const HomeAssignment& FindHomes(const GroupId& group, std::size_t max_connections) const;
  int DistanceTo(const VmEntry& vm) const;
  // The VMs of the list that are not silent.
  std::vector<VmEntry> AnsweringVms() const;

  GatewayContext& m_context;
  const TablePort m_table;
  VmEntry m_self;
  TableFollower m_follower;
  std::function<void()> m_on_change;
  std::function<void()> m_on_rows;
  std::map<std::string, VmEntry> m_vms;
  // Proxies whose row showed that they leave, until the row is written anew. A store that was
  // restored from an older copy may show them as members again.
  std::set<std::string> m_left;
  // Members that began to leave or disappeared, with the time when this proxy noticed.
  std::map<std::string, std::pair<VmEntry, TimePoint>> m_departed;
  // VMs that do not answer this proxy.
  std::set<std::string> m_silent;
  std::size_t m_domain_count = 1;
  // Cached homes by group; cleared when the list changes.
  mutable std::map<GroupId, HomeAssignment> m_homes;
  bool m_leaving = false;
  bool m_registering = false;
  bool m_settled = false;
  bool m_had_row_at_start = false;
  bool m_was_member_at_start = false;
  TimePoint m_members_changed_at;
};

}  // namespace cardamom
