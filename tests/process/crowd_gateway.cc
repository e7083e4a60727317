#include "crowd_gateway.h"

#include <dirent.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>
#include <boost/asio/ip/tcp.hpp>

#include "bench/cluster/cluster.h"
#include "core/random_id.h"
#include "crowd_clients.h"

namespace cardamom {
namespace {

constexpr Millis kStartTimeout{20'000};
constexpr Millis kReplyTimeout{5000};
constexpr Millis kRetryDelay{100};
constexpr std::size_t kAddresses = 4;
// Ports below the range from which the system takes those of outgoing connections: the connections
// of a gateway could take the port at which the next one is to listen.
constexpr int kFirstPort = 16'000;
constexpr int kLastPort = 32'000;

}  // namespace

std::size_t PeakMemoryMb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes >> 10;
    }
  }
  throw std::runtime_error("the process has ended");
}

std::size_t OpenDescriptors(pid_t pid) {
  DIR* directory = opendir(fmt::format("/proc/{}/fd", pid).c_str());
  if (directory == nullptr) {
    throw std::runtime_error("the process has ended");
  }
  std::size_t entries = 0;
  while (readdir(directory) != nullptr) {
    ++entries;
  }
  closedir(directory);
  // The directory itself and its parent are entries too.
  return entries - 2;
}

std::vector<Address> FreeAddresses(std::size_t count) {
  namespace ip = boost::asio::ip;
  static thread_local std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> port(kFirstPort, kLastPort);
  boost::asio::io_context context;
  std::vector<ip::tcp::acceptor> acceptors;
  std::vector<Address> addresses;
  while (addresses.size() < count) {
    const ip::tcp::endpoint endpoint(ip::address_v4::loopback(),
                                     static_cast<std::uint16_t>(port(random)));
    ip::tcp::acceptor acceptor(context, endpoint.protocol());
    boost::system::error_code ec;
    acceptor.bind(endpoint, ec);
    if (!ec) {
      acceptors.push_back(std::move(acceptor));
      addresses.push_back({"127.0.0.1", endpoint.port()});
    }
  }
  return addresses;
}

std::string ProgramDirectory() {
  const auto directory = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  return std::filesystem::exists(directory / "cardamomd") ? directory.string()
                                                          : directory.parent_path().string();
}

GatewayUnderTest::GatewayUnderTest(std::size_t memory_mb, std::size_t max_files)
    : m_addresses(FreeAddresses(kAddresses)),
      m_log_path((std::filesystem::temp_directory_path() / ("gateway-" + RandomId())).string()) {
  m_store.Put("op", "config",
              R"({"version":1,"routes":[{"host":"db","service":"g","kind":"primary",)"
              R"("timeout_ms":10000}],)"
              R"("services":[{"name":"g","max_conns":60}]})");
  m_store.Put("servers", "g-a",
              fmt::format(R"({{"service":"g","address":"{}","zone":"d","slots":16,"seq":1,)"
                          R"("version":"1","cold_left_ms":0,"state":"ready","db_role":"primary"}})",
                          m_database.address().ToString()));
  const std::vector<std::string> arguments = {"gateway",
                                              "--vm-id",
                                              "vm0",
                                              "--domain",
                                              "d",
                                              "--store",
                                              m_store.address().ToString(),
                                              "--orders",
                                              m_store.address().ToString(),
                                              "--listen-sessions",
                                              sessions().ToString(),
                                              "--listen-ready",
                                              readiness().ToString(),
                                              "--listen-peers",
                                              peers().ToString(),
                                              "--listen-metrics",
                                              metrics().ToString(),
                                              "--memory-mb",
                                              std::to_string(memory_mb),
                                              "--max-files",
                                              std::to_string(max_files)};
  m_process = std::make_unique<Process>(ProgramDirectory() + "/cardamomd", arguments, m_log_path);
  if (!AnswersARequest(kStartTimeout)) {
    throw std::runtime_error("the gateway does not answer, see " + m_log_path);
  }
}

GatewayUnderTest::~GatewayUnderTest() {
  m_process.reset();
  std::error_code ignored;
  std::filesystem::remove(m_log_path, ignored);
}

bool GatewayUnderTest::AnswersARequest(Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    Caller caller(sessions());
    if (!caller.Ask("CONNECT db key", kReplyTimeout).empty() &&
        caller.Ask("QUERY id FETCH item", kReplyTimeout).rfind("DATAROW 1\r\n", 0) == 0) {
      return true;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return false;
}

}  // namespace cardamom
