// Follows the configuration and the list of database servers in the platform's store.
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
#include "organisation/configuration_proof.h"
#include "organisation/key_check.h"

namespace cardamom {

// Table names and decoders of the operator's configuration row and the servers' rows. The decoders
// return nullopt for text that they cannot parse.
struct DirectoryDecoders {
  std::string configuration_table;
  std::string configuration_key;
  std::string servers_table;
  std::function<std::optional<Configuration>(std::string_view text)> configuration;
  std::function<std::optional<EndpointEntry>(std::string_view id, std::string_view text)> server;
};

// The side on whose behalf a group is opened.
enum class GroupUser {
  // A caller of this proxy. The proxy is a home of the group or has not loaded the homes yet.
  kCaller,
  // Another proxy, which considers this one a home of the group and will send more requests.
  kPeer,
};

// Keeps open the groups of which this proxy is a home, that is, one of the proxies that hold
// connections to the group's servers, and groups opened on request. Not thread safe: all use is on
// the thread of the context.
class Directory {
 public:
  // `table` reads directly from the store; `followed` may be served by a relay, a proxy that reads
  // the store on behalf of its failure domain. `context` and `fleet` must outlive the directory.
  Directory(GatewayContext& context,
            TablePort table,
            TablePort followed,
            DirectoryDecoders decoders,
            Fleet& fleet);

  // Starts following both tables. Call it once.
  void Start();
  // Stops following both tables. Open groups stay open.
  void Stop();

  // Reads the list of servers directly from the store. Returns false if the store does not answer
  // within 1 s.
  asio::awaitable<bool> RefreshServers();

  // Records that the store did not answer a call of another component. The followers detect an
  // outage only when their own pending call times out.
  void RecordStoreFailure() { m_store_failed_at = Clock::now(); }
  // When the list of servers was last up to date, if it is not now; nullopt if it is.
  std::optional<TimePoint> StoreUnavailableSince() const;

  // Era of the store in the latest list of servers.
  StoreEra store_era() const { return m_servers_follower.position().era; }

  // How long ago `era` was first observed; 0 if it has not been yet.
  Duration EraAge(StoreEra era) const {
    return era == store_era() ? Clock::now() - m_servers_follower.era_observed_at()
                              : Duration::zero();
  }

  // Whether a configuration and a list of servers have been loaded.
  bool IsLoaded() const { return m_configuration.has_value() && m_has_servers; }
  // Waits for IsLoaded(). Returns false if it does not hold at `deadline`.
  asio::awaitable<bool> WaitUntilLoaded(TimePoint deadline);

  // Whether the configuration holds organisations, so that callers need keys.
  bool HasOrganisations() const {
    return m_configuration && !m_configuration->organisations.empty();
  }
  // See ConfigurationProof.
  std::optional<BootTime> confirmed_at() const { return m_proof.confirmed_at(); }
  // As TableFollower::confirmed_at for the rows that peers are given: see
  // ReplaceByConfigurationInForce. nullopt if a greater configuration is in force than the rows
  // hold, since peers may hold theirs.
  std::optional<BootTime> RowsConfirmedAt(const TableFollower& table) const;
  // Waits until confirmed_at() is known. Returns false if it is not by `deadline`.
  asio::awaitable<bool> WaitUntilConfirmed(TimePoint deadline);
  // Whether the configuration in force may decide on a statement with a key that was received at
  // `received_at`; see IsRecentEnough.
  bool IsRecentFor(BootTime received_at) const {
    return IsRecentEnough(Millis(m_context.settings.revoke_ms), confirmed_at(), received_at);
  }

  // Applies the configuration among the rows of a peer if its version is greater than that of the
  // one in force. A peer may hold a greater one than a store that was restored from an older copy.
  void OfferConfiguration(const TableSnapshot& snapshot);
  // Replaces the value of the configuration's row in `rows` of the table `table` by the
  // configuration in force, if any.
  void ReplaceByConfigurationInForce(const std::string& table, std::vector<TableRow>& rows) const;

  // Precondition: IsLoaded().
  const Configuration& configuration() const { return *m_configuration; }
  // The route of a database, or nullptr if the configuration has none. The pointer is valid until
  // the next configuration is applied; do not keep it across a co_await.
  const Route* FindRoute(const DatabaseName& database) const;
  // The settings of a group, or nullptr. Valid as long as a route of FindRoute.
  const GroupSettings* FindSettings(const GroupId& id) const;
  // The group if it is open at this proxy, as a home or on request; nullptr otherwise.
  std::shared_ptr<GroupClient> FindGroup(const GroupId& id) const;
  // Returns the group and opens it first if necessary. A group of which this proxy is not a home
  // stays open until CloseUnused finds it unused. Returns nullptr if the configuration does not
  // name the group or IsLoaded() does not hold.
  std::shared_ptr<GroupClient> OpenGroup(const GroupId& id, GroupUser user);
  // Closes the groups of which this proxy is not a home, that no peer has requested within the last
  // 15 s and that have no statement in progress. Precondition: the fleet is settled.
  void CloseUnused();

  TableFollower& configuration_follower() { return m_configuration_follower; }
  TableFollower& servers_follower() { return m_servers_follower; }
  const std::map<GroupId, std::shared_ptr<GroupClient>>& groups() const { return m_groups; }

 private:
  void AdoptConfiguration();
  // The configuration in `row`, or nullopt if it cannot be read or `row` is another one.
  std::optional<Configuration> Decode(const TableRow& row);
  // Applies `configuration`, which stems from `row`, if its version is greater.
  void Apply(std::optional<Configuration> configuration, const TableRow& row);
  void AdoptServers();
  void OnServersRestored();
  // Servers may be missing from the list for now, so no takeover starts.
  void ExpectListChanges();
  // Schedules another AdoptServers after `list_return_ms`, when missing entries may be dropped.
  void RecheckServers();
  void UpdateGroups();
  void UpdateGroup(const GroupSettings& settings);
  // Called after each call of a follower to the store. Emits an event when reachability changes.
  void OnStoreResult(bool reachable, const std::string& detail);

  GatewayContext& m_context;
  const TablePort m_store_port;
  const TablePort m_follow_port;
  const DirectoryDecoders m_decoders;
  Fleet& m_fleet;
  TableFollower m_configuration_follower;
  TableFollower m_servers_follower;
  std::optional<Configuration> m_configuration;
  // The row's value that m_configuration was decoded from.
  std::string m_configuration_text;
  ConfigurationProof m_proof;
  bool m_has_servers = false;
  bool m_store_reachable = true;
  TimePoint m_store_lost_at;
  TimePoint m_store_failed_at;
  bool m_rechecking = false;
  bool m_stopped = false;
  ServerList m_servers;
  // Versions of the server rows that could not be decoded, by key; each is reported once.
  std::map<std::string, StoreVersion> m_unreadable;
  std::map<GroupId, std::shared_ptr<GroupClient>> m_groups;
  // When another proxy last requested a group.
  std::map<GroupId, TimePoint> m_last_peer_request;
  Notifier m_changed;
};

}  // namespace cardamom
