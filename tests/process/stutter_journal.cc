#include "stutter_journal.h"

#include <utility>

namespace cardamom::stutter {

std::uint64_t Journal::NextNumber() {
  const std::lock_guard lock(m_mutex);
  return ++m_number;
}

void Journal::OnSent(SentStatement statement) {
  const std::lock_guard lock(m_mutex);
  auto id = statement.id;
  m_sent[std::move(id)] = std::move(statement);
}

void Journal::OnAnswered(const std::string& id, CallerAnswer answer) {
  const std::lock_guard lock(m_mutex);
  m_sent[id].answer = std::move(answer);
}

void Journal::OnRan(RanStatement statement) {
  const std::lock_guard lock(m_mutex);
  m_ran.push_back(std::move(statement));
}

void Journal::OnOperation(bool served) {
  const std::lock_guard lock(m_mutex);
  ++m_operations;
  m_served += served ? 1 : 0;
}

}  // namespace cardamom::stutter
