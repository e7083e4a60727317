// The event log: log lines, and a bounded ring buffer of events that is the source of the timeline.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "cardamom/event_code.h"
#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// What an event refers to. Empty members are omitted from a log line in text format.
struct EventSubject {
  GroupId group;
  EndpointId endpoint;
  Term term;
  LogIndex index;
  std::string request;
  std::string detail;
};

// One event of the timeline. `time_ms` (milliseconds since the Unix epoch) and `logical` are a
// timestamp of a hybrid logical clock.
struct Event {
  int code = 0;
  std::string name;
  std::int64_t time_ms = 0;
  std::uint64_t logical = 0;
  std::string vm;
  EventSubject subject;
};
BOOST_DESCRIBE_STRUCT(EventSubject, (), (group, endpoint, term, index, request, detail))
BOOST_DESCRIBE_STRUCT(Event, (), (code, name, time_ms, logical, vm, subject))

enum class LogFormat { kText, kJson };

// Thread safe except where noted. Its lock is a leaf in the lock order.
class EventLog {
 public:
  // `capacity` is the number of events that the ring buffer keeps.
  EventLog(VmId vm, std::size_t capacity);

  // Configures the process-wide logger. `level` is one of debug, info, warn and error; any other
  // value means info. Not thread safe: call it before the first event is emitted.
  static void ConfigureLogging(LogFormat format, const std::string& level);

  // Same as ConfigureLogging, but lines go through a queue of at most `max_queue_bytes`, and no
  // call blocks on the reader: lines that do not fit into the queue are dropped and counted.
  static void ConfigureBoundedLogging(LogFormat format,
                                      const std::string& level,
                                      std::size_t max_queue_bytes);
  // Changes the level of the process-wide logger. `level` as in ConfigureLogging.
  static void SetLevel(const std::string& level);
  // Writes queued lines as far as stdout accepts them without blocking. Does nothing unless
  // ConfigureBoundedLogging was called.
  static void FlushLog();

  // Adds the event to the ring buffer, dropping the oldest one if it is full, and logs it if its
  // level is enabled.
  void Emit(EventCode code, const EventSubject& subject = {});

  // Advances the hybrid logical clock to at least `time_ms`, the timestamp of a message from
  // another process, so that later events are ordered after that message.
  void ObserveTime(std::int64_t time_ms);

  // Advances the hybrid logical clock and returns its wall-clock part in milliseconds since the
  // Unix epoch, for outgoing messages.
  std::int64_t Now();

  // The events in the ring buffer, oldest first.
  std::vector<Event> Snapshot() const;

 private:
  // Requires m_mutex.
  void AdvanceClock();

  const VmId m_vm;
  const std::size_t m_capacity;
  mutable std::mutex m_mutex;
  std::int64_t m_time_ms = 0;
  std::uint64_t m_logical = 0;
  std::deque<Event> m_ring;
};

}  // namespace cardamom
