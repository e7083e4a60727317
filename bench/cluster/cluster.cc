#include "bench/cluster/cluster.h"

#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "core/random_id.h"

namespace cardamom {
namespace {

constexpr Millis kStartTimeout{20'000};
constexpr Millis kPollInterval{10};

// The address that follows the word `marker` in the line that a program prints when it listens.
Address FindAddressAfter(const std::string& line, const std::string& marker) {
  std::istringstream line_stream(line);
  for (std::string word; line_stream >> word;) {
    if (word == marker && line_stream >> word) {
      if (const auto address = Address::Parse(word)) {
        return *address;
      }
    }
  }
  throw std::runtime_error("no " + marker + " in '" + line + "'");
}

// Returns the response if its status is 200; throws otherwise.
HttpResponse RequireOk(const Outcome<HttpResponse>& response, const std::string& context) {
  if (!response || response->status != 200) {
    throw std::runtime_error(context + ": " +
                             (response ? response->body : response.error().detail));
  }
  return *response;
}

}  // namespace

Outcome<HttpResponse> SendOnce(const Address& address,
                               const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               std::vector<HttpHeader> headers,
                               Millis timeout) {
  BlockingClient client(address);
  return client.Send(HttpRequest{method, target, std::move(headers), body}, timeout);
}

Cluster::Cluster(ClusterProfile profile) : m_profile(std::move(profile)) {
  m_program_directory = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  if (!std::filesystem::exists(m_program_directory + "/cardamomd")) {
    m_program_directory = std::filesystem::path(m_program_directory).parent_path().string();
  }
  m_log_directory = (std::filesystem::temp_directory_path() / ("cardamom-" + RandomId())).string();
  std::filesystem::create_directories(m_log_directory);
  m_platform =
      std::make_unique<Process>(ProgramPath("standin_platform"), std::vector<std::string>{},
                                m_log_directory + "/platform.log");
  m_platform_address = FindAddressAfter(m_platform->ReadLine(), "listening");
  for (std::size_t i = 0; i < m_profile.proxies; ++i) {
    AddProxy("vm" + std::to_string(i));
  }
  PublishVms();
}

Cluster::~Cluster() {
  m_proxies.clear();
  m_endpoints.clear();
  m_platform.reset();
  // CARDAMOM_KEEP_LOGS keeps the logs so that a failed run can be examined.
  if (std::getenv("CARDAMOM_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_log_directory, ignored);
  }
}

std::string Cluster::ProgramPath(const std::string& name) const {
  return m_program_directory + "/" + name;
}

ProxyHandle& Cluster::AddProxy(const std::string& vm, std::vector<std::string> flags) {
  const auto domain = "domain" + std::to_string(m_proxies.size() % m_profile.domains);
  std::vector<std::string> arguments = {"--vm-id",     vm,
                                        "--domain",    domain,
                                        "--platform",  m_platform_address.ToString(),
                                        "--peer-key",  "peer-key-of-the-tests",
                                        "--token-key", "token-key-of-the-tests"};
  arguments.insert(arguments.end(), m_profile.extra_proxy_flags.begin(),
                   m_profile.extra_proxy_flags.end());
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  auto handle = std::make_unique<ProxyHandle>();
  handle->process = std::make_unique<Process>(ProgramPath("cardamomd"), arguments,
                                              m_log_directory + "/" + vm + ".log");
  const auto line = handle->process->ReadLine();
  handle->caller_address = FindAddressAfter(line, "callers");
  handle->peer_address = FindAddressAfter(line, "peers");
  handle->operations_address = FindAddressAfter(line, "operations");
  handle->vm.id = VmId(vm);
  handle->vm.domain = FailureDomain(domain);
  handle->vm.peer_address = handle->peer_address.ToString();
  handle->vm.operations_address = handle->operations_address.ToString();
  m_proxies.push_back(std::move(handle));
  return *m_proxies.back();
}

void Cluster::PublishVms() {
  VmList list;
  for (const auto& proxy : m_proxies) {
    if (proxy->process->running()) {
      list.vms.push_back(proxy->vm);
    }
  }
  RequireOk(SendOnce(m_platform_address, "POST", "/admin/vms", EncodeJson(list)), "VM list");
}

EndpointHandle& Cluster::AddEndpoint(const std::string& group, const std::string& id) {
  auto handle = std::make_unique<EndpointHandle>();
  handle->group = GroupId(group);
  handle->id = EndpointId(id);
  handle->process = std::make_unique<Process>(
      ProgramPath("standin_endpoint"),
      std::vector<std::string>{"--id", id, "--slots", std::to_string(m_profile.slots),
                               "--connections", std::to_string(m_profile.connections),
                               "--connect-ms", std::to_string(m_profile.connect_ms), "--service-us",
                               std::to_string(m_profile.service_us)},
      m_log_directory + "/" + id + ".log");
  handle->address = FindAddressAfter(handle->process->ReadLine(), "listening");
  m_endpoints.push_back(std::move(handle));
  return *m_endpoints.back();
}

void Cluster::AddGroup(const std::string& name) {
  GroupRecord record;
  record.group = GroupId(name);
  record.slots = static_cast<std::uint32_t>(m_profile.slots);
  record.connections = static_cast<std::uint32_t>(m_profile.connections);
  record.max_read_age_ms = m_profile.max_read_age_ms;
  record.home_proxies = m_profile.home_proxies;
  for (std::size_t i = 0; i < m_profile.servers_per_group; ++i) {
    const auto& endpoint =
        AddEndpoint(name, name + "-" + std::string(1, static_cast<char>('a' + i)));
    record.endpoints.push_back({endpoint.id, endpoint.address.ToString(),
                                FailureDomain("domain" + std::to_string(i % m_profile.domains)),
                                Region(), false});
  }
  record.initial_primary = record.endpoints.front().id;
  m_records[name] = record;
  RecordChangeMessage message;
  message.action = "submit";
  message.group = record.group;
  message.record = FormatRecord(record);
  const auto deadline = Clock::now() + kStartTimeout;
  while (SendRecordChange(message).status != 200) {
    if (Clock::now() > deadline) {
      throw std::runtime_error("the record of " + name + " was not accepted");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  for (std::size_t i = 0; i < m_proxies.size(); ++i) {
    const bool has_primary = WaitForStatus(
        i,
        [&](const ProxyStatus& status) {
          const auto found =
              std::find_if(status.groups.begin(), status.groups.end(),
                           [&](const GroupStatus& group) { return group.group == record.group; });
          const bool is_home = found != status.groups.end();
          return status.ready && status.vms.size() == m_proxies.size() &&
                 (is_home ? found->term != Term() : m_profile.home_proxies < m_proxies.size());
        },
        kStartTimeout);
    if (!has_primary) {
      throw std::runtime_error("proxy " + std::to_string(i) + " did not load a primary of " + name);
    }
  }
}

EndpointHandle& Cluster::endpoint(const std::string& id) {
  for (auto& endpoint : m_endpoints) {
    if (endpoint->id.value() == id) {
      return *endpoint;
    }
  }
  throw std::runtime_error("no endpoint " + id);
}

GroupRecord Cluster::RecordOf(const std::string& group) const {
  return m_records.at(group);
}

HttpResponse Cluster::SendRecordChange(RecordChangeMessage message, std::size_t proxy) {
  const auto response =
      SendOnce(m_proxies.at(proxy)->operations_address, "POST", "/v1/records", EncodeJson(message));
  if (!response) {
    HttpResponse failed;
    failed.status = 0;
    failed.body = response.error().detail;
    return failed;
  }
  return *response;
}

HttpResponse Cluster::ReplaceRecord(const GroupRecord& record, std::size_t proxy) {
  const auto records_response =
      SendOnce(m_proxies.at(proxy)->operations_address, "GET", "/v1/records", "");
  RecordChangeMessage message;
  message.action = "replace";
  message.group = record.group;
  message.record = FormatRecord(record);
  if (records_response) {
    if (const auto snapshot = DecodeJson<ConfigSnapshot>(records_response->body)) {
      for (const auto& stored : snapshot->records) {
        if (stored.group == record.group) {
          message.expected = stored.revision;
        }
      }
    }
  }
  auto response = SendRecordChange(message, proxy);
  if (response.status == 200) {
    m_records[record.group.value()] = record;
  }
  return response;
}

void Cluster::SetEndpointFaults(const std::string& id, const EndpointFaults& faults) {
  RequireOk(SendOnce(endpoint(id).address, "POST", "/admin/faults", EncodeJson(faults)), "faults");
}

void Cluster::SetPlatformFaults(const std::string& json) {
  RequireOk(SendOnce(m_platform_address, "POST", "/admin/faults", json), "faults");
}

boost::json::value Cluster::EndpointStatistics(const std::string& id) {
  return boost::json::parse(
      RequireOk(SendOnce(endpoint(id).address, "GET", "/admin/statistics", ""), "statistics").body);
}

ProxyStatus Cluster::Status(std::size_t proxy) {
  const auto response = SendOnce(m_proxies.at(proxy)->operations_address, "GET", "/v1/status", "");
  if (!response) {
    return {};
  }
  auto status = DecodeJson<ProxyStatus>(response->body);
  return status ? *status : ProxyStatus{};
}

bool Cluster::WaitForStatus(std::size_t proxy,
                            const std::function<bool(const ProxyStatus&)>& predicate,
                            Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  while (!predicate(Status(proxy))) {
    if (Clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string Cluster::PrimaryOf(const std::string& group, std::size_t proxy) {
  for (const auto& entry : Status(proxy).groups) {
    if (entry.group.value() == group) {
      return entry.primary.value();
    }
  }
  return {};
}

}  // namespace cardamom
