#include "limits/admission_queue.h"

#include <algorithm>
#include <cassert>

namespace cardamom {

AdmissionQueue::Decision AdmissionQueue::RequestAdmission(Priority priority,
                                                          TimePoint deadline,
                                                          TimePoint now,
                                                          std::size_t limit,
                                                          Duration expected_wait) {
  if (deadline <= now) {
    return {Admission::kRefused, 0};
  }
  const Ticket ticket = m_next_ticket++;
  if (m_running < limit && m_waiting.empty()) {
    ++m_running;
    return {Admission::kRun, ticket};
  }
  if (now + expected_wait >= deadline) {
    return {Admission::kRefused, 0};
  }
  std::optional<Ticket> evicted;
  if (m_waiting.size() >= m_capacity) {
    // Evicts the newest request of the lowest priority if the new request has a higher one.
    const auto last = m_waiting.empty() ? m_waiting.end() : std::prev(m_waiting.end());
    if (last == m_waiting.end() || last->first.first <= priority) {
      return {Admission::kRefused, 0};
    }
    evicted = last->first.second;
    m_waiting.erase(last);
  }
  m_waiting.emplace(QueueKey{priority, ticket}, Waiter{deadline});
  return {Admission::kQueued, ticket, evicted};
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::OnRequestFinished(TimePoint now,
                                                                      std::size_t limit) {
  assert(m_running > 0);
  --m_running;
  std::vector<Ticket> admitted;
  while (m_running < limit && !m_waiting.empty()) {
    const auto first = m_waiting.begin();
    if (first->second.deadline > now) {
      ++m_running;
      admitted.push_back(first->first.second);
    }
    m_waiting.erase(first);
  }
  return admitted;
}

bool AdmissionQueue::Cancel(Ticket ticket) {
  return std::erase_if(m_waiting,
                       [ticket](const auto& item) { return item.first.second == ticket; }) > 0;
}

}  // namespace cardamom
