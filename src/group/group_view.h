// The state of a database group as one proxy observes it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cardamom/group_record.h"
#include "core/clock.h"
#include "endpoint/endpoint_messages.h"
#include "group/term_note.h"

namespace cardamom {

// Derives the commit watermark and the age of data from the states that servers report. A server's
// lineage is the term of the primary whose log it follows. Performs no I/O: the time is passed in.
// Not thread safe.
class GroupView {
 public:
  // The latest observed state of one server.
  struct Server {
    ServerState state;
    // When the request that returned `state` was sent, and when the last answer arrived.
    TimePoint request_sent_at;
    TimePoint response_received_at;
    // When the last request was sent whose answer showed no fence above the current term.
    std::optional<TimePoint> last_unfenced_at;
    bool reachable = false;
    // When the first request that failed after the last answer was sent.
    std::optional<TimePoint> failing_since;
    // The last failure was a refused connection: no process listens at the address.
    bool connection_refused = false;
  };

  // Records the state that a server reported in answer to a request sent at `sent`. If its lineage
  // is greater than term(), term() becomes that lineage. Returns whether that was so.
  bool Observe(const ServerState& state, TimePoint sent, TimePoint received);

  // Records that a request to `endpoint`, sent at `sent`, failed; `refused` if the connection was
  // refused.
  void ObserveFailure(const EndpointId& endpoint, TimePoint sent, bool refused);

  // Records that `endpoint` holds `position`, as one of its answers showed.
  void ObserveHeld(const EndpointId& endpoint, Position position);

  // Records that `term` exists, for example because a session token names it. Returns whether it is
  // greater than every term observed before.
  bool ObserveTerm(Term term);

  // Removes servers that are neither listed in `record` nor voters of term().
  void RemoveUnlisted(const GroupRecord& record);

  // Greatest lineage observed; 0 before the first.
  Term term() const { return m_term; }
  // Greatest term observed; it exceeds term() while this view is out of date or a promotion is not
  // finished.
  Term latest_observed_term() const { return m_latest_observed_term; }
  // Primary of term(); nothing before the first term.
  std::optional<EndpointId> primary() const;
  const std::vector<EndpointId>& voters() const { return m_note.voters; }
  const std::map<EndpointId, Server>& servers() const { return m_servers; }
  // The server, or nullptr; valid until this view changes.
  const Server* Find(const EndpointId& endpoint) const;

  // Commit watermark: a majority of a term's voters was observed to hold every entry up to this
  // index while following the term. Never decreases.
  LogIndex committed() const { return m_committed; }
  // Whether the first entry of term() is committed.
  bool IsTermComplete() const;
  // Whether `position` is committed in term(); false for positions of other terms.
  bool IsCommitted(Position position) const;

  // Latest time at which the primary is known to have still been the primary, if any.
  std::optional<TimePoint> ConfirmedAt() const;

  // Index that a server must have applied for its data to be at most `age` old at `now`; nothing if
  // no sample, or no confirmation of the primary, is recent enough.
  std::optional<LogIndex> IndexForAge(Duration age, TimePoint now) const;

  // Estimate of the time by which `endpoint` lags behind the primary; nothing if it does not follow
  // term() or there is no sample.
  std::optional<Duration> LagOf(const EndpointId& endpoint, TimePoint now) const;

 private:
  struct Sample {
    TimePoint sent;
    LogIndex index;
  };

  void AdoptTerm(const ServerState& state);
  void UpdateCommitted();
  void TakeSample(const ServerState& state, TimePoint sent);

  Term m_term;
  Term m_latest_observed_term;
  TermNote m_note;
  LogIndex m_term_start;
  LogIndex m_committed;
  std::map<EndpointId, Server> m_servers;
  std::deque<Sample> m_samples;
};

}  // namespace cardamom
