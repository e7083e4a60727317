// Several gateways in one process that connect to each other over loopback, in front of an
// in-memory group.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "gateway_fakes.h"
#include "http/http_server.h"

namespace cardamom::testing {

// One proxy of the fleet.
struct FakeVm {
  GatewaySettings settings;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Gateway> gateway;
  // While set, the proxy accepts requests of peers and does not answer them.
  bool frozen = false;
  // The store accepts this proxy's calls to read or follow a table and does not answer them.
  bool store_unresponsive = false;
  // Servers that this proxy cannot reach.
  std::set<EndpointId> unreachable_servers;
  // The store does not answer this proxy's reads of the table of members.
  bool members_unresponsive = false;

  // Events of `code` so far.
  std::vector<Event> Events(EventCode code);
};

// Proxies in front of one group. Rows of servers without a value stand for the entries of the fake
// group; others are decoded as on the platform. If `direct_vms` is below their number, only some of
// them are homes of the group.
class FakeFleet {
 public:
  // Starts `vms` proxies, spread over `domains` failure domains, and waits until all are ready and
  // pass on acknowledgements at once, for at most 5 s.
  FakeFleet(std::size_t vms, std::size_t domains, std::int64_t direct_vms);
  ~FakeFleet();

  // Adds one more proxy and starts it; does not wait until it is ready. `seeds` is the value of its
  // setting of that name.
  FakeVm& Add(const std::string& domain, const std::string& seeds, bool store_unresponsive = false);

  FakeVm& vm(std::size_t index) { return *m_vms[index]; }
  std::size_t size() const { return m_vms.size(); }
  // Returns null if there is no such proxy.
  FakeVm* Find(const std::string& vm_id);
  // Proxies that act as homes, having listed the group's servers, and the other proxies.
  std::vector<FakeVm*> Homes();
  std::vector<FakeVm*> NonHomes();

  // Runs the event loop until `work` has finished, for at most 10 s.
  void Run(std::function<asio::awaitable<void>()> work);
  // Runs the event loop until `condition` holds, for at most `limit`. Returns whether it held.
  bool RunUntil(const std::function<bool()>& condition, Millis limit);
  // Opens a session at `vm`.
  SessionRegistry::OpenResult Open(FakeVm& vm, const std::string& key);
  // Opens a session at `vm` and runs `statements` one after the other.
  std::vector<Reply> Execute(FakeVm& vm, std::vector<Statement> statements);
  // Writes a configuration whose version and statement timeout are given.
  void Configure(std::uint64_t version, Millis timeout);
  // As above, for a database that is not public, with the organisation of each key.
  void Configure(std::uint64_t version,
                 Millis timeout,
                 const std::map<std::string, std::string>& organisation_of_key);

  boost::asio::io_context io;
  // Called before an order is carried out.
  std::function<asio::awaitable<void>()> before_order;
  FakeGroup fake_group{3};
  FakeTable table;
  Millis transaction_idle{3000};

 private:
  GatewayPorts Ports(FakeVm& vm);
  TablePort TableOf(FakeVm& vm);

  const std::int64_t m_direct_vms;
  // The store's clock goes on from FakeTable::now_ms.
  const TimePoint m_started_at = Clock::now();
  std::vector<std::unique_ptr<FakeVm>> m_vms;
};

// The relays of a failure domain.
std::vector<FakeVm*> RelaysOf(FakeFleet& fleet, const std::string& domain);

}  // namespace cardamom::testing
