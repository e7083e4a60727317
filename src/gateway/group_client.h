// This proxy's view of a database group: its servers, the links to them and the primary.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "async/notifier.h"
#include "core/store_position.h"
#include "directory/configuration.h"
#include "failover/outage_rules.h"
#include "gateway/endpoint.h"
#include "gateway/gateway_context.h"
#include "group/watermark_history.h"

namespace cardamom {

// Evidence about a primary, for the decision to replace it.
struct PrimaryHealth {
  // Since when the primary has not answered, if it does not.
  std::optional<TimePoint> failing_since;
  // The last failure was a refused connection.
  bool refused = false;
  // Failures since the primary's last answer.
  int failures = 0;
  // When the latest commit whose acknowledgement is overdue was sent, if there is one.
  std::optional<TimePoint> stalled_since;
};

// A departed server whose process has been gone for this long acknowledges nothing any more.
constexpr Millis kGoneAfterProcessExit{4000};
// As above, for a server whose process is not known to be gone: neither the store nor this proxy
// receives anything from it.
constexpr Millis kGoneAfterNoAnswer{8000};

// A server that disappeared from the list. It may only be cut off from the store, and still
// acknowledge commits; or it may have been the only replica that had received a commit.
struct DepartedServer {
  std::shared_ptr<Endpoint> endpoint;
  TimePoint since;
  BootTime departed_at;
  // The server has restarted under the same id, without its log.
  bool restarted = false;
  // When the list first showed that the process has ended: another one has its id or its address.
  std::optional<BootTime> ended_by;
  // The server was the latest primary.
  bool was_primary = false;
  // The server had announced that it leaves.
  bool announced = false;
  // This proxy has never seen the server listed, and knows no address to ask.
  bool never_listed = false;
  // Least position that a primary reported when it was asked kGoneAfterProcessExit or
  // kGoneAfterNoAnswer after the departure, the former also after `ended_by`. If the process has
  // ended, or the server gives no answer, it acknowledged no later commit.
  std::optional<Position> position_after_exit;
  std::optional<Position> position_after_no_answer;
};

// A request of a takeover to a server. A value type.
struct ControlRequest {
  EndpointOperation operation = EndpointOperation::kStatus;
  Term term;
  // The request is not sent after this time.
  std::optional<BootTime> valid_until;
  // The request is sent only on a link that was opened before this time, so that it does not reach
  // a server that has restarted since.
  std::optional<TimePoint> opened_before;
  // A link that was opened before this time is used if one is free or becomes so soon.
  std::optional<TimePoint> prefer_opened_before;
};

// A server's answer to a ControlRequest. A value type.
struct ControlAnswer {
  EndpointStatus status;
  // When the link was opened: the answering process was started before.
  TimePoint link_opened_at;
};

// What the list of servers rests on, for log lines. A value type.
struct ServerListProof {
  StorePosition position;
  // A time at which the store still held this list, if one is known.
  std::optional<BootTime> confirmed_at;
  // When a store or a relay last answered.
  TimePoint answered_at;
};

// Not thread safe: all use is on the thread of `context`, which must outlive the object.
class GroupClient : public std::enable_shared_from_this<GroupClient> {
 public:
  using EndpointPtr = std::shared_ptr<Endpoint>;

  GroupClient(GatewayContext& context, GroupId id);

  const GroupId& id() const { return m_id; }
  // The gate that every acknowledgement of a commit passes.
  AcknowledgementGate& acknowledgements() const { return m_context.acknowledgements.Of(m_id); }

  // Adopts the latest server list and settings of the group.
  void Update(const std::vector<EndpointEntry>& entries, const GroupSettings& settings);
  // This proxy's share of the connections to each server.
  struct Share {
    // Links that this proxy may hold to each server.
    std::size_t links = 1;
    // Number of proxies that hold links.
    std::size_t home_count = 1;
    // Every proxy of the fleet holds links, each so few that the number of its links is the only
    // limit on its statements in progress.
    bool every_proxy_is_home = false;
  };
  // Sets the link limit of all servers. A link above it is closed when it is returned while no
  // request waits for one. Admission limits of servers that are already listed stay as they are.
  void SetShare(const Share& share);

  // Starts the task that probes the primary and searches for one if none is known. Precondition:
  // the object is owned by a shared_ptr.
  void Start();
  // Ends that task and retires the links to all servers.
  void Stop();

  // Whether this proxy can serve the statement now: by a usable primary, or, unless it
  // `needs_primary`, by a replica if a watermark sample requested since `not_before` is known.
  bool CanServe(bool needs_primary, BootTime not_before) const;

  // Whether one of the servers has outstanding statements; see Endpoint::outstanding. An open
  // transaction does not count: it keeps its link until it ends.
  bool IsBusy() const;

  // Whether `endpoint` has been leaving for so long that it must get no further statements.
  bool IsDrained(const Endpoint& endpoint) const;

  // The latest observed primary, which may be failing, or nullptr if none is known.
  EndpointPtr primary() const;
  // Waits for a primary that is neither failing nor drained. Returns nullptr at `deadline`, or once
  // none has answered for longer than any takeover takes, as a longer wait would only delay
  // callers.
  asio::awaitable<EndpointPtr> WaitForPrimary(TimePoint deadline);

  // The servers to send a read to that needs `position`, best first, without those in `tried`.
  // Without a position only the primary qualifies.
  std::vector<EndpointPtr> ServersForRead(std::optional<Position> position,
                                          const std::vector<EndpointId>& tried) const;

  // Returns the least position known to cover every commit acknowledged before `not_before`, and
  // probes the primary if no sample is that recent. Returns nothing at `deadline`, or if no primary
  // answers for too long (see WaitForPrimary).
  asio::awaitable<std::optional<Position>> DetermineWatermark(BootTime not_before,
                                                              TimePoint deadline);

  // Record what a server answered: `asked_at` is when the request was sent, `applied` the last
  // position that the replica had applied, `needed` a position that it lacked.
  void OnPrimaryAnswer(const EndpointPtr& endpoint, BootTime asked_at, Position position);
  // The primary acknowledged a commit and reported `position`.
  void OnCommitAcknowledged(Position position);
  void OnReplicaAnswer(const EndpointPtr& endpoint, Position applied);
  void OnReplicaBehind(const EndpointPtr& endpoint, Position needed);
  // `endpoint` answered that it is not the primary.
  void OnNotPrimary(const EndpointPtr& endpoint);
  // A link failed or could not be opened. A server that is only too busy does not count as failing.
  void OnLinkFailure(const EndpointPtr& endpoint, const Error& error);
  // As above, for a statement. A primary that did not answer in time may only be busy, so it is
  // probed before it counts as failing.
  void OnStatementFailure(const EndpointPtr& endpoint, const Error& error);
  // Drops the evidence of overdue commits once a takeover has dealt with it.
  void ClearStallEvidence() { m_health.stalled_since.reset(); }
  // Call after a suspension of this process, during which it received no answers: the failures and
  // overdue commits observed so far prove nothing and are discarded. A failing primary counts as
  // failing from now on.
  void ResetFailureEvidence();
  // A commit that was sent at `since` was not acknowledged in time.
  void OnCommitOverdue(TimePoint since);

  const std::map<EndpointId, EndpointPtr>& endpoints() const { return m_endpoints; }
  // The listed server with this id, or nullptr if there is none.
  EndpointPtr Find(const EndpointId& id) const;
  // The departed servers as of the last Update, except those that departed more than 30 s ago and
  // are covered by DepartedPosition().
  std::vector<DepartedServer> Departed() const;
  // Records what another process knew of the group's servers. One that this proxy has never seen
  // listed counts as departed since the list was first read.
  void ExpectServers(const GroupRoster& roster);
  // Servers that departed earlier than those in Departed() acknowledged no commit after this
  // position; nothing if there are none.
  std::optional<Position> DepartedPosition() const {
    return std::max(m_departed_position, m_expected_position);
  }
  // Whether `endpoint` is the process that last answered as the primary or, if none has yet, that
  // the list shows as the primary.
  bool IsLatestPrimary(const EndpointPtr& endpoint) const;
  // The servers as the list shows them.
  ServerListSnapshot SnapshotServerList() const;
  // Sets the source of list_proof().
  void set_list_proof(std::function<ServerListProof()> proof) { m_list_proof = std::move(proof); }
  // Nothing if no source was set.
  std::optional<ServerListProof> list_proof() const {
    return m_list_proof ? std::optional(m_list_proof()) : std::nullopt;
  }
  // Servers may be missing from the list for `span`, in which IsListSettled() does not hold.
  void ExpectListChanges(Millis span) { m_list_settles_at = Clock::now() + span; }
  // Whether servers may be missing from the list, see ExpectListChanges.
  bool IsListReturning() const { return Clock::now() < m_list_settles_at; }
  // Whether the server list has been read for long enough to be complete.
  bool IsListSettled() const;
  // Whether a server reported within the last second that it is too busy or at its connection
  // limit, and so is alive.
  bool IsAtConnectionLimit() const;
  // Until when to wait for a lost primary, if one is lost: any takeover has ended by then.
  std::optional<TimePoint> PrimaryWaitDeadline() const;
  const PrimaryHealth& health() const { return m_health; }
  const std::optional<EndpointId>& primary_id() const { return m_primary; }
  Term term() const { return m_term; }
  const WatermarkHistory& watermarks() const { return m_watermarks; }
  // The greatest position reported with a commit that was acknowledged to this proxy; 0 before the
  // first.
  Position acknowledged() const { return m_acknowledged; }
  const GroupSettings& settings() const { return m_settings; }

  // Probes whether `endpoint` is the primary: opens and ends an empty transaction, which takes no
  // slot. Returns the position if it is. An endpoint has one probe at a time; further ones wait.
  asio::awaitable<std::optional<Position>> ProbeIfPrimary(EndpointPtr endpoint, TimePoint deadline);

  // Sends one request on a control link. Errors: as LinkOpener, kDeadlineExpired, and kOverloaded
  // for an answer without a status.
  asio::awaitable<Outcome<ControlAnswer>> SendControlRequest(EndpointPtr endpoint,
                                                             ControlRequest request,
                                                             TimePoint deadline);

 private:
  // The primary once `usable` holds, or nullptr at `deadline` or at PrimaryWaitDeadline().
  asio::awaitable<EndpointPtr> WaitFor(std::function<bool()> usable, TimePoint deadline);
  void AddEndpoint(const EndpointEntry& entry);
  // Drops the servers that `listed` lacks, or shows with another address or start time.
  void DropMissing(const std::map<EndpointId, const EndpointEntry*>& listed);
  // Updates or removes a departed server after the list was read. Returns whether it is removed.
  bool ForgetDeparted(DepartedServer& server,
                      const std::map<EndpointId, const EndpointEntry*>& listed,
                      TimePoint now);
  // Notes which departed servers have ended, since another listed one has their address.
  void FindEndedProcesses();
  void RecordPrimaryLost();
  void SetPrimary(const EndpointPtr& endpoint, Term term, const char* source);
  // Reports a primary whose answer to a request sent at `asked_at` shows that it lacks a commit
  // that had been acknowledged before.
  void CheckForMissingCommit(const Endpoint& endpoint, BootTime asked_at, Position position);
  asio::awaitable<void> Watch();
  // Probes the servers until one answers as the primary. One search runs at a time.
  asio::awaitable<void> SearchPrimary();
  void StartSearch();
  // In the first round those that claim to be the primary, if no primary is known; otherwise all.
  std::vector<EndpointPtr> ServersToSearch(bool first_round) const;
  asio::awaitable<void> ProbePrimary();
  asio::awaitable<std::optional<Position>> AskIfPrimary(EndpointPtr endpoint, TimePoint deadline);
  std::size_t LinkLimit() const;

  GatewayContext& m_context;
  const GroupId m_id;
  GroupSettings m_settings;
  Share m_share;
  std::map<EndpointId, EndpointPtr> m_endpoints;
  std::vector<DepartedServer> m_departed;
  std::optional<Position> m_departed_position;
  // As above, from rosters of other processes.
  std::optional<Position> m_expected_position;
  // Every process that was listed or expected, which is in `m_endpoints` or has departed.
  std::set<std::pair<EndpointId, std::int64_t>> m_known_processes;
  std::optional<TimePoint> m_first_listed;
  BootTime m_first_listed_at;
  TimePoint m_list_settles_at;
  std::function<ServerListProof()> m_list_proof;
  TimePoint m_connection_limit_seen_at;
  std::optional<EndpointId> m_primary;
  // The server that last answered as the primary, also after it was lost.
  EndpointPtr m_latest_primary;
  Term m_term;
  WatermarkHistory m_watermarks;
  Position m_acknowledged;
  BootTime m_acknowledged_at;
  // The position for which a missing commit was last reported.
  Position m_reported_missing;
  PrimaryHealth m_health;
  TimePoint m_last_primary_answer_at;
  // When the latest request was sent that a server answered as the primary.
  BootTime m_primary_asked_at;
  // Since when no primary has answered.
  std::optional<TimePoint> m_lost_since;
  bool m_searching = false;
  bool m_probing = false;
  bool m_stopped = false;
  Notifier m_changed;
};

}  // namespace cardamom
