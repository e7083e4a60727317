// A database group in this proxy: its record, the observed state of its servers, and the clients
// that connect to them.
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
#include "pool/endpoint_admission.h"
#include "proxy/proxy_context.h"
#include "retry/retry_policy.h"

namespace cardamom {

// Time for which a leaving primary still gets single statements and a switchover waits for its
// open transactions, so that they can end before its successor takes over.
inline constexpr Millis kLeavingGrace{1500};

// An endpoint of the group with its client and its admission control.
struct EndpointRuntime {
  explicit EndpointRuntime(EndpointSpec endpoint)
      : spec(std::move(endpoint)), leaving(spec.leaving) {}

  // As first listed at this address; `leaving` below has the current state.
  const EndpointSpec spec;
  std::atomic<bool> leaving;
  std::shared_ptr<EndpointClient> client;
  std::shared_ptr<EndpointAdmission> admission;
  // Round-trip time of the last state request that was answered without a long poll, in units of
  // Duration; 0 before the first.
  std::atomic<Duration::rep> round_trip_time{0};
  // Set once the record does not list the endpoint, or lists it with another address.
  std::atomic<bool> removed{false};
  // When this proxy observed that the endpoint is leaving; unset while it is not. Guarded by the
  // group's m_mutex.
  std::optional<TimePoint> leaving_since;
};

// Thread safe. Coroutines have to be called on a strand. Of other locks, only GroupRegistry's may
// be held when m_mutex is taken. A function passed in that runs under m_mutex may only take locks
// under which no other lock is taken.
class Group : public std::enable_shared_from_this<Group> {
 public:
  Group(ProxyContext& context, GroupRecord record, std::size_t connection_share);

  // Starts the coroutines that watch the endpoints. Call once.
  void Start();
  // Ends every watch loop after a grace period, in which the commits of open transactions can still
  // be confirmed. Does not wait. The group must get no new work from then on.
  void Stop();
  // Applies a changed record or a changed connection share.
  void Update(GroupRecord record, std::size_t connection_share);

  GroupId id() const { return m_id; }
  GroupRecord record() const;

  // Endpoints of the record that are not leaving.
  std::vector<std::shared_ptr<EndpointRuntime>> ServingEndpoints() const;
  // Every endpoint of the record.
  std::vector<std::shared_ptr<EndpointRuntime>> AllEndpoints() const;
  // Returns null if the record does not list `endpoint`.
  std::shared_ptr<EndpointRuntime> Find(const EndpointId& endpoint) const;

  // Calls `function` with the view, under m_mutex, and returns its result.
  template <typename Function>
  auto WithView(Function function) const {
    const std::lock_guard lock(m_mutex);
    return function(m_view);
  }

  // Waits until `predicate`, which is called under m_mutex, holds for the view; returns false if it
  // does not by `deadline`.
  asio::awaitable<bool> WaitFor(std::function<bool(const GroupView&)> predicate,
                                TimePoint deadline);

  struct Primary {
    Term term;
    std::shared_ptr<EndpointRuntime> endpoint;
  };
  enum class WorkKind { kStatement, kTransaction };
  // Waits for a primary of a term not below `min_term`. A primary that is leaving is returned only
  // for single statements, for kLeavingGrace at most. Errors: kNoPrimary at the deadline.
  asio::awaitable<Outcome<Primary>> WaitForPrimary(Term min_term,
                                                   TimePoint deadline,
                                                   WorkKind work = WorkKind::kStatement);

  // Waits until `position` is committed, the deadline passes, or a greater term begins. With
  // kTermChanged it is unknown whether the log of the greater term contains `position`.
  enum class CommitState { kCommitted, kTermChanged, kDeadline };
  asio::awaitable<CommitState> WaitForCommit(Position position, TimePoint deadline);

  // Age of the oldest call of WaitForCommit in progress; zero if there is none.
  Duration OldestCommitWait() const;

  // Sends every endpoint a state request at once and waits, for a short time at most, until a
  // majority of the requests were answered or failed. Concurrent calls share a round of requests.
  asio::awaitable<void> Refresh();

  // Updates the view with evidence from requests; `request_sent_at` is when the request was sent.
  void ObserveState(const ServerState& state, TimePoint request_sent_at);
  void ObserveHeld(const EndpointId& endpoint, Position position);
  void ObserveFailure(EndpointRuntime& endpoint, const Error& error, TimePoint request_sent_at);
  void ObserveTerm(Term term);

  // Makes every WaitFor evaluate its predicate again.
  void NotifyChanged() { m_changed.NotifyAll(); }

  // Records a use of the group: its endpoints are watched closely for some seconds from then on.
  void RecordUse() { m_last_use = Clock::now().time_since_epoch().count(); }
  // Sets whether this proxy watches the group as one of its failover coordinators, and whether it
  // is the first of them, which acts without delay.
  void set_failover_role(bool watched, bool is_first_coordinator);

  // Takes a retry from the group's retry budget; returns false if the budget is used up.
  bool TryConsumeRetryToken();
  // Call it for the first attempt of each request: adds a fraction of a retry to the budget.
  void OnFirstAttempt();

 private:
  using Runtimes = std::map<EndpointId, std::shared_ptr<EndpointRuntime>>;

  // Requires m_mutex. Returns the new endpoints; Watch has to be called for each.
  std::vector<std::shared_ptr<EndpointRuntime>> ApplyRecord();
  // Requires m_mutex. Closes connections to leaving endpoints that are not primary.
  void CloseLeavingConnections();
  // Whether `endpoint`, a primary, may get work of this kind. A leaving one still gets statements
  // for kLeavingGrace, until its successor can take over.
  bool AcceptsWork(const EndpointRuntime& endpoint, WorkKind work) const;
  // Requires m_mutex.
  std::shared_ptr<EndpointRuntime> MakeRuntime(const EndpointSpec& spec) const;
  void Watch(const std::shared_ptr<EndpointRuntime>& endpoint);
  asio::awaitable<void> WatchLoop(std::shared_ptr<EndpointRuntime> endpoint);
  // Sends one endpoint a state request, as a long poll if `wait` is positive. Returns whether it
  // answered and is still listed.
  asio::awaitable<bool> RequestState(std::shared_ptr<EndpointRuntime> endpoint, Millis wait);
  // Whether the group is watched for a failover or was used recently.
  bool IsActive() const;
  // Whether the grace period after Stop has passed.
  bool HasEnded() const;
  // Longest wait of a long poll to `endpoint`.
  Millis LongPollWait(const EndpointId& endpoint) const;

  ProxyContext& m_context;
  const GroupId m_id;
  mutable std::mutex m_mutex;
  GroupRecord m_record;
  std::size_t m_connection_share;
  Runtimes m_endpoints;
  GroupView m_view;
  // Start times of the calls of WaitForCommit in progress.
  std::multiset<TimePoint> m_commit_wait_starts;
  RetryBudget m_retry_budget;
  bool m_refreshing = false;
  std::uint64_t m_refresh_round = 0;
  // When the watch loops end; set by Stop.
  std::optional<TimePoint> m_ends_at;
  std::atomic<bool> m_watched{false};
  std::atomic<bool> m_is_first_coordinator{false};
  std::atomic<Clock::rep> m_last_use{0};
  Notifier m_changed;
  // Wakes the watch loops from their pauses; m_wakeup_count counts the wake-ups.
  Notifier m_wakeup;
  std::atomic<std::uint64_t> m_wakeup_count{0};
};

}  // namespace cardamom
