// What this proxy knows of a database group, and how it reaches its servers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async/notifier.h"
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
  int failures = 0;
  // Since when acknowledgements of commits have been outstanding, if one is overdue.
  std::optional<TimePoint> stalled_since;
};

// A server that the list no longer shows though it had not announced to leave: it may only be cut
// off from the store, and still acknowledge commits.
struct DepartedServer {
  std::shared_ptr<Endpoint> endpoint;
  TimePoint since;
  // The same server has started anew, without its log.
  bool reborn = false;
  // It was the primary: what it alone held was never acknowledged.
  bool was_primary = false;
};

// What a change of primary asks of a server. A value type.
struct ControlOrder {
  EndpointOperation operation = EndpointOperation::kStatus;
  Term term;
  // Sent before this time or not at all.
  std::optional<BootTime> valid_until;
  // Only on a link that was opened before this time, which leads to the same incarnation.
  std::optional<TimePoint> opened_before;
};

// Not thread safe: all use is on the thread of the context.
class GroupClient : public std::enable_shared_from_this<GroupClient> {
 public:
  using EndpointPtr = std::shared_ptr<Endpoint>;

  GroupClient(GatewayContext& context, GroupId id);

  const GroupId& id() const { return m_id; }

  // Takes the newest list of the group's servers and its settings.
  void Update(const std::vector<EndpointEntry>& entries, const GroupSettings& settings);
  // How this proxy shares the servers with the others.
  struct Share {
    // Links that it may hold to each server.
    std::size_t links = 1;
    // Proxies that hold links.
    std::size_t homes = 1;
    // Every proxy of the fleet does, with a few links each, which bound its work by themselves.
    bool direct = false;
  };
  void SetShare(const Share& share);

  // Starts the watch over the primary.
  void Start();
  void Stop();

  // Whether the statement can be served from here now: by the primary if it `needs_primary`, else
  // by any server as long as a watermark sample asked for after `not_before` is known.
  bool CanServe(bool needs_primary, BootTime not_before) const;

  // Whether a statement is in progress at one of the servers. An open transaction does not count:
  // it keeps its link to the end.
  bool IsBusy() const;

  // Whether `endpoint` has been leaving for so long that it may get no more statements.
  bool IsDrained(const Endpoint& endpoint) const;

  // The primary, if known and not known to be failing.
  EndpointPtr primary() const;
  // Waits for a primary other than one that fails. Returns nullptr at `deadline`, or once none has
  // answered for longer than any change of primary takes: more waiting would only hold callers up.
  asio::awaitable<EndpointPtr> WaitForPrimary(TimePoint deadline);

  // The servers to ask for a read that needs `position`, best first, without those in `tried`.
  std::vector<EndpointPtr> ServersForRead(std::optional<Position> position,
                                          const std::vector<EndpointId>& tried) const;

  // Sees to it that a watermark sample asked for after `not_before` exists; returns the least
  // position that covers it, or nothing at `deadline`.
  asio::awaitable<std::optional<Position>> Watermark(BootTime not_before, TimePoint deadline);

  // Notes of answers.
  void OnPrimaryAnswer(const EndpointPtr& endpoint, BootTime asked_at, Position position);
  void OnReplicaAnswer(const EndpointPtr& endpoint, Position applied);
  void OnReplicaBehind(const EndpointPtr& endpoint, Position needed);
  void OnLostLead(const EndpointPtr& endpoint);
  // A link failed or could not be opened. A server that is only too busy is left as it is.
  void OnLinkFailure(const EndpointPtr& endpoint, const Error& error);
  // As above, for a statement: without an answer in time the primary may only be busy, so it is
  // asked whether it still leads before anything is believed.
  void OnStatementFailure(const EndpointPtr& endpoint, const Error& error);
  // Drops the evidence of overdue commits: the matter was looked into.
  void ForgetStall() { m_health.stalled_since.reset(); }
  // Starts the evidence against the primary anew: this VM stood still meanwhile.
  void ForgetFailures();
  // A commit was sent at `since` and has no answer yet.
  void OnCommitOverdue(TimePoint since);

  const std::map<EndpointId, EndpointPtr>& endpoints() const { return m_endpoints; }
  EndpointPtr Find(const EndpointId& id) const;
  // Servers that departed within the last half minute.
  std::vector<DepartedServer> Departed() const;
  // All servers as the list shows them.
  GroupCensus Census() const;
  // The list of servers has been read for long enough to be whole.
  bool IsListSettled() const;
  // A server said within the last second that it has no connection to spare: it is alive.
  bool IsAtConnectionLimit() const;
  // Until when a lost primary is waited for, if it is lost: any change of primary is over by then.
  std::optional<TimePoint> WaitLimit() const;
  const PrimaryHealth& health() const { return m_health; }
  const std::optional<EndpointId>& primary_id() const { return m_primary; }
  Term term() const { return m_term; }
  const WatermarkHistory& watermarks() const { return m_watermarks; }
  const GroupSettings& settings() const { return m_settings; }

  // Asks `endpoint` whether it leads: opens and ends an empty transaction, which takes no slot.
  // Returns the position if it does. One question at a time is under way; further ones wait for it.
  asio::awaitable<std::optional<Position>> ProbeLead(EndpointPtr endpoint, TimePoint deadline);

  // Sends one request on a control link. Errors: as LinkOpener, kDeadlineExpired, and kBadAnswer
  // for an answer without a status.
  asio::awaitable<Outcome<EndpointStatus>> Control(EndpointPtr endpoint,
                                                   ControlOrder order,
                                                   TimePoint deadline);

 private:
  // The primary once `usable` holds, or nullptr at `deadline`.
  asio::awaitable<EndpointPtr> WaitFor(std::function<bool()> usable, TimePoint deadline);
  void AddEndpoint(const EndpointEntry& entry);
  // Drops the servers that `listed` does not show.
  void DropMissing(const std::map<EndpointId, const EndpointEntry*>& listed);
  void NotePrimaryLost();
  void SetPrimary(const EndpointPtr& endpoint, Term term, const char* source);
  asio::awaitable<void> Watch();
  // Probes every server until one leads. One search runs at a time.
  asio::awaitable<void> SearchPrimary();
  void StartSearch();
  // Those that claim to lead go first; on doubt all are asked.
  std::vector<EndpointPtr> ServersToSearch(bool first_round) const;
  asio::awaitable<void> ProbePrimary();
  asio::awaitable<std::optional<Position>> AskLead(EndpointPtr endpoint, TimePoint deadline);
  std::size_t LinkLimit() const;

  GatewayContext& m_context;
  const GroupId m_id;
  GroupSettings m_settings;
  Share m_share;
  std::map<EndpointId, EndpointPtr> m_endpoints;
  std::vector<DepartedServer> m_departed;
  std::optional<TimePoint> m_first_listed;
  TimePoint m_limit_seen;
  std::optional<EndpointId> m_primary;
  Term m_term;
  WatermarkHistory m_watermarks;
  PrimaryHealth m_health;
  TimePoint m_last_contact;
  // When the answer that named the present primary was asked for.
  BootTime m_lead_asked_at;
  // Since when no primary has answered.
  std::optional<TimePoint> m_lost_since;
  bool m_searching = false;
  bool m_probing = false;
  bool m_stopped = false;
  Notifier m_changed;
};

}  // namespace cardamom
