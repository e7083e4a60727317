// Sends requests to other proxies.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http/connection_pool.h"
#include "proxy/proxy_context.h"
#include "table/platform_messages.h"

namespace cardamom {

// Header that carries the shared key of the proxies.
inline constexpr const char* kPeerKeyHeader = "Cardamom-Peer-Key";

// Thread safe. No other lock is held when m_mutex is taken. Precondition: calling coroutines run on
// a strand.
class PeerClient {
 public:
  explicit PeerClient(ProxyContext& context) : m_context(context) {}

  // Sends `request` to the peer port of `vm`. Errors: kTransport, also if the VM list has no valid
  // address of `vm`; kConnectionRefused, kOverloaded.
  asio::awaitable<Outcome<HttpResponse>> Send(const VmEntry& vm,
                                              HttpRequest request,
                                              TimePoint deadline);

  // Sends a GET request and decodes the answer as a T. Errors: as Send, kBadAnswer for a status
  // other than 200, and kBadJson and kBadField for a body that cannot be decoded.
  template <typename T>
  asio::awaitable<Outcome<T>> Get(const VmEntry& vm, std::string target, TimePoint deadline) {
    HttpRequest request;
    request.target = std::move(target);
    const auto response = co_await Send(vm, std::move(request), deadline);
    if (!response) {
      co_return response.error();
    }
    if (response->status != 200) {
      co_return Error{ResultCode::kBadAnswer, "status " + std::to_string(response->status)};
    }
    co_return DecodeJson<T>(response->body);
  }

  // Removes the connection pools of VMs that `vms` does not list; requests in progress go on.
  void RemoveUnlisted(const std::vector<VmEntry>& vms);

 private:
  std::shared_ptr<ConnectionPool> PoolOf(const VmEntry& vm);

  ProxyContext& m_context;
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<ConnectionPool>> m_pools;
};

}  // namespace cardamom
