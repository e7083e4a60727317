#include "proxy/peer_client.h"

#include <algorithm>
#include <utility>

namespace cardamom {
namespace {

constexpr std::size_t kMaxConnectionsPerPeer = 64;

}  // namespace

std::shared_ptr<ConnectionPool> PeerClient::PoolOf(const VmEntry& vm) {
  const auto address = Address::Parse(vm.peer_address);
  if (!address) {
    return nullptr;
  }
  const std::lock_guard lock(m_mutex);
  auto& pool = m_pools[vm.peer_address];
  if (pool == nullptr) {
    pool = std::make_shared<ConnectionPool>(m_context.io, *address, kMaxConnectionsPerPeer);
  }
  return pool;
}

asio::awaitable<Outcome<HttpResponse>> PeerClient::Send(const VmEntry& vm,
                                                        HttpRequest request,
                                                        TimePoint deadline) {
  const auto pool = PoolOf(vm);
  if (pool == nullptr) {
    co_return Error{ResultCode::kTransport, "the VM list gives no usable address"};
  }
  request.headers.push_back({kPeerKeyHeader, m_context.settings.peer_key});
  request.headers.push_back({"Cardamom-From", m_context.settings.vm_id});
  co_return co_await pool->Send(std::move(request), deadline);
}

void PeerClient::RemoveUnlisted(const std::vector<VmEntry>& vms) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_pools, [&vms](const auto& item) {
    return std::none_of(vms.begin(), vms.end(),
                        [&item](const VmEntry& vm) { return vm.peer_address == item.first; });
  });
}

}  // namespace cardamom
