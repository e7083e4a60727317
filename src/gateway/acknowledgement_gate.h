// Holds acknowledgements of commits back while a takeover is under way.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "async/notifier.h"
#include "events/event_log.h"
#include "failover/acknowledgement_hold.h"

namespace cardamom {

// Every acknowledgement of a commit of one group passes its gate before the caller, or the proxy
// that forwarded the statement, is told. Not thread safe.
class AcknowledgementGate {
 public:
  // `events` and `has_lease` must outlive the gate.
  AcknowledgementGate(EventLog& events, GroupId group, const std::function<bool()>& has_lease);

  // See AcknowledgementHold.
  bool Hold(std::uint64_t token);
  bool Release(const HoldRelease& release);
  const AcknowledgementHold& hold() const { return m_hold; }
  // See HasAcknowledgementLease.
  bool HasLease() const { return m_has_lease(); }
  // The greatest token seen and whether acknowledgements are held back, for a log line.
  std::string Describe() const;

  // Whether a witness has received the commit by `deadline`, see failover/acknowledgement_lease.h.
  using FindWitness = std::function<asio::awaitable<bool>(Position commit, TimePoint deadline)>;

  // Waits while acknowledgements are held back and, while this proxy has no lease, for a witness of
  // the commit. Returns false if the commit may be missing in the log of the present primary, or
  // neither is there by `deadline`: the outcome of the statement is unknown then. `find_witness` is
  // empty if another proxy has passed the acknowledgement on to this one.
  asio::awaitable<bool> PassOn(AcknowledgedCommit commit,
                               TimePoint deadline,
                               FindWitness find_witness = {});

  // Waits until no acknowledgement is held back: a commit that is sent before would only wait for
  // its acknowledgement. Returns false if the hold has not ended by `deadline`, or is not expected
  // to end soon.
  asio::awaitable<bool> WaitUntilOpen(TimePoint deadline);

 private:
  // Waits until no acknowledgement is held back, and returns whether `commit` stands.
  asio::awaitable<bool> WaitForHold(AcknowledgedCommit commit, TimePoint deadline);
  // The acknowledgement that was passed on last.
  std::string DescribeLast() const;
  // How the acknowledgements that wait are judged now that the hold has ended.
  std::string DescribeWaiting() const;

  EventLog& m_events;
  const GroupId m_group;
  const std::function<bool()>& m_has_lease;
  AcknowledgementHold m_hold;
  // The acknowledgements that wait.
  std::list<AcknowledgedCommit> m_waiting;
  // How many have been passed on, which one last and when, and how many were given up while they
  // were held, all for log lines.
  std::uint64_t m_passed_on = 0;
  AcknowledgedCommit m_last;
  TimePoint m_last_at;
  std::size_t m_given_up = 0;
  Notifier m_changed;
};

// The gates of all groups. A gate stays when its group is closed at this proxy. Not thread safe.
class AcknowledgementGates {
 public:
  // `events` must outlive the object.
  explicit AcknowledgementGates(EventLog& events) : m_events(events) {}

  // The gate of `group`, which is created if there is none. Valid as long as the object.
  AcknowledgementGate& Of(const GroupId& group);

  // Sets the function that tells whether this proxy has a lease, see HasAcknowledgementLease. It
  // has one always if none is set.
  void set_has_lease(std::function<bool()> hook) { m_has_lease = std::move(hook); }

 private:
  EventLog& m_events;
  std::function<bool()> m_has_lease = [] { return true; };
  std::map<GroupId, std::unique_ptr<AcknowledgementGate>> m_gates;
};

}  // namespace cardamom
