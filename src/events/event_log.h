// The log and the bounded ring of events that feeds the time line.
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

// What an event is about; empty members are left out of the log line.
struct EventSubject {
  GroupId group;
  EndpointId endpoint;
  Term term;
  LogIndex index;
  std::string request;
  std::string detail;
};

// One event as the time line shows it. `time_ms` and `logical` form a hybrid logical clock.
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

// Thread safe. Its lock is a leaf in the lock order.
class EventLog {
 public:
  EventLog(VmId vm, std::size_t capacity);

  // Sets up the process-wide logger. `level` is one of debug, info, warn, error.
  static void ConfigureLogging(LogFormat format, const std::string& level);

  // As ConfigureLogging, but lines wait in a queue of at most `queue_bytes` and no call ever waits
  // for the reader: lines beyond the queue are dropped and counted.
  static void ConfigureBoundedLogging(LogFormat format,
                                      const std::string& level,
                                      std::size_t queue_bytes);
  // Changes the level of the process-wide logger. Thread safe.
  static void SetLevel(const std::string& level);
  // Writes what the reader takes at once. Thread safe.
  static void FlushLog();

  // Logs the event and adds it to the ring.
  void Emit(EventCode code, const EventSubject& subject = {});

  // Moves the clock past `time_ms`, taken from a message of another process.
  void Witness(std::int64_t time_ms);

  // Wall-clock part of the hybrid logical clock, for outgoing messages.
  std::int64_t Now();

  // The events in the ring, oldest first.
  std::vector<Event> Snapshot() const;

 private:
  // Requires m_mutex.
  void Advance();

  const VmId m_vm;
  const std::size_t m_capacity;
  mutable std::mutex m_mutex;
  std::int64_t m_time_ms = 0;
  std::uint64_t m_logical = 0;
  std::deque<Event> m_ring;
};

}  // namespace cardamom
