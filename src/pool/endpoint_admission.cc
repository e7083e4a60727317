#include "pool/endpoint_admission.h"

#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamom {
namespace {

// Weight of a new latency in the moving average: 1 / 16.
constexpr int kAverageDivisor = 16;

}  // namespace

EndpointAdmission::Permit::Permit(std::shared_ptr<EndpointAdmission> admission,
                                  std::size_t in_progress)
    : m_admission(std::move(admission)), m_in_progress(in_progress) {}

EndpointAdmission::Permit::~Permit() {
  if (m_admission != nullptr) {
    m_admission->Release();
  }
}

void EndpointAdmission::Permit::OnSuccess() {
  const auto latency = Clock::now() - m_start;
  const std::lock_guard lock(m_admission->m_mutex);
  m_admission->m_limit.OnResponse(latency, m_in_progress);
  m_admission->m_average_latency += (latency - m_admission->m_average_latency) / kAverageDivisor;
}

void EndpointAdmission::Permit::OnOverload() {
  const std::lock_guard lock(m_admission->m_mutex);
  m_admission->m_limit.OnOverload();
}

EndpointAdmission::EndpointAdmission(const ConcurrencyLimit::Options& limit,
                                     std::size_t queue_capacity,
                                     Millis max_read_wait)
    : m_max_read_wait(max_read_wait), m_limit(limit), m_queue(queue_capacity) {}

Duration EndpointAdmission::ExpectedWait() const {
  return m_average_latency * (m_queue.waiting() + 1) / std::max<std::size_t>(1, m_limit.limit());
}

EndpointAdmission::Timer EndpointAdmission::SetWaiterState(AdmissionQueue::Ticket ticket,
                                                           State state) {
  const auto it = m_waiters.find(ticket);
  if (it == m_waiters.end()) {
    return nullptr;
  }
  it->second.state = state;
  return it->second.timer;
}

void EndpointAdmission::Wake(const Timer& timer) {
  if (timer != nullptr) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

asio::awaitable<Outcome<EndpointAdmission::Permit>> EndpointAdmission::Acquire(Priority priority,
                                                                               TimePoint deadline) {
  auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
  AdmissionQueue::Decision decision;
  Timer evicted;
  std::size_t in_progress = 0;
  {
    const std::lock_guard lock(m_mutex);
    if (priority == Priority::kRead) {
      deadline = std::min(deadline, Clock::now() + m_max_read_wait);
    }
    decision =
        m_queue.RequestAdmission(priority, deadline, Clock::now(), m_limit.limit(), ExpectedWait());
    if (decision.admission == Admission::kQueued) {
      m_waiters.emplace(decision.ticket, Waiter{timer});
    }
    if (decision.evicted) {
      evicted = SetWaiterState(*decision.evicted, State::kEvicted);
    }
    in_progress = m_queue.running();
  }
  Wake(evicted);
  if (decision.admission == Admission::kRefused) {
    co_return Error{ResultCode::kOverloaded, "the queue of the endpoint is full"};
  }
  if (decision.admission == Admission::kRun) {
    co_return Permit(shared_from_this(), in_progress);
  }
  timer->expires_at(deadline);
  // If the decision was made before the wait began, the cancellation was posted to this strand and
  // runs once the wait has begun.
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  const std::lock_guard lock(m_mutex);
  const auto state = m_waiters.at(decision.ticket).state;
  m_waiters.erase(decision.ticket);
  if (state == State::kAdmitted) {
    co_return Permit(shared_from_this(), m_queue.running());
  }
  m_queue.Cancel(decision.ticket);
  co_return Error{ResultCode::kOverloaded, state == State::kEvicted
                                               ? "work of a higher priority took the place"
                                               : "no place before the deadline"};
}

void EndpointAdmission::Release() {
  std::vector<Timer> timers;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto ticket : m_queue.OnRequestFinished(Clock::now(), m_limit.limit())) {
      timers.push_back(SetWaiterState(ticket, State::kAdmitted));
    }
  }
  for (const auto& timer : timers) {
    Wake(timer);
  }
}

std::size_t EndpointAdmission::outstanding() const {
  const std::lock_guard lock(m_mutex);
  return m_queue.running() + m_queue.waiting();
}

std::size_t EndpointAdmission::limit() const {
  const std::lock_guard lock(m_mutex);
  return m_limit.limit();
}

}  // namespace cardamom
