// The proxies of the system as this one knows them: who is there, and which are homes of a group.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "directory/table_follower.h"
#include "gateway/gateway_context.h"
#include "membership/home_plan.h"
#include "membership/vm_entry.h"

namespace cardamom {

// Every proxy writes a row of its own when it starts and marks it when it stops; a row of a proxy
// that died stays, and who cannot reach it goes to the next home. Nothing that relies on the list
// needs it to be right. Not thread safe: all use is on the thread of the context.
class Fleet {
 public:
  static constexpr const char* kTable = "members";

  // `table` reaches the store.
  Fleet(GatewayContext& context, TablePort table);

  // `followed` may be served by a relay.
  void Start(TablePort followed);
  // Tells the others that this proxy leaves, if the store takes it in time.
  asio::awaitable<void> Leave();

  // Called after each change of the list.
  void set_on_change(std::function<void()> hook) { m_on_change = std::move(hook); }

  const VmEntry& self() const { return m_self; }
  std::vector<VmEntry> vms() const;
  const VmEntry* Find(const std::string& vm) const;

  // The list holds everyone who is known to run: when the whole system starts, proxies enter it one
  // after the other. Until then this proxy takes itself for no home.
  bool IsSettled() const { return m_settled; }

  HomePlan Plan(std::size_t max_connections) const;
  // The homes of a group, those nearest to this proxy first.
  const std::vector<VmEntry>& HomesOf(const GroupId& group, std::size_t max_connections) const;
  bool IsHome(const GroupId& group, std::size_t max_connections) const;
  // Whether this proxy is the first of the group's homes, of which there is one at a time as far as
  // lists agree.
  bool IsFirstHome(const GroupId& group, std::size_t max_connections) const;
  // Whether every proxy of the fleet is a home of such a group.
  bool IsDirect(std::size_t max_connections) const;

  // The relays of this VM's failure domain, best first; those who follow the store for the others.
  std::vector<VmEntry> Relays() const;
  bool IsRelay() const;

  TableFollower& follower() { return m_follower; }

 private:
  struct Homes {
    std::size_t count = 0;
    std::vector<VmEntry> vms;
    bool self = false;
    bool self_first = false;
  };

  // Sees to it that this proxy's row is there, and that it says what is true.
  void RegisterIfNeeded();
  asio::awaitable<void> Register();
  asio::awaitable<void> Settle();
  asio::awaitable<bool> WriteSelf(bool leaving, TimePoint deadline);
  void AdoptRows();
  const Homes& FindHomes(const GroupId& group, std::size_t max_connections) const;
  int DistanceTo(const VmEntry& vm) const;

  GatewayContext& m_context;
  const TablePort m_table;
  VmEntry m_self;
  TableFollower m_follower;
  std::function<void()> m_on_change;
  std::map<std::string, VmEntry> m_vms;
  std::size_t m_domains = 1;
  // Homes by group, until the list changes.
  mutable std::map<GroupId, Homes> m_homes;
  bool m_leaving = false;
  bool m_registering = false;
  bool m_settled = false;
  bool m_was_listed = false;
  TimePoint m_changed_at;
};

}  // namespace cardamom
