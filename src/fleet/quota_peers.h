// Sends messages about usage limits to other proxies.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/quota_messages.h"
#include "gateway/gateway_context.h"
#include "http/connection_pool.h"
#include "membership/vm_entry.h"

namespace cardamom {

// Keeps connections of its own: the time limit is so short that a missing answer says nothing about
// a peer's ability to run statements. Not thread safe: all use is on the thread of the context.
class QuotaPeers {
 public:
  // `context` must outlive the object.
  explicit QuotaPeers(GatewayContext& context) : m_context(context) {}

  // Returns nullopt if `vm` gives no valid answer by `deadline`.
  asio::awaitable<std::optional<PeerQuotaReply>> Send(VmEntry vm,
                                                      PeerQuotaRequest request,
                                                      TimePoint deadline);
  // Whether `vm` gave no answer recently.
  bool IsInBackoff(const VmEntry& vm) const;
  // Forgets the VMs that are not in `vms`.
  void Keep(const std::vector<VmEntry>& vms);

 private:
  struct Peer {
    std::string address;
    std::shared_ptr<ConnectionPool> pool;
    int failures = 0;
    TimePoint backoff_until;
  };

  GatewayContext& m_context;
  std::map<VmId, std::shared_ptr<Peer>> m_peers;
};

}  // namespace cardamom
