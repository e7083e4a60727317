// What one proxy knows of a database group.
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

// Derives the commit watermark and the age of data from what servers say. Pure: the time is passed
// in. Not thread safe.
class GroupView {
 public:
  // What is known of one server.
  struct Server {
    ServerState state;
    // When the last answered question was sent and answered.
    TimePoint sent;
    TimePoint received;
    // When the last question that found the server unfenced in the current term was sent.
    std::optional<TimePoint> unfenced;
    bool reachable = false;
    // First of the failures since the last answer.
    std::optional<TimePoint> failing_since;
    // The last failure was a refused connection: nothing listens there.
    bool refused = false;
  };

  // Takes what a server said in answer to a question sent at `sent`. Returns whether a greater term
  // was learned.
  bool Observe(const ServerState& state, TimePoint sent, TimePoint received);

  // Notes that a question to `endpoint`, sent at `sent`, failed; `refused` if nothing listens
  // there.
  void ObserveFailure(const EndpointId& endpoint, TimePoint sent, bool refused);

  // Notes that `endpoint` holds `position`, as an answer of its own showed.
  void ObserveHeld(const EndpointId& endpoint, Position position);

  // Notes that a term exists, for example from a session token. Returns whether it was news.
  bool HearOfTerm(Term term);

  // Forgets servers that `record` does not name and that are no voters.
  void Keep(const GroupRecord& record);

  Term term() const { return m_term; }
  // Greatest term heard of; above term() while the view is old.
  Term heard_term() const { return m_heard_term; }
  // Primary of term(), if known.
  std::optional<EndpointId> primary() const;
  const std::vector<EndpointId>& voters() const { return m_note.voters; }
  const std::map<EndpointId, Server>& servers() const { return m_servers; }
  const Server* Find(const EndpointId& endpoint) const;

  // Every entry up to this index is held by a majority of the term's voters while they follow the
  // term.
  LogIndex committed() const { return m_committed; }
  // First entry of term() is committed.
  bool IsTermComplete() const;
  bool IsCommitted(Position position) const;

  // Time at which the primary was certainly still the primary, if any.
  std::optional<TimePoint> ConfirmedAt() const;

  // Index that a server must have applied for its data to be at most `age` old at `now`.
  std::optional<LogIndex> IndexForAge(Duration age, TimePoint now) const;

  // Estimate of the time by which `endpoint` lags behind the primary.
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
  Term m_heard_term;
  TermNote m_note;
  LogIndex m_start;
  LogIndex m_committed;
  std::map<EndpointId, Server> m_servers;
  std::deque<Sample> m_samples;
};

}  // namespace cardamom
