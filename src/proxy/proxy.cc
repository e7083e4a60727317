#include "proxy/proxy.h"

#include <algorithm>
#include <random>
#include <utility>

#include "async/spawn.h"
#include "core/random_id.h"

namespace cardamom {
namespace {

constexpr Millis kHousekeepingInterval{200};
constexpr Millis kStopPollInterval{20};
// Part of the stop limit, at most half of it, that is reserved for sending the last responses.
constexpr Millis kFinalResponseReserve{700};
constexpr Millis kPeerTimeout{200};
constexpr std::size_t kMaxPeersAsked = 4;
// Margin above max-body-bytes, so that a body over the limit reaches the handler, which answers
// with kBodyTooLarge.
constexpr std::size_t kBodyLimitMarginBytes = 1U << 20;

VmEntry MakeOwnVmEntry(const Settings& settings) {
  VmEntry self;
  self.id = VmId(settings.vm_id);
  self.domain = FailureDomain(settings.domain);
  self.region = Region(settings.region);
  return self;
}

}  // namespace

Outcome<std::unique_ptr<Proxy>> Proxy::Create(boost::asio::io_context& context,
                                              const Settings& settings) {
  std::unique_ptr<Proxy> proxy(new Proxy(context, settings));
  const auto listening = proxy->Listen();
  if (!listening) {
    return listening.error();
  }
  proxy->m_events.Emit(EventCode::kProcessStarted,
                       {.detail = "callers " + proxy->caller_address().ToString() + " peers " +
                                  proxy->peer_address().ToString() + " operations " +
                                  proxy->operations_address().ToString()});
  proxy->m_config.Start();
  auto* raw = proxy.get();
  Spawn(context, [raw]() -> asio::awaitable<void> { co_await raw->Housekeeping(); });
  return proxy;
}

Proxy::Proxy(boost::asio::io_context& context, const Settings& settings)
    : m_io(context),
      m_settings(settings),
      m_events(VmId(settings.vm_id), static_cast<std::size_t>(settings.event_ring)),
      m_context{context, m_settings, m_events, m_metrics, RandomId()},
      m_membership(MakeOwnVmEntry(settings)),
      m_platform(context, *Address::Parse(settings.platform), settings.vm_id),
      m_peers(m_context),
      m_groups(m_context,
               m_membership,
               m_platform,
               [this](const GroupId& group, PrimaryEvidence& evidence) {
                 return AskPeersAboutPrimary(group, evidence);
               }),
      m_config(m_context,
               m_platform,
               m_peers,
               m_membership,
               [this] { m_groups.Update(m_config.records()); }),
      m_caller_api(m_context, m_groups, m_config, m_membership, m_peers),
      m_record_service(m_context, m_platform, m_config),
      m_operations_api(m_context, m_groups, m_config, m_membership, m_caller_api, m_record_service),
      m_peer_api(m_context, m_groups, m_config, m_caller_api) {}

Proxy::~Proxy() = default;

Outcome<void> Proxy::Listen() {
  const auto listen = [this](const std::string& address, HttpServer::Handler handler) {
    HttpServerOptions options;
    options.listen_address = *Address::Parse(address);
    options.max_body_bytes =
        static_cast<std::size_t>(m_settings.max_body_bytes) + kBodyLimitMarginBytes;
    options.request_timeout = Millis(m_settings.max_deadline_ms) + Millis(5000);
    return HttpServer::Create(m_io, options, {std::move(handler), {}, {}});
  };
  auto callers = listen(m_settings.listen_callers, [this](HttpRequest request) {
    return m_caller_api.Handle(std::move(request), false);
  });
  if (!callers) {
    return callers.error();
  }
  m_caller_server = std::move(*callers);
  auto peers = listen(m_settings.listen_peers, [this](HttpRequest request) {
    return m_peer_api.Handle(std::move(request));
  });
  if (!peers) {
    return peers.error();
  }
  m_peer_server = std::move(*peers);
  auto operations = listen(m_settings.listen_operations, [this](HttpRequest request) {
    return m_operations_api.Handle(std::move(request));
  });
  if (!operations) {
    return operations.error();
  }
  m_operations_server = std::move(*operations);
  return Outcome<void>();
}

asio::awaitable<void> Proxy::Housekeeping() {
  bool ready = false;
  for (;;) {
    m_caller_api.CloseIdleTransactions();
    if (m_operations_api.IsReady() != ready) {
      ready = !ready;
      m_events.Emit(ready ? EventCode::kReady : EventCode::kNotReady);
    }
    co_await Sleep(kHousekeepingInterval);
  }
}

asio::awaitable<void> Proxy::AskPeersAboutPrimary(const GroupId& group, PrimaryEvidence& evidence) {
  const auto record = m_groups.RecordOf(group);
  if (!record) {
    co_return;
  }
  auto homes = m_membership.HomesOf(group, record->home_proxies);
  std::erase_if(homes, [this](const VmEntry& vm) { return vm.id == m_membership.self().id; });
  homes.resize(std::min(homes.size(), kMaxPeersAsked));
  for (const auto& vm : homes) {
    const auto answer = co_await m_peers.Get<ReachAnswer>(vm, "/peer/v1/reach/" + group.value(),
                                                          Clock::now() + kPeerTimeout);
    if (answer && answer->known) {
      ++evidence.peers_asked;
      evidence.peers_without_contact += answer->failing_ms > 0 ? 1 : 0;
    }
  }
}

void Proxy::Stop(std::function<void()> on_stopped) {
  Spawn(m_io, [this, on_stopped = std::move(on_stopped)]() -> asio::awaitable<void> {
    co_await StopGracefully(on_stopped);
  });
}

asio::awaitable<void> Proxy::StopGracefully(std::function<void()> on_stopped) {
  m_events.Emit(EventCode::kProcessStopping);
  m_operations_api.SetNotReady();
  const auto limit = Millis(m_settings.stop_limit_ms);
  const auto end = Clock::now() + Millis(m_settings.stop_notice_ms) + limit;
  const auto latest_deadline = end - std::min(kFinalResponseReserve, limit / 2);
  m_caller_api.SetLatestDeadline(latest_deadline);
  co_await Sleep(Millis(m_settings.stop_notice_ms));
  m_caller_api.RefuseNewWork();
  while (m_caller_api.active_count() > 0 && Clock::now() < latest_deadline) {
    co_await Sleep(kStopPollInterval);
  }
  m_caller_api.RefuseTransactions();
  while (m_caller_api.active_count() > 0 && Clock::now() < end) {
    m_caller_api.RefuseTransactions();
    co_await Sleep(kStopPollInterval);
  }
  m_config.Stop();
  m_groups.Stop();
  m_events.Emit(EventCode::kProcessStopped,
                {.detail = "left over " + std::to_string(m_caller_api.active_count())});
  on_stopped();
}

}  // namespace cardamom
