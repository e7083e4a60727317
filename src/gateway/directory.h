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
#include "directory/table_port.h"
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

// Not thread safe: all use is on the thread of the context.
class Directory {
 public:
  Directory(GatewayContext& context, TablePort table, DirectoryDecoders decoders);

  void Start();
  void Stop() { m_stopped = true; }

  // Reads the list of servers now. Returns false if the store does not answer.
  asio::awaitable<bool> RefreshServers();

  // A configuration and a list of servers are known.
  bool IsKnown() const { return m_configuration.has_value() && m_has_servers; }
  asio::awaitable<bool> WaitUntilKnown(TimePoint deadline);

  // Precondition: IsKnown().
  const Configuration& configuration() const { return *m_configuration; }
  // The route of a database, or nullptr.
  const Route* FindRoute(const DatabaseName& database) const;
  std::shared_ptr<GroupClient> FindGroup(const GroupId& id) const;
  const std::map<GroupId, std::shared_ptr<GroupClient>>& groups() const { return m_groups; }

 private:
  asio::awaitable<void> FollowConfiguration();
  asio::awaitable<void> FollowServers();
  void AdoptRows(const std::vector<TableRow>& rows);
  void AdoptServers(const TableSnapshot& snapshot);
  void UpdateGroups();
  void OnStore(bool reachable, const std::string& detail);

  GatewayContext& m_context;
  const TablePort m_table;
  const DirectoryDecoders m_decoders;
  std::optional<Configuration> m_configuration;
  bool m_has_servers = false;
  bool m_store_reachable = true;
  bool m_stopped = false;
  ServerList m_servers;
  std::map<std::string, std::uint64_t> m_unreadable;
  std::map<GroupId, std::shared_ptr<GroupClient>> m_groups;
  Notifier m_changed;
};

}  // namespace cardamom
