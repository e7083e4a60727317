// Carries statements to the home proxies of a group and finds out which of them answer.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/peer_messages.h"
#include "gateway/gateway_context.h"
#include "http/connection_pool.h"

namespace cardamom {

// The times of a statement that is forwarded. A value type.
struct ForwardTimes {
  TimePoint received;
  BootTime first_byte;
  TimePoint deadline;
};

// What became of a forwarded statement.
struct ForwardResult {
  enum class End {
    // `reply` is the home's word.
    kAnswered,
    // No home took it: nothing ran.
    kNotRun,
    // It was sent and not answered.
    kUnknown,
  };
  End end = End::kNotRun;
  PeerReply reply;
  // The home that was asked last.
  std::string home;
  std::string reason;
  // With kNotRun: the homes that were asked do not reach what the statement needs.
  bool elsewhere = false;
};

// How a statement may be sent. A value type.
struct ForwardOptions {
  // A read: it may be sent again while the first answer is outstanding.
  bool may_repeat = false;
  // If no home reaches what the statement needs, one of them is asked to wait for it.
  bool may_wait = true;
};

// Not thread safe: all use is on the thread of the context.
class HomeClient {
 public:
  HomeClient(GatewayContext& context, const Fleet& fleet) : m_context(context), m_fleet(fleet) {}

  // Sends to the best home that answers. What may be repeated goes to another home when one falls
  // silent. `message` gets its times when it is sent.
  asio::awaitable<ForwardResult> Call(GroupId group,
                                      std::size_t max_connections,
                                      PeerStatement message,
                                      const ForwardTimes& times,
                                      const ForwardOptions& options);

  // Sends to `home` and no other.
  asio::awaitable<ForwardResult> CallHome(std::string home,
                                          PeerStatement message,
                                          const ForwardTimes& times,
                                          bool may_abandon);

  // Whether `vm` did not answer just now.
  bool IsAvoided(const VmEntry& vm);

  // Sends any request to a peer, before `deadline`. Errors: as ConnectionPool::Send.
  asio::awaitable<Outcome<HttpResponse>> Send(const VmEntry& vm,
                                              HttpRequest request,
                                              TimePoint deadline);

 private:
  struct Peer {
    std::string vm;
    std::string address;
    std::shared_ptr<ConnectionPool> pool;
    TimePoint avoided_until;
    TimePoint last_heard;
    int failures = 0;
    bool pinging = false;
    bool alive = true;
    Notifier pinged;
    // Groups whose primary the peer said not to reach, and until when that is believed.
    std::map<GroupId, TimePoint> lacking_until;
  };
  struct Candidate {
    const VmEntry* vm = nullptr;
    bool lacking = false;
    // It did not answer just now.
    bool avoided = false;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  PeerPtr PeerOf(const VmEntry& vm);
  // The next home to ask: those that reach the group's primary go before those that do not, and
  // these before those that do not answer.
  Candidate Choose(const GroupId& group,
                   std::size_t max_connections,
                   const std::vector<std::string>& tried);
  // Whether a fresh connection to the peer works.
  asio::awaitable<bool> Ping(PeerPtr peer);
  void OnHeard(Peer& peer);
  void OnFailure(Peer& peer, const std::string& reason);

  GatewayContext& m_context;
  const Fleet& m_fleet;
  std::map<std::string, PeerPtr> m_peers;
};

}  // namespace cardamom
