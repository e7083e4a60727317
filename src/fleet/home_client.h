// Forwards statements to the home proxies of a group and tracks which of them respond.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/peer_messages.h"
#include "gateway/gateway_context.h"
#include "http/connection_pool.h"

namespace cardamom {

// The times of a statement that is forwarded, as in its StatementTask. A value type.
struct ForwardTimes {
  TimePoint received;
  BootTime first_byte_at;
  TimePoint deadline;
};

// The result of forwarding a statement. A value type.
struct ForwardResult {
  enum class Status {
    // `reply` is the home's reply.
    kAnswered,
    // No home accepted the statement, so it did not run.
    kNotRun,
    // The statement was sent, but no valid reply arrived; it may have run.
    kUnknown,
  };
  Status status = Status::kNotRun;
  PeerReply reply;
  // VM id of the last home that was tried, even if it could not be reached.
  std::string home;
  std::string reason;
  // With kNotRun: homes of the group reported that they cannot serve the statement (see CanServe).
  bool cannot_serve = false;
};

// How a statement may be sent. A value type.
struct ForwardOptions {
  // The statement may be sent to another home while an earlier attempt is outstanding. Set only for
  // reads.
  bool may_repeat = false;
  // If no home can serve the statement, one of them is asked to wait until it can. If not set, no
  // home is asked to wait, and homes in back-off are not asked at all.
  bool may_wait = true;
};

// Not thread safe: all use is on the thread of the context.
class HomeClient {
 public:
  // The references must outlive the object.
  HomeClient(GatewayContext& context, const Fleet& fleet) : m_context(context), m_fleet(fleet) {}

  // Sets the function that is called when a peer has failed kSilentAfterFailures times in a row,
  // and when such a peer answers again.
  void set_on_silence(std::function<void(const std::string& vm, bool silent)> hook) {
    m_on_silence = std::move(hook);
  }

  // Forwards `message` to the best home and, while no home has accepted the statement, to the next
  // ones. A statement that may be repeated also goes to another home if one stops responding. The
  // times and the sender in `message` are set when it is sent.
  asio::awaitable<ForwardResult> Forward(GroupId group,
                                         std::size_t max_connections,
                                         PeerStatement message,
                                         const ForwardTimes& times,
                                         const ForwardOptions& options);

  // Forwards `message` only to the home whose VM id is `home`. With `may_abandon`, returns kUnknown
  // as soon as the home does not answer a ping; otherwise waits for the reply until the deadline.
  asio::awaitable<ForwardResult> ForwardToHome(std::string home_id,
                                               PeerStatement message,
                                               const ForwardTimes& times,
                                               bool may_abandon);

  // Whether `vm` has no usable address, or recently did not answer or did not accept a statement.
  bool IsInBackoff(const VmEntry& vm);

  // Sends any request to a peer, waits for the response until `deadline`, and records whether the
  // peer responded. Errors: as ConnectionPool::Send, and kTransport if `vm` has no usable address.
  asio::awaitable<Outcome<HttpResponse>> Send(const VmEntry& vm,
                                              HttpRequest request,
                                              TimePoint deadline);

 private:
  struct Peer {
    std::string vm;
    std::string address;
    std::shared_ptr<ConnectionPool> pool;
    TimePoint backoff_until;
    TimePoint last_response_at;
    int failures = 0;
    bool pinging = false;
    // A coroutine pings the peer until it answers.
    bool recovering = false;
    bool alive = true;
    Notifier ping_done;
    // Groups whose primary the peer reported that it does not reach, with the time until which the
    // report is used.
    std::map<GroupId, TimePoint> cannot_serve_until;
  };
  struct Candidate {
    const VmEntry* vm = nullptr;
    bool cannot_serve = false;
    // The home is in back-off.
    bool in_backoff = false;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  PeerPtr PeerOf(const VmEntry& vm);
  // The next home to ask, without those in `tried`: homes that reported that they do not reach the
  // group's primary come after the others, and homes in back-off come last.
  Candidate Choose(const GroupId& group,
                   std::size_t max_connections,
                   const std::vector<std::string>& tried);
  // Whether a peer gets no request while another can: it failed and has not answered a ping since,
  // or is in back-off.
  bool IsAvoided(const PeerPtr& peer);
  void StartRecovery(const PeerPtr& peer);
  // Pings a peer that failed until it answers or is not listed any more.
  asio::awaitable<void> Recover(PeerPtr peer);
  // If all homes of the group by the list are silent: pings the VMs that may replace them, several
  // at a time, until it is known which of them answer.
  asio::awaitable<void> SearchReplacements(GroupId group, std::size_t max_connections);
  // Whether the peer answers a ping on a new connection. Concurrent calls share one ping.
  asio::awaitable<bool> Ping(PeerPtr peer);
  void OnResponse(Peer& peer);
  void OnFailure(const PeerPtr& peer, const std::string& reason);

  GatewayContext& m_context;
  const Fleet& m_fleet;
  std::map<std::string, PeerPtr> m_peers;
  std::function<void(const std::string&, bool)> m_on_silence;
  std::set<GroupId> m_searching;
};

}  // namespace cardamom
