// One database group as this proxy serves it: its record, what is known of its servers, and the
// adapters to them.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "async/notifier.h"
#include "cardamom/group_record.h"
#include "endpoint/endpoint_client.h"
#include "group/group_view.h"
#include "pool/endpoint_gate.h"
#include "proxy/proxy_context.h"
#include "retry/retry_policy.h"

namespace cardamom {

// How long a leaving primary may go on, so that open transactions can end before its successor
// takes over.
inline constexpr Millis kLeavingGrace{1500};

// An endpoint of the group with its adapter and limits.
struct EndpointRuntime {
  explicit EndpointRuntime(EndpointSpec endpoint)
      : spec(std::move(endpoint)), leaving(spec.leaving) {}

  // As first seen; `leaving` has the present state.
  const EndpointSpec spec;
  std::atomic<bool> leaving;
  std::shared_ptr<EndpointClient> client;
  std::shared_ptr<EndpointGate> gate;
  std::atomic<Duration::rep> round_trip{0};
  std::atomic<bool> dropped{false};
  // When this proxy learned that the endpoint leaves; nothing while it serves. Guarded by the
  // group.
  std::optional<TimePoint> leaving_since;
};

// Thread safe. m_mutex is taken after no other lock; hooks run under it take none.
class Group : public std::enable_shared_from_this<Group> {
 public:
  Group(ProxyContext& context, GroupRecord record, std::size_t connection_share);

  // Starts to watch the endpoints. Call once.
  void Start();
  // Takes no new work; open transactions still see their commits confirmed for a while, then every
  // loop ends.
  void Stop();
  // Takes a changed record or a changed connection share.
  void Update(GroupRecord record, std::size_t connection_share);

  GroupId id() const { return m_id; }
  GroupRecord record() const;

  // Endpoints of the record that serve.
  std::vector<std::shared_ptr<EndpointRuntime>> Serving() const;
  // Every endpoint that has an adapter.
  std::vector<std::shared_ptr<EndpointRuntime>> All() const;
  std::shared_ptr<EndpointRuntime> Find(const EndpointId& endpoint) const;

  // Calls `use` with the view, under the lock.
  template <typename Use>
  auto WithView(Use use) const {
    const std::lock_guard lock(m_mutex);
    return use(m_view);
  }

  // Waits until `predicate` holds for the view.
  asio::awaitable<bool> WaitFor(std::function<bool(const GroupView&)> predicate,
                                TimePoint deadline);

  struct Primary {
    Term term;
    std::shared_ptr<EndpointRuntime> endpoint;
  };
  enum class Use { kStatement, kTransaction };
  // Waits for a primary of a term not below `least`. One that leaves gets no new transactions, and
  // single statements for kLeavingGrace at most.
  asio::awaitable<Outcome<Primary>> WaitForPrimary(Term least,
                                                   TimePoint deadline,
                                                   Use use = Use::kStatement);

  // Waits until `position` is committed, or it is known not to be in the current term's log.
  enum class CommitState { kCommitted, kTermChanged, kDeadline };
  asio::awaitable<CommitState> WaitForCommit(Position position, TimePoint deadline);

  // Age of the oldest write that waits for its commit.
  Duration OldestCommitWait() const;

  // Asks every endpoint for its state once, now, and waits until a majority of them has answered;
  // concurrent calls share a round.
  asio::awaitable<void> Refresh();

  // Takes evidence from the data path.
  void ObserveState(const ServerState& state, TimePoint sent);
  void ObserveHeld(const EndpointId& endpoint, Position position);
  // `sent` is when the request that failed was sent.
  void ObserveFailure(EndpointRuntime& endpoint, const Error& error, TimePoint sent);
  void HearOfTerm(Term term);

  // Makes every WaitFor evaluate its predicate again.
  void NotifyChanged() { m_changed.NotifyAll(); }

  // Notes that a request uses the group: its endpoints are then watched closely for a while.
  void Touch() { m_last_use = Clock::now().time_since_epoch().count(); }
  // Whether this proxy watches the group in case its steward fails, and whether it is the steward.
  void set_watched(bool watched, bool steward);

  bool TryRetry();
  void OnFirstAttempt();

 private:
  using Runtimes = std::map<EndpointId, std::shared_ptr<EndpointRuntime>>;

  // Requires m_mutex. Returns the endpoints to watch from now on.
  std::vector<std::shared_ptr<EndpointRuntime>> ApplyRecord();
  // Requires m_mutex. Closes connections to leaving endpoints that are not primary.
  void ReleaseLeaving();
  // Whether a leaving primary may still get work: its successor needs a moment.
  bool MayStillGetWork(const EndpointRuntime& endpoint, Use use) const;
  std::shared_ptr<EndpointRuntime> MakeRuntime(const EndpointSpec& spec) const;
  void Watch(const std::shared_ptr<EndpointRuntime>& endpoint);
  asio::awaitable<void> WatchLoop(std::shared_ptr<EndpointRuntime> endpoint);
  // Asks one endpoint for its state; as a long poll if `wait` is positive. Returns whether it
  // answered.
  asio::awaitable<bool> Ask(std::shared_ptr<EndpointRuntime> endpoint, Millis wait);
  bool IsActive() const;
  bool HasEnded() const;
  Millis PollTimeOf(const EndpointId& endpoint) const;

  ProxyContext& m_context;
  const GroupId m_id;
  mutable std::mutex m_mutex;
  GroupRecord m_record;
  std::size_t m_connection_share;
  Runtimes m_endpoints;
  GroupView m_view;
  std::multiset<TimePoint> m_commit_waits;
  RetryBudget m_retry_budget;
  bool m_refreshing = false;
  std::uint64_t m_refresh_round = 0;
  // When the loops end, once the group is withdrawn.
  std::optional<TimePoint> m_ends_at;
  std::atomic<bool> m_watched{false};
  std::atomic<bool> m_steward{false};
  std::atomic<Clock::rep> m_last_use{0};
  Notifier m_changed;
  // Ends the pauses of the watch loops.
  Notifier m_poke;
  std::atomic<std::uint64_t> m_pokes{0};
};

}  // namespace cardamom
