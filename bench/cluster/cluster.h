// Starts the stand-ins and the proxies as processes that listen on loopback.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/cluster/process.h"
#include "cardamom/group_record.h"
#include "http/blocking_client.h"
#include "proxy/operations_api.h"
#include "standin/endpoint_faults.h"
#include "table/platform_messages.h"

namespace cardamom {

// Size of a cluster and the simulated costs of its servers.
struct ClusterProfile {
  std::size_t proxies = 2;
  // Servers of each group.
  std::size_t servers_per_group = 3;
  // Maximum number of statements that a server runs at the same time.
  std::size_t slots = 5;
  // Maximum number of connections of a server.
  std::size_t connections = 80;
  // Delay of the first request on a connection.
  int connect_ms = 1;
  // Duration of each statement at a server.
  int service_us = 0;
  // Number of failure domains, which are assigned to proxies and servers in turn.
  std::size_t domains = 3;
  std::uint32_t max_read_age_ms = 1000;
  std::uint32_t home_proxies = 21;
  // Flags that every proxy gets after those set by Cluster.
  std::vector<std::string> extra_proxy_flags;
};

struct ProxyHandle {
  std::unique_ptr<Process> process;
  VmEntry vm;
  Address caller_address;
  Address peer_address;
  Address operations_address;
};

struct EndpointHandle {
  std::unique_ptr<Process> process;
  GroupId group;
  EndpointId id;
  Address address;
};

// Not thread safe, except where stated. The programs are expected in the directory of the running
// program or in its parent directory. The destructor kills the processes and removes their logs,
// unless CARDAMOM_KEEP_LOGS is set. Start-up errors are thrown as std::runtime_error.
class Cluster {
 public:
  // Starts the platform and `profile.proxies` proxies, and publishes the VM list.
  explicit Cluster(ClusterProfile profile);
  ~Cluster();

  // Starts the servers of a group, with the ids `name`-a, `name`-b and so on, and submits its
  // record with the first as the initial primary. Then waits until every proxy is ready and every
  // home proxy of the group has loaded a primary; all proxies must be running and in the VM list.
  // Throws on a timeout.
  void AddGroup(const std::string& name);
  // Starts one more server that no record lists. The reference stays valid.
  EndpointHandle& AddEndpoint(const std::string& group, const std::string& id);
  // Starts one more proxy, which is missing from the VM list until PublishVms is called. The
  // reference stays valid.
  ProxyHandle& AddProxy(const std::string& vm, std::vector<std::string> flags = {});
  // Sends the platform the list of VMs whose proxies have not been killed or waited for. Throws if
  // the platform does not accept it.
  void PublishVms();

  // Proxies keep their index, also after they were killed. Throws if there is no proxy `i`.
  ProxyHandle& proxy(std::size_t i) { return *m_proxies.at(i); }
  // Number of proxies, including those that were killed.
  std::size_t proxy_count() const { return m_proxies.size(); }
  // Throws if no server has that id.
  EndpointHandle& endpoint(const std::string& id);
  std::vector<std::unique_ptr<EndpointHandle>>& endpoints() { return m_endpoints; }
  Address platform_address() const { return m_platform_address; }
  Process& platform_process() { return *m_platform; }

  // The record of a group that AddGroup submitted, or the one that last replaced it. Throws if the
  // group was not added.
  GroupRecord RecordOf(const std::string& group) const;
  // Sends a change of a group record through a proxy. Status 0 of the response means that no
  // response arrived; the body then holds the error.
  HttpResponse SendRecordChange(RecordChangeMessage message, std::size_t proxy = 0);
  // Replaces the record of a group by `record`, at its current revision. Response: as
  // SendRecordChange.
  HttpResponse ReplaceRecord(const GroupRecord& record, std::size_t proxy = 0);

  // Replace all faults of a stand-in; throw if it does not accept them. `json` is an encoded
  // PlatformFaults. Thread safe, but must not run together with AddEndpoint or AddGroup.
  void SetEndpointFaults(const std::string& id, const EndpointFaults& faults);
  void SetPlatformFaults(const std::string& json);
  // The counters of a stand-in server. Throws if it does not respond.
  boost::json::value EndpointStatistics(const std::string& id);

  // An empty status if the proxy does not respond.
  ProxyStatus Status(std::size_t proxy);
  // Polls the status of a proxy until `predicate` holds. Returns false after `timeout`.
  bool WaitForStatus(std::size_t proxy,
                     const std::function<bool(const ProxyStatus&)>& predicate,
                     Millis timeout);
  // The primary that a proxy reports; empty if none.
  std::string PrimaryOf(const std::string& group, std::size_t proxy = 0);

  // The directory of the logs.
  const std::string& log_directory() const { return m_log_directory; }
  const ClusterProfile& profile() const { return m_profile; }

 private:
  std::string ProgramPath(const std::string& name) const;

  const ClusterProfile m_profile;
  std::string m_log_directory;
  std::string m_program_directory;
  std::unique_ptr<Process> m_platform;
  Address m_platform_address;
  std::vector<std::unique_ptr<ProxyHandle>> m_proxies;
  std::vector<std::unique_ptr<EndpointHandle>> m_endpoints;
  std::map<std::string, GroupRecord> m_records;
};

// Sends one request on a new connection. Errors: as BlockingClient::Send. Thread safe.
Outcome<HttpResponse> SendOnce(const Address& address,
                               const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               std::vector<HttpHeader> headers = {},
                               Millis timeout = Millis(10'000));

}  // namespace cardamom
