// Gateways in front of servers that repeat answers.
#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bench/cluster/process.h"
#include "crowd_backend.h"
#include "stutter_server.h"

namespace cardamom::stutter {

struct FleetOptions {
  std::size_t gateways = 2;
  // Gateways up to which each has connections of its own.
  std::size_t direct_gateways = 32;
  std::size_t max_connections = 60;
  Faults faults;
  std::uint64_t seed = 1;
};

// Two groups of three servers, the databases `db0` and `db1`, the store and the gateways. Not
// thread safe.
class Fleet {
 public:
  // Returns when every gateway answers. Throws std::runtime_error.
  Fleet(const FleetOptions& options, Journal& journal);
  ~Fleet();

  std::vector<Address> sessions() const { return m_sessions; }
  std::vector<std::string> databases() const { return {"db0", "db1"}; }
  // Promotions that the gateways have ordered. Thread safe.
  std::size_t promotions() const { return m_promotions; }
  // Whether every gateway still runs.
  bool AllRun();

 private:
  boost::asio::awaitable<HttpResponse> Promote(HttpRequest request);
  void RegisterServers(Group& group);
  // Starts them and waits until each answers. Throws std::runtime_error.
  void StartGateways(const FleetOptions& options);
  void Stop();
  void StartGateway(std::size_t number, const FleetOptions& options);

  std::vector<std::unique_ptr<Group>> m_groups;
  CrowdStore m_store;
  std::atomic<std::size_t> m_promotions{0};
  boost::asio::io_context m_context{1};
  std::unique_ptr<HttpServer> m_orders;
  std::thread m_thread;
  std::vector<Address> m_sessions;
  std::vector<std::string> m_log_paths;
  std::vector<std::unique_ptr<Process>> m_gateways;
};

}  // namespace cardamom::stutter
