// Asks the proxies of the fleet to hold back acknowledgements of commits, and answers such
// requests.
#pragma once

#include <memory>
#include <set>
#include <vector>

#include "fleet/home_client.h"
#include "gateway/takeover_hold.h"
#include "http/http_message.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context.
class HoldPeers {
 public:
  // The references must outlive the object and its requests.
  HoldPeers(GatewayContext& context, const Fleet& fleet, HomeClient& peers)
      : m_context(context), m_fleet(fleet), m_peers(peers) {}

  // Holds back acknowledgements of `group` here and asks all other proxies to, also those that are
  // leaving. Waits 250 ms at most, and not for proxies that count as silent.
  asio::awaitable<HoldReport> Hold(GroupId group, std::uint64_t token);

  // Asks all other proxies whether they answer, and holds nothing back. Waits 250 ms at most.
  // Returns the VM ids of those that may run and give no answer.
  asio::awaitable<std::vector<std::string>> FindUnreached();

  // Ends the hold here and starts to tell all other proxies, each until it answers but at most for
  // 2 s.
  void Release(const GroupId& group, const HoldRelease& release);

  // Serves kPeerHoldPath and kPeerReleasePath. Errors: status 400 for a malformed request.
  asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  struct Survey {
    HoldReport report;
    std::set<VmId> awaited;
    Notifier changed;
  };
  asio::awaitable<void> AskOne(VmEntry vm,
                               PeerHold message,
                               TimePoint deadline,
                               std::shared_ptr<Survey> survey);
  asio::awaitable<void> PingOne(VmEntry vm, TimePoint deadline, std::shared_ptr<Survey> survey);
  asio::awaitable<void> TellOne(VmEntry vm, PeerRelease message);
  std::vector<VmEntry> OtherVms() const;

  GatewayContext& m_context;
  const Fleet& m_fleet;
  HomeClient& m_peers;
};

}  // namespace cardamom
