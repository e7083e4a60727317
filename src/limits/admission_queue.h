// Bounded queue of requests that wait for an endpoint.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace cardamom {

// Open transactions and writes go before reads, which another endpoint may serve.
enum class Priority { kTransaction = 0, kWrite = 1, kRead = 2 };

enum class Admission { kRun, kQueued, kRefused };

// Pure. Not thread safe.
class AdmissionQueue {
 public:
  using Ticket = std::uint64_t;

  struct Decision {
    Admission admission = Admission::kRefused;
    Ticket ticket = 0;
    // A waiting request of lower priority that had to make room.
    std::optional<Ticket> evicted = std::nullopt;
  };

  // `capacity` bounds the waiting requests.
  explicit AdmissionQueue(std::size_t capacity) : m_capacity(capacity) {}

  // Decides on a new request while `limit` requests may run. `expected_wait` is the time that a
  // request at the end of the queue would wait; one that could not run before its deadline is
  // refused at once.
  Decision Enter(Priority priority,
                 TimePoint deadline,
                 TimePoint now,
                 std::size_t limit,
                 Duration expected_wait);

  // Ends a running request. Returns the tickets that run now; expired ones are dropped from the
  // queue.
  std::vector<Ticket> Leave(TimePoint now, std::size_t limit);

  // Takes a queued request out. Returns false if it is running already.
  bool Cancel(Ticket ticket);

  std::size_t running() const { return m_running; }
  std::size_t waiting() const { return m_waiting.size(); }

 private:
  struct Waiter {
    TimePoint deadline;
  };
  using Order = std::pair<Priority, Ticket>;

  const std::size_t m_capacity;
  std::size_t m_running = 0;
  Ticket m_next = 1;
  std::map<Order, Waiter> m_waiting;
};

}  // namespace cardamom
