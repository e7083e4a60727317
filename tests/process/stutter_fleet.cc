#include "stutter_fleet.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <fmt/format.h>
#include <boost/json.hpp>

#include "core/random_id.h"
#include "crowd_gateway.h"

namespace cardamom::stutter {
namespace {

constexpr Millis kStartTimeout{20'000};
constexpr Millis kReplyTimeout{2000};
constexpr Millis kRetryDelay{50};
constexpr std::size_t kServers = 3;
constexpr std::size_t kAddresses = 4;

constexpr const char* kRoutes =
    R"({{"version":1,"routes":[)"
    R"({{"host":"db0","service":"g0","kind":"primary","timeout_ms":3000}},)"
    R"({{"host":"db1","service":"g1","kind":"read_your_writes","max_staleness_ms":500,)"
    R"("timeout_ms":3000}}],)"
    R"("services":[{{"name":"g0","max_conns":{0},"sync_replicas":1}},)"
    R"({{"name":"g1","max_conns":{0},"sync_replicas":1}}],"limits":{{"tx_idle_ms":5000}}}})";

// Whether a session on the gateway gets any answer to a read.
bool Answers(const Address& gateway, const std::string& database) {
  LineSocket socket(gateway);
  if (!socket.Send(fmt::format("CONNECT {} probe\r\n", database)) ||
      !socket.ReadLine(kReplyTimeout) || !socket.Send("QUERY probe FETCH item\r\n")) {
    return false;
  }
  while (const auto line = socket.ReadLine(kReplyTimeout)) {
    if (line->rfind("COMPLETE ", 0) == 0) {
      return true;
    }
  }
  return false;
}

// The last part of each log, which says why a gateway has ended.
std::string LogTails(const std::vector<std::string>& paths) {
  constexpr std::size_t kTailBytes = 1000;
  std::string tails;
  for (const auto& path : paths) {
    std::ifstream log(path);
    const std::string text{std::istreambuf_iterator<char>(log), {}};
    tails += text.substr(text.size() - std::min(text.size(), kTailBytes)) + "\n";
  }
  return tails;
}

}  // namespace

Fleet::Fleet(const FleetOptions& options, Journal& journal) {
  journal.OnSent({"probe", "FETCH item"});
  m_store.Put("op", "config", fmt::format(kRoutes, options.max_connections));
  for (const auto* name : {"g0", "g1"}) {
    m_groups.push_back(std::make_unique<Group>(name, kServers, options.faults,
                                               options.max_connections,
                                               options.seed * 101 + m_groups.size(), journal));
    RegisterServers(*m_groups.back());
  }
  HttpServerOptions http;
  http.listen_address = Address{"127.0.0.1", 0};
  auto orders = HttpServer::Create(
      m_context, http,
      {[this](HttpRequest request) { return Promote(std::move(request)); }, {}, {}});
  if (!orders) {
    throw std::runtime_error(orders.error().detail);
  }
  m_orders = std::move(*orders);
  m_thread = std::thread([this] { m_context.run(); });
  try {
    StartGateways(options);
  } catch (...) {
    Stop();
    throw;
  }
}

Fleet::~Fleet() {
  Stop();
}

void Fleet::StartGateways(const FleetOptions& options) {
  for (std::size_t i = 0; i < options.gateways; ++i) {
    StartGateway(i, options);
  }
  for (const auto& gateway : m_sessions) {
    for (const auto& database : databases()) {
      const auto deadline = Clock::now() + kStartTimeout;
      while (!Answers(gateway, database)) {
        if (Clock::now() > deadline) {
          const char* state = AllRun() ? "all run" : "one has ended";
          throw std::runtime_error(
              fmt::format("a gateway does not answer, {}; the last of each log:\n{}", state,
                          LogTails(m_log_paths)));
        }
        std::this_thread::sleep_for(kRetryDelay);
      }
    }
  }
}

void Fleet::Stop() {
  m_gateways.clear();
  for (const auto& path : m_log_paths) {
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
  }
  m_context.stop();
  m_thread.join();
}

bool Fleet::AllRun() {
  return std::all_of(m_gateways.begin(), m_gateways.end(),
                     [](const auto& gateway) { return !gateway->Wait(Millis(0)).has_value(); });
}

void Fleet::RegisterServers(Group& group) {
  for (const auto& server : group.servers()) {
    m_store.Put("servers", server->id(),
                fmt::format(R"({{"service":"{}","address":"{}","zone":"d","slots":16,"seq":{},)"
                            R"("version":"1","cold_left_ms":0,"state":"ready","db_role":"{}"}})",
                            group.name(), server->address().ToString(), group.term(),
                            group.IsPrimary(server->id()) ? "primary" : "replica"));
  }
}

boost::asio::awaitable<HttpResponse> Fleet::Promote(HttpRequest request) {
  const auto body = boost::json::parse(request.body);
  const auto name = std::string(body.at("service").as_string());
  const auto id = std::string(body.at("id").as_string());
  HttpResponse response;
  response.status = 409;
  response.body = "{}";
  for (const auto& group : m_groups) {
    if (group->name() == name && group->Promote(id)) {
      ++m_promotions;
      RegisterServers(*group);
      response.status = 200;
    }
  }
  co_return response;
}

void Fleet::StartGateway(std::size_t number, const FleetOptions& options) {
  const auto addresses = FreeAddresses(kAddresses);
  const std::vector<std::string> arguments = {"gateway",
                                              "--vm-id",
                                              fmt::format("vm{}", number),
                                              "--domain",
                                              "d",
                                              "--store",
                                              m_store.address().ToString(),
                                              "--orders",
                                              m_orders->address().ToString(),
                                              "--listen-sessions",
                                              addresses[0].ToString(),
                                              "--listen-ready",
                                              addresses[1].ToString(),
                                              "--listen-peers",
                                              addresses[2].ToString(),
                                              "--listen-metrics",
                                              addresses[3].ToString(),
                                              "--direct-vms",
                                              std::to_string(options.direct_gateways)};
  m_log_paths.push_back(
      (std::filesystem::temp_directory_path() / ("gateway-" + RandomId())).string());
  m_gateways.push_back(
      std::make_unique<Process>(ProgramDirectory() + "/cardamomd", arguments, m_log_paths.back()));
  m_sessions.push_back(addresses[0]);
}

}  // namespace cardamom::stutter
