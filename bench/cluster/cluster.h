// Starts stand-ins and proxies as processes on loopback.
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

// Sizes and costs of a user's site.
struct SiteProfile {
  std::size_t proxies = 2;
  std::size_t servers = 3;
  std::size_t slots = 5;
  std::size_t connections = 80;
  int connect_ms = 1;
  int service_us = 0;
  std::size_t domains = 3;
  std::uint32_t max_read_age_ms = 1000;
  std::uint32_t home_proxies = 21;
  // Further flags of every proxy.
  std::vector<std::string> proxy_flags;
};

struct ProxyHandle {
  std::unique_ptr<Process> process;
  VmEntry vm;
  Address callers;
  Address peers;
  Address operations;
};

struct EndpointHandle {
  std::unique_ptr<Process> process;
  GroupId group;
  EndpointId id;
  Address address;
};

// Not thread safe, except where stated. Programs are looked for in the folder of this one.
class Cluster {
 public:
  // Starts the platform and the proxies.
  explicit Cluster(SiteProfile profile);
  ~Cluster();

  // Starts the servers of a group and submits its record, then waits until every proxy knows a
  // primary.
  void AddGroup(const std::string& name);
  // Starts one more server without naming it in a record.
  EndpointHandle& AddEndpoint(const std::string& group, const std::string& id);
  ProxyHandle& AddProxy(const std::string& vm, std::vector<std::string> flags = {});
  // Tells the platform the VMs that live.
  void PublishVms();

  ProxyHandle& proxy(std::size_t i) { return *m_proxies.at(i); }
  std::size_t proxies() const { return m_proxies.size(); }
  EndpointHandle& endpoint(const std::string& id);
  std::vector<std::unique_ptr<EndpointHandle>>& endpoints() { return m_endpoints; }
  Address platform() const { return m_platform_address; }
  Process& platform_process() { return *m_platform; }

  GroupRecord RecordOf(const std::string& group) const;
  // Sends a change through a proxy. Returns the status and body of the answer.
  HttpResponse Change(RecordChangeMessage message, std::size_t proxy = 0);
  // Replaces the record of a group by `record`, at its current revision.
  HttpResponse Replace(const GroupRecord& record, std::size_t proxy = 0);

  // Sets faults. Thread safe.
  void SetEndpointFaults(const std::string& id, const EndpointFaults& faults);
  void SetPlatformFaults(const std::string& json);
  boost::json::value EndpointStatistics(const std::string& id);

  ProxyStatus Status(std::size_t proxy);
  // Polls the status of a proxy until `predicate` holds. Returns whether it did.
  bool WaitForStatus(std::size_t proxy,
                     const std::function<bool(const ProxyStatus&)>& predicate,
                     Millis timeout);
  // The primary that a proxy knows; empty if none.
  std::string PrimaryOf(const std::string& group, std::size_t proxy = 0);

  const std::string& folder() const { return m_folder; }
  const SiteProfile& profile() const { return m_profile; }

 private:
  std::string ProgramPath(const std::string& name) const;

  const SiteProfile m_profile;
  std::string m_folder;
  std::string m_programs;
  std::unique_ptr<Process> m_platform;
  Address m_platform_address;
  std::vector<std::unique_ptr<ProxyHandle>> m_proxies;
  std::vector<std::unique_ptr<EndpointHandle>> m_endpoints;
  std::map<std::string, GroupRecord> m_records;
};

// Sends one request on a connection of its own. Thread safe.
Outcome<HttpResponse> SendOnce(const Address& address,
                               const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               std::vector<HttpHeader> headers = {},
                               Millis timeout = Millis(10'000));

}  // namespace cardamom
