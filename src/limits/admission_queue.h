// Bounded queue of requests that wait for an endpoint.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace cardamom {

// A lower value is admitted first. Open transactions and writes precede reads, which another
// endpoint may serve.
enum class Priority { kTransaction = 0, kWrite = 1, kRead = 2 };

enum class Admission { kRun, kQueued, kRefused };

// Admits up to a limit of concurrent requests and queues further ones by priority, then by arrival.
// Performs no I/O: the time is passed in. Not thread safe.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;

  struct Decision {
    Admission admission = Admission::kRefused;
    Ticket ticket = 0;
    // A queued request of lower priority that was removed to make room for this one.
    std::optional<Ticket> evicted = std::nullopt;
  };

  // `capacity` is the maximum number of queued requests.
  explicit AdmissionQueue(std::size_t capacity) : m_capacity(capacity) {}

  // Admits, queues or refuses a new request; up to `limit` requests may run at once.
  // `expected_wait` is the time that a request at the end of the queue would wait. A request that
  // would have to wait past its deadline is refused immediately, and so is one that finds the queue
  // full without a request of lower priority.
  Decision RequestAdmission(Priority priority,
                            TimePoint deadline,
                            TimePoint now,
                            std::size_t limit,
                            Duration expected_wait);

  // Ends a running request. Returns the queued tickets that are admitted in its place; expired ones
  // are dropped from the queue. Precondition: a request is running.
  std::vector<Ticket> OnRequestFinished(TimePoint now, std::size_t limit);

  // Removes a queued request. Returns false if it is not in the queue, for example because it runs.
  bool Cancel(Ticket ticket);

  std::size_t running() const { return m_running; }
  std::size_t waiting() const { return m_waiting.size(); }

 private:
  struct Waiter {
    TimePoint deadline;
  };
  using QueueKey = std::pair<Priority, Ticket>;

  const std::size_t m_capacity;
  std::size_t m_running = 0;
  Ticket m_next_ticket = 1;
  std::map<QueueKey, Waiter> m_waiting;
};

}  // namespace cardamom
