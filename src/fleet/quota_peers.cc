#include "fleet/quota_peers.h"

#include <algorithm>

namespace cardamom {
namespace {

constexpr std::size_t kConnectionsPerPeer = 4;
constexpr Millis kBackoffBase{250};
constexpr int kMaxBackoffDoublings = 3;
constexpr int kOk = 200;

}  // namespace

bool QuotaPeers::IsInBackoff(const VmEntry& vm) const {
  const auto it = m_peers.find(vm.id);
  return it != m_peers.end() && it->second->address == vm.peer_address &&
         Clock::now() < it->second->backoff_until;
}

void QuotaPeers::Keep(const std::vector<VmEntry>& vms) {
  std::erase_if(m_peers, [&vms](const auto& entry) {
    return std::none_of(vms.begin(), vms.end(),
                        [&entry](const VmEntry& vm) { return vm.id == entry.first; });
  });
}

asio::awaitable<std::optional<PeerQuotaReply>> QuotaPeers::Send(VmEntry vm,
                                                                PeerQuotaRequest request,
                                                                TimePoint deadline) {
  auto& entry = m_peers[vm.id];
  if (!entry || entry->address != vm.peer_address) {
    const auto address = Address::Parse(vm.peer_address);
    if (!address) {
      m_peers.erase(vm.id);
      co_return std::nullopt;
    }
    entry = std::make_shared<Peer>();
    entry->address = vm.peer_address;
    entry->pool = std::make_shared<ConnectionPool>(m_context.io, *address, kConnectionsPerPeer);
  }
  const auto peer = entry;
  HttpRequest message;
  message.method = "POST";
  message.target = kPeerQuotaPath;
  message.headers.push_back({"Content-Type", "application/json"});
  message.body = EncodeJson(request);
  const auto answer = co_await peer->pool->Send(std::move(message), deadline);
  if (answer && answer->status == kOk) {
    auto reply = DecodeJson<PeerQuotaReply>(answer->body);
    if (reply) {
      peer->failures = 0;
      co_return *reply;
    }
  }
  peer->backoff_until =
      Clock::now() + kBackoffBase * (1 << std::min(peer->failures, kMaxBackoffDoublings));
  ++peer->failures;
  co_return std::nullopt;
}

}  // namespace cardamom
