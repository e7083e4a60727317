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

inline constexpr const char* kPeerKeyHeader = "Cardamom-Peer-Key";

// Thread safe. m_mutex is taken after no other lock.
class PeerClient {
 public:
  explicit PeerClient(ProxyContext& context) : m_context(context) {}

  // Sends `request` to the peer port of `vm`. Errors: kTransport, kConnectionRefused, kOverloaded.
  asio::awaitable<Outcome<HttpResponse>> Send(const VmEntry& vm,
                                              HttpRequest request,
                                              TimePoint deadline);

  // Sends a GET request and reads the answer as a T. Errors: as Send, and kBadAnswer.
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
    co_return Decode<T>(response->body);
  }

  // Closes the pools of VMs that are gone.
  void Keep(const std::vector<VmEntry>& vms);

 private:
  std::shared_ptr<ConnectionPool> PoolOf(const VmEntry& vm);

  ProxyContext& m_context;
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<ConnectionPool>> m_pools;
};

}  // namespace cardamom
