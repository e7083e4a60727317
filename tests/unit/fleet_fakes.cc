#include "fleet_fakes.h"

#include <sstream>

#include <fmt/format.h>

#include "async/notifier.h"
#include "async/spawn.h"
#include "membership/rendezvous.h"
#include "platform/directory_decoders.h"

namespace cardamom::testing {
namespace {

constexpr const char* kGroup = "orders";
constexpr const char* kDatabase = "depot";
// Time that the answer to a follow call may take beyond the wait of the call, as in
// platform/store_client.cc.
constexpr Millis kFollowReplyMargin{1000};

// A link that gives no answer while its proxy is cut off from the server.
class PartitionableLink : public EndpointLink {
 public:
  PartitionableLink(const FakeVm& vm, EndpointId endpoint, std::unique_ptr<EndpointLink> link)
      : m_vm(vm), m_endpoint(std::move(endpoint)), m_link(std::move(link)) {}

  asio::awaitable<BatchReply> Run(std::vector<EndpointRequest> requests,
                                  TimePoint deadline) override {
    if (!m_vm.unreachable_servers.contains(m_endpoint)) {
      co_return co_await m_link->Run(std::move(requests), deadline);
    }
    co_await Sleep(deadline - Clock::now());
    m_link->Close();
    BatchReply batch;
    batch.failure = Error{ResultCode::kNoAnswer, "cut off", Ran::kUnknown};
    co_return batch;
  }
  bool IsOpen() const override { return m_link->IsOpen(); }
  bool IsReusable() override { return m_link->IsReusable(); }
  void Close() override { m_link->Close(); }

 private:
  const FakeVm& m_vm;
  const EndpointId m_endpoint;
  const std::unique_ptr<EndpointLink> m_link;
};

LinkOpener PartitionableOpener(const FakeVm& vm, LinkOpener open) {
  return
      [&vm, open](EndpointEntry entry, OrganisationName organisation,
                  TimePoint deadline) -> asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>> {
        if (vm.unreachable_servers.contains(entry.id)) {
          co_await Sleep(deadline - Clock::now());
          co_return Error{ResultCode::kNoAnswer, "cut off", Ran::kNo};
        }
        auto link = co_await open(entry, organisation, deadline);
        if (!link) {
          co_return link.error();
        }
        std::unique_ptr<EndpointLink> wrapped =
            std::make_unique<PartitionableLink>(vm, entry.id, std::move(*link));
        co_return std::move(wrapped);
      };
}

}  // namespace

std::vector<Event> FakeVm::Events(EventCode code) {
  auto events = gateway->events().Snapshot();
  std::erase_if(events,
                [code](const Event& event) { return event.code != static_cast<int>(code); });
  return events;
}

FakeFleet::FakeFleet(std::size_t vms, std::size_t domains, std::int64_t direct_vms)
    : m_direct_vms(direct_vms) {
  Configure(1, Millis(800));
  for (const auto& entry : fake_group.Entries()) {
    table.Put("servers", entry.id.value(), "");
  }
  for (std::size_t i = 0; i < vms; ++i) {
    Add(fmt::format("domain-{}", i % domains), "");
  }
  RunUntil(
      [this] {
        return std::all_of(m_vms.begin(), m_vms.end(), [](const auto& vm) {
          return vm->gateway->IsReady() && !vm->Events(EventCode::kLeaseRegained).empty();
        });
      },
      Millis(5000));
}

FakeFleet::~FakeFleet() {
  io.stop();
}

TablePort FakeFleet::TableOf(FakeVm& vm) {
  const auto port = table.Port();
  const auto no_answer = [&vm](TimePoint deadline) -> asio::awaitable<Error> {
    co_await Sleep(deadline - Clock::now());
    co_return Error{ResultCode::kPlatformUnavailable, vm.settings.vm_id + " hears nothing",
                    Ran::kNo};
  };
  TablePort wrapped;
  wrapped.read = [this, &vm, port, no_answer](
                     std::string name,
                     TimePoint deadline) -> asio::awaitable<Outcome<TableSnapshot>> {
    if (vm.store_unresponsive || (vm.members_unresponsive && name == Fleet::kTableName)) {
      co_return co_await no_answer(deadline);
    }
    auto answer = co_await port.read(name, deadline);
    if (answer) {
      answer->now_ms += ToMillis(Clock::now() - m_started_at).count();
    }
    co_return answer;
  };
  wrapped.follow = [&vm, port, no_answer](std::string name, StorePosition after,
                                          Millis wait) -> asio::awaitable<Outcome<TableSnapshot>> {
    const auto deadline = Clock::now() + wait + kFollowReplyMargin;
    auto answer = co_await port.follow(name, after, wait);
    if (vm.store_unresponsive) {
      co_return co_await no_answer(deadline);
    }
    co_return answer;
  };
  wrapped.write = port.write;
  return wrapped;
}

GatewayPorts FakeFleet::Ports(FakeVm& vm) {
  GatewayPorts ports;
  ports.table = TableOf(vm);
  ports.decoders.configuration_table = "op";
  ports.decoders.configuration_key = "config";
  ports.decoders.servers_table = "servers";
  ports.decoders.configuration = [this](std::string_view text) -> std::optional<Configuration> {
    const auto colon = text.find(':');
    Configuration configuration;
    configuration.version = std::stoull(std::string(text.substr(0, colon)));
    configuration.transaction_idle_limit = transaction_idle;
    Route route;
    route.database = DatabaseName(kDatabase);
    route.group = GroupId(kGroup);
    route.consistency = Consistency::kReadYourWrites;
    route.max_staleness = Millis(500);
    std::istringstream words(std::string(text.substr(colon + 1)));
    std::int64_t timeout = 0;
    words >> timeout;
    route.statement_timeout = Millis(timeout);
    for (std::string key, organisation; words >> key >> organisation;) {
      route.is_public = false;
      const OrganisationName name(organisation);
      configuration.organisation_of_key[ApiKey(key)] = name;
      configuration.organisations[name] = {name, {}};
    }
    configuration.routes[route.database] = route;
    GroupSettings group;
    group.group = route.group;
    group.max_connections = 40;
    configuration.groups[group.group] = group;
    return configuration;
  };
  ports.decoders.server = [this](std::string_view id, std::string_view text) {
    return text.empty() ? std::optional(fake_group.Find(std::string(id))->entry)
                        : platform::MakeDirectoryDecoders().server(id, text);
  };
  ports.order = [this](std::string, std::string endpoint, std::string, std::uint64_t,
                       TimePoint) -> asio::awaitable<Outcome<OrderResult>> {
    if (before_order) {
      co_await before_order();
    }
    fake_group.Promote(endpoint);
    co_return OrderResult::kAccepted;
  };
  ports.open_link = PartitionableOpener(vm, fake_group.Opener());
  return ports;
}

FakeVm& FakeFleet::Add(const std::string& domain,
                       const std::string& seeds,
                       bool store_unresponsive) {
  m_vms.push_back(std::make_unique<FakeVm>());
  auto& vm = *m_vms.back();
  vm.store_unresponsive = store_unresponsive;
  HttpServerOptions options;
  options.listen_address = *Address::Parse("127.0.0.1:0");
  HttpServer::Handler handler = [&vm](HttpRequest request) -> asio::awaitable<HttpResponse> {
    while (vm.frozen) {
      co_await Sleep(Millis(20));
    }
    co_return co_await vm.gateway->HandlePeer(std::move(request));
  };
  vm.server = std::move(*HttpServer::Create(io, options, {std::move(handler), {}, {}}));
  vm.settings.vm_id = fmt::format("vm-{}", m_vms.size() - 1);
  vm.settings.domain = domain;
  vm.settings.capacity_text = "1";
  vm.settings.seeds = seeds;
  vm.settings.direct_vms = m_direct_vms;
  vm.settings.event_ring = 4096;
  vm.settings.list_return_ms = 200;
  vm.settings.config_apply_ms = 3000;
  vm.settings.stop_limit_ms = 3000;
  vm.settings.listen_peers = vm.server->address().ToString();
  vm.gateway = std::make_unique<Gateway>(io, vm.settings, Ports(vm));
  vm.gateway->Start();
  return vm;
}

FakeVm* FakeFleet::Find(const std::string& vm_id) {
  for (const auto& vm : m_vms) {
    if (vm->settings.vm_id == vm_id) {
      return vm.get();
    }
  }
  return nullptr;
}

std::vector<FakeVm*> FakeFleet::Homes() {
  std::vector<FakeVm*> homes;
  for (const auto& vm : m_vms) {
    if (!vm->Events(EventCode::kEndpointListed).empty()) {
      homes.push_back(vm.get());
    }
  }
  return homes;
}

std::vector<FakeVm*> FakeFleet::NonHomes() {
  std::vector<FakeVm*> others;
  for (const auto& vm : m_vms) {
    if (vm->Events(EventCode::kEndpointListed).empty()) {
      others.push_back(vm.get());
    }
  }
  return others;
}

void FakeFleet::Run(std::function<asio::awaitable<void>()> work) {
  bool done = false;
  Spawn(io, [&done, work = std::move(work)]() -> asio::awaitable<void> {
    co_await work();
    done = true;
  });
  RunUntil([&done] { return done; }, Millis(10'000));
}

bool FakeFleet::RunUntil(const std::function<bool()>& condition, Millis limit) {
  const auto end = Clock::now() + limit;
  io.restart();
  while (!condition() && Clock::now() < end) {
    io.run_for(Millis(5));
  }
  return condition();
}

SessionRegistry::OpenResult FakeFleet::Open(FakeVm& vm, const std::string& key) {
  SessionRegistry::OpenResult opened;
  Run([&]() -> asio::awaitable<void> {
    const DatabaseName database{kDatabase};
    const ApiKey api_key{key};
    opened = co_await vm.gateway->sessions().Open(database, api_key);
  });
  return opened;
}

std::vector<Reply> FakeFleet::Execute(FakeVm& vm, std::vector<Statement> statements) {
  std::vector<Reply> replies;
  Run([&]() -> asio::awaitable<void> {
    const DatabaseName database{kDatabase};
    auto opened = co_await vm.gateway->sessions().Open(database);
    const auto session = std::get<std::shared_ptr<CallerSession>>(opened);
    for (const auto& statement : statements) {
      replies.push_back(co_await session->Execute(statement));
    }
    co_await vm.gateway->sessions().Close(session);
  });
  return replies;
}

void FakeFleet::Configure(std::uint64_t version, Millis timeout) {
  Configure(version, timeout, {});
}

void FakeFleet::Configure(std::uint64_t version,
                          Millis timeout,
                          const std::map<std::string, std::string>& organisation_of_key) {
  auto text = fmt::format("{}:{}", version, timeout.count());
  for (const auto& [key, organisation] : organisation_of_key) {
    text += fmt::format(" {} {}", key, organisation);
  }
  table.Put("op", "config", text);
}

std::vector<FakeVm*> RelaysOf(FakeFleet& fleet, const std::string& domain) {
  std::vector<VmEntry> members;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    VmEntry member;
    member.id = VmId(fleet.vm(i).settings.vm_id);
    member.domain = FailureDomain(fleet.vm(i).settings.domain);
    members.push_back(member);
  }
  std::vector<FakeVm*> relays;
  for (const auto& relay : ChooseRelays(members, FailureDomain(domain), 2)) {
    relays.push_back(fleet.Find(relay.id.value()));
  }
  return relays;
}

}  // namespace cardamom::testing
