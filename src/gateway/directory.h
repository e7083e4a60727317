// Follows the configuration and the list of servers in the platform's store.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "async/notifier.h"
#include "directory/configuration.h"
#include "directory/server_list.h"
#include "directory/table_follower.h"
#include "directory/table_port.h"
#include "fleet/fleet.h"
#include "gateway/group_client.h"

namespace cardamom {

// How the operator's and the servers' rows are written. Hooks return nothing for text that cannot
// be read.
struct DirectoryDecoders {
  std::string configuration_table;
  std::string configuration_key;
  std::string servers_table;
  std::function<std::optional<Configuration>(std::string_view text)> configuration;
  std::function<std::optional<EndpointEntry>(std::string_view id, std::string_view text)> server;
};

// For whom a group is opened.
enum class GroupUser {
  // A caller of this proxy, which does not know the homes yet.
  kCaller,
  // Another proxy that takes this one for a home, and will ask again.
  kPeer,
};

// Not thread safe: all use is on the thread of the context.
class Directory {
 public:
  // `table` reaches the store; `followed` may be served by a relay. `fleet` outlives the directory.
  Directory(GatewayContext& context,
            TablePort table,
            TablePort followed,
            DirectoryDecoders decoders,
            Fleet& fleet);

  void Start();
  void Stop();

  // Reads the list of servers now, from the store itself. Returns false if the store does not
  // answer.
  asio::awaitable<bool> RefreshServers();

  // A call to the store that the directory did not make was not answered. A feed notices an outage
  // only when its wait is over.
  void NoteStoreFailure() { m_store_failed_at = Clock::now(); }
  // When the list of servers was last in step with the store, if it is not now.
  std::optional<TimePoint> StoreLostAt() const;
  // The store did not answer within the last `span`, or this process is younger than that.
  bool StoreWasAwayWithin(Millis span) const;

  // A configuration and a list of servers are known.
  bool IsKnown() const { return m_configuration.has_value() && m_has_servers; }
  asio::awaitable<bool> WaitUntilKnown(TimePoint deadline);

  // Precondition: IsKnown().
  const Configuration& configuration() const { return *m_configuration; }
  // The route of a database, or nullptr.
  const Route* FindRoute(const DatabaseName& database) const;
  // The settings of a group, or nullptr.
  const GroupSettings* FindSettings(const GroupId& id) const;
  // The group, if this proxy is one of its homes or serves it for others.
  std::shared_ptr<GroupClient> FindGroup(const GroupId& id) const;
  // As FindGroup; a group of which this proxy is no home is served from now on, until CloseUnused
  // finds that nobody needs it any more. Returns nullptr if no configuration names the group.
  std::shared_ptr<GroupClient> OpenGroup(const GroupId& id, GroupUser user);
  // Drops groups that this proxy is no home of, that no peer asked for lately and that have nothing
  // in progress. Precondition: the fleet is settled.
  void CloseUnused();

  TableFollower& configuration_follower() { return m_configuration_rows; }
  TableFollower& servers_follower() { return m_server_rows; }
  const std::map<GroupId, std::shared_ptr<GroupClient>>& groups() const { return m_groups; }

 private:
  void AdoptConfiguration();
  void AdoptServers();
  // Entries that are kept for now are looked at again when their time is over.
  void RecheckServers();
  void UpdateGroups();
  void UpdateGroup(const GroupSettings& settings);
  void OnStore(bool reachable, const std::string& detail);

  GatewayContext& m_context;
  const TablePort m_table;
  const TablePort m_followed;
  const DirectoryDecoders m_decoders;
  Fleet& m_fleet;
  TableFollower m_configuration_rows;
  TableFollower m_server_rows;
  std::optional<Configuration> m_configuration;
  bool m_has_servers = false;
  bool m_store_reachable = true;
  TimePoint m_store_failed_at;
  bool m_rechecking = false;
  bool m_stopped = false;
  ServerList m_servers;
  std::map<std::string, std::uint64_t> m_unreadable;
  std::map<GroupId, std::shared_ptr<GroupClient>> m_groups;
  // When another proxy asked for a group last.
  std::map<GroupId, TimePoint> m_last_asked;
  Notifier m_changed;
};

}  // namespace cardamom
