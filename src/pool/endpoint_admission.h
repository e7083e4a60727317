// Admission control for one endpoint.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "async/notifier.h"
#include "cardamom/error.h"
#include "limits/admission_queue.h"
#include "limits/concurrency_limit.h"

namespace cardamom {

// Limits the requests that this proxy has in progress at one endpoint; others wait in a bounded
// queue. Must be owned by a std::shared_ptr. Thread safe. Its lock is a leaf in the lock order: no
// other lock is taken under it.
class EndpointAdmission : public std::enable_shared_from_this<EndpointAdmission> {
 public:
  // Permission to have one request in progress; its destruction ends the request and admits waiting
  // ones.
  class Permit {
   public:
    Permit(std::shared_ptr<EndpointAdmission> admission, std::size_t in_progress);
    ~Permit();
    Permit(Permit&&) noexcept = default;
    Permit& operator=(Permit&&) = delete;

    // Report to the adaptive limit that the request was answered, or that the endpoint was
    // overloaded.
    void OnSuccess();
    void OnOverload();

   private:
    std::shared_ptr<EndpointAdmission> m_admission;
    TimePoint m_start = Clock::now();
    std::size_t m_in_progress;
  };

  // At most `queue_capacity` requests wait, each until its deadline, and a read for at most
  // `max_read_wait`. A request that is expected to wait longer than it may is refused at once.
  EndpointAdmission(const ConcurrencyLimit::Options& limit,
                    std::size_t queue_capacity,
                    Millis max_read_wait);

  // Waits for admission until `deadline`. Errors: kOverloaded with Ran::kNo. Precondition: the
  // calling coroutine runs on a strand.
  asio::awaitable<Outcome<Permit>> Acquire(Priority priority, TimePoint deadline);

  // Number of requests in progress and waiting.
  std::size_t outstanding() const;
  // Number of requests that may be in progress now.
  std::size_t limit() const;

 private:
  using Timer = std::shared_ptr<asio::steady_timer>;
  enum class State { kWaiting, kAdmitted, kEvicted };
  struct Waiter {
    Timer timer;
    State state = State::kWaiting;
  };

  void Release();
  // Requires m_mutex. Returns the timer to cancel after the lock is released.
  Timer SetWaiterState(AdmissionQueue::Ticket ticket, State state);
  static void Wake(const Timer& timer);
  // Requires m_mutex.
  Duration ExpectedWait() const;

  const Millis m_max_read_wait;
  mutable std::mutex m_mutex;
  ConcurrencyLimit m_limit;
  AdmissionQueue m_queue;
  std::unordered_map<AdmissionQueue::Ticket, Waiter> m_waiters;
  Duration m_average_latency{};
};

}  // namespace cardamom
