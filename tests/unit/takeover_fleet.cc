#include "takeover_fleet.h"

#include <algorithm>
#include <utility>

namespace cardamom::takeover_model {
namespace {

// A proxy that holds back acknowledgements for this long without news attempts a takeover.
constexpr std::int64_t kHoldOverdue = 2000;
// Longest time for which acknowledgements are held back, beyond that of a late order.
constexpr std::int64_t kMaxHold = 15'000;
constexpr std::int64_t kRepeatInterval = 60;
constexpr int kMaxMessageDelay = 5000;
constexpr int kMaxAnswerDelay = 3000;
constexpr int kMaxSuspension = 6000;
// Time left for an acknowledgement that needs a witness.
constexpr std::int64_t kWitnessDeadline = 4000;

}  // namespace

Position AcknowledgementGate::SendCommit(Term term) const {
  const auto known = m_known.term == term ? m_known.index.value() : 0;
  return {term, LogIndex(known + 1)};
}

bool AcknowledgementGate::IsValid(const Answer& answer) const {
  // A later term may have begun with less of an older one than the last base shows.
  const bool kept = answer.log_end.term == m_base.term && answer.log_end <= m_base;
  return answer.log_end.term >= m_term || kept || m_world.IsDisabled(Rule::kReleaseTerm);
}

void AcknowledgementGate::PassOn(const Answer& answer) {
  if (!IsValid(answer)) {
    return m_world.Trace("vm-{} leaves commit {} in doubt", m_index, answer.commit);
  }
  if (!HasLease() && !answer.is_witnessed) {
    m_unwitnessed.push_back(answer);
    m_unwitnessed.back().deadline = m_world.now() + kWitnessDeadline;
    return;
  }
  m_passed_on.at_least = std::max(m_passed_on.at_least, answer.at_least);
  m_passed_on.at_most = std::max(m_passed_on.at_most, answer.log_end);
  m_group.AcknowledgeToCaller(answer.commit);
}

// A hold may begin between the answer of a witness and the next step.
void AcknowledgementGate::LookForWitnesses() {
  for (auto& answer : std::exchange(m_unwitnessed, {})) {
    if (answer.is_witnessed && m_held_since) {
      m_waiting.push_back(answer);
    } else if (answer.is_witnessed) {
      PassOn(answer);
    } else if (m_world.now() < answer.deadline) {
      answer.is_witnessed = m_world.PickForFleet(3) == 0 && m_view->IsWitnessed(answer.log_end);
      m_unwitnessed.push_back(answer);
    }
  }
}

void AcknowledgementGate::Deliver(int commit, Position at_least, Position log_end) {
  m_known = std::max(m_known, log_end);
  const Answer answer{commit, at_least, log_end, false, 0};
  if (m_held_since) {
    m_waiting.push_back(answer);
  } else {
    PassOn(answer);
  }
}

std::optional<PassedOn> AcknowledgementGate::Hold(std::uint64_t token) {
  const bool outdated = token < m_greatest_token || token <= m_released_token;
  if (outdated && !m_world.IsDisabled(Rule::kHoldsGrow)) {
    return std::nullopt;
  }
  m_news_at = token > m_greatest_token ? m_world.now() : m_news_at;
  m_greatest_token = std::max(m_greatest_token, token);
  if (!m_world.IsDisabled(Rule::kHoldAcknowledgements)) {
    m_first_token = m_held_since ? m_first_token : token;
    m_held_since = m_held_since.value_or(m_world.now());
  }
  return m_passed_on;
}

void AcknowledgementGate::HandleRelease(const Release& release) {
  if (release.token < m_greatest_token) {
    return;
  }
  if (release.term > m_term) {
    m_base = release.base.value_or(m_base);
    m_term = *release.term;
    if (release.base && m_passed_on.at_most.term < release.term) {
      m_passed_on.at_least = std::min(m_passed_on.at_least, *release.base);
      m_passed_on.at_most = std::min(m_passed_on.at_most, *release.base);
    }
  }
  if (!m_held_since && m_view == nullptr) {
    return;
  }
  m_greatest_token = release.token;
  m_released_token = release.token;
  if (!m_held_since) {
    return;
  }
  m_held_since.reset();
  // A server may have been promoted after an earlier hold.
  if (!release.term && m_first_token != release.token && !m_world.IsDisabled(Rule::kReleaseTerm)) {
    m_waiting.clear();
  }
  m_world.Trace("vm-{} releases {} acknowledgements at token {}", m_index, m_waiting.size(),
                release.token);
  for (const auto& answer : std::exchange(m_waiting, {})) {
    PassOn(answer);
  }
}

void AcknowledgementGate::HandleNotice(const Notice& notice) {
  if (notice.released) {
    HandleRelease(notice.release);
  } else if (notice.release.token > m_greatest_token) {
    Hold(notice.release.token);
    m_world.Trace("vm-{} has read the notice of token {}", m_index, notice.release.token);
  }
}

bool AcknowledgementGate::is_overdue() const {
  return m_held_since && m_world.now() - m_news_at > kHoldOverdue;
}

void AcknowledgementGate::Advance() {
  if (m_held_since && m_world.now() - m_news_at > kMaxHold) {
    m_world.Trace("the hold of vm-{} expires", m_index);
    m_held_since.reset();
    // The statements have reached their deadlines.
    m_waiting.clear();
  }
  if (!is_suspended()) {
    LookForWitnesses();
  }
}

Fleet::Fleet(World& world, Group& group, Store& store)
    : m_world(world), m_group(group), m_store(store) {
  // The servers at the start have been listed for long.
  Start(0);
}

void Fleet::Restart() {
  Start(m_world.now());
}

void Fleet::Start(std::int64_t listed_since) {
  m_gates.clear();
  m_views.clear();
  for (int i = 0; i < kFleetSize; ++i) {
    m_views.emplace_back(m_world, m_group, m_store, i, listed_since);
  }
  for (std::size_t i = 0; i < kFleetSize; ++i) {
    const auto* view = m_world.options().unreachable_proxies ? &m_views[i] : nullptr;
    m_gates.emplace_back(m_world, m_group, static_cast<int>(i), view);
  }
  m_writers.clear();
  for (std::size_t i = 0; i < m_answers.size(); ++i) {
    m_writers.emplace_back(m_world, m_store);
  }
  m_sent.clear();
  m_acknowledgements.clear();
  m_messages.clear();
  m_answers = {};
}

void Fleet::SendCommit(int commit, Term term) {
  const int gate = m_world.PickForFleet(kFleetSize);
  m_sent.push_back({commit, gate, m_gates[static_cast<std::size_t>(gate)].SendCommit(term)});
}

void Fleet::Acknowledge(int commit, Position log_end) {
  const auto sent = std::find_if(m_sent.begin(), m_sent.end(),
                                 [&](const Commit& other) { return other.commit == commit; });
  if (sent == m_sent.end()) {
    // Its proxy has restarted.
    return;
  }
  const bool slow = m_world.PickForFleet(8) == 0;
  const auto delay = m_world.PickForFleet(slow ? kMaxAnswerDelay : 40);
  m_acknowledgements.push_back({*sent, log_end, m_world.now() + delay});
  m_sent.erase(sent);
}

std::int64_t Fleet::MessageDelay() {
  if (!m_world.options().delayed_requests) {
    return m_world.PickForFleet(20);
  }
  const int kind = m_world.PickForFleet(24);
  return m_world.PickForFleet(kind == 0 ? kMaxMessageDelay : kind < 4 ? 300 : 30);
}

void Fleet::Send(Message message) {
  if (!Reaches(message.from, message.to)) {
    return;
  }
  const bool lost = m_world.options().delayed_requests && m_world.PickForFleet(16) == 0;
  message.at = m_world.now() + (message.from == message.to ? 0 : MessageDelay());
  if (!lost || message.from == message.to) {
    m_messages.push_back(message);
  }
}

void Fleet::SendHold(int from, int to) {
  Send({from, to, std::nullopt, m_answers[static_cast<std::size_t>(from)].token, 0});
}

void Fleet::BeginHold(int from, std::uint64_t token, bool posts_notice) {
  if (posts_notice) {
    m_writers[static_cast<std::size_t>(from)].Post(token);
  }
  auto& answers = m_answers[static_cast<std::size_t>(from)];
  answers = {};
  answers.token = token;
  answers.repeat_at = m_world.now() + kRepeatInterval;
  for (int to = 0; to < kFleetSize; ++to) {
    SendHold(from, to);
  }
}

void Fleet::RepeatHold(int from) {
  auto& answers = m_answers[static_cast<std::size_t>(from)];
  if (m_world.now() < answers.repeat_at) {
    return;
  }
  answers.repeat_at = m_world.now() + kRepeatInterval;
  for (int to = 0; to < kFleetSize; ++to) {
    if (!answers.positions[static_cast<std::size_t>(to)]) {
      SendHold(from, to);
    }
  }
}

bool Fleet::HasAllAnswers(int from) const {
  for (int to = 0; to < kFleetSize; ++to) {
    const auto& answers = m_answers[static_cast<std::size_t>(from)];
    if (!answers.positions[static_cast<std::size_t>(to)]) {
      return false;
    }
  }
  return true;
}

bool Fleet::IsRefused(int from) const {
  return m_answers[static_cast<std::size_t>(from)].refused;
}

PassedOn Fleet::HighestReported(int from) const {
  PassedOn highest;
  for (const auto& position : m_answers[static_cast<std::size_t>(from)].positions) {
    const auto passed_on = position.value_or(PassedOn());
    highest.at_least = std::max(highest.at_least, passed_on.at_least);
    highest.at_most = std::max(highest.at_most, passed_on.at_most);
  }
  return highest;
}

void Fleet::SendRelease(int from, const Release& release) {
  for (int to = 0; to < kFleetSize; ++to) {
    Send({from, to, release, release.token, 0});
  }
  if (m_world.options().unreachable_proxies) {
    const auto holder = static_cast<std::size_t>(from);
    m_writers[holder].PostRelease(release, m_views[holder].followed());
  }
}

void Fleet::Advance() {
  if (m_world.options().suspensions && m_world.PickForFleet(400) == 0) {
    Suspend(m_world.PickForFleet(kFleetSize), m_world.PickForFleet(kMaxSuspension));
  }
  if (m_world.options().unreachable_proxies && m_world.PickForFleet(100) == 0) {
    ChangeReach();
  }
  if (m_world.options().unreachable_proxies) {
    FollowStore();
  }
  // A proxy that was suspended handles in any order what has arrived meanwhile.
  if (m_world.PickForFleet(2) == 0) {
    DeliverMessages();
    DeliverAcknowledgements();
  } else {
    DeliverAcknowledgements();
    DeliverMessages();
  }
  for (auto& gate : m_gates) {
    gate.Advance();
  }
}

void Fleet::FollowStore() {
  for (std::size_t i = 0; i < m_views.size(); ++i) {
    if (m_gates[i].is_suspended()) {
      continue;
    }
    m_views[i].Advance();
    const auto notice = m_views[i].TakeNotice();
    if (notice) {
      m_gates[i].HandleNotice(*notice);
    }
    if (i < m_writers.size()) {
      m_writers[i].Advance(m_views[i].followed());
    }
  }
}

void Fleet::ChangeReach() {
  const auto from = static_cast<std::size_t>(m_world.PickForFleet(2));
  const auto to = static_cast<std::size_t>(m_world.PickForFleet(kFleetSize));
  if (from != to) {
    m_unreachable[from][to] = !m_unreachable[from][to] && m_world.PickForFleet(3) == 0;
    m_world.Trace("vm-{} {} vm-{}", from, m_unreachable[from][to] ? "does not reach" : "reaches",
                  to);
  }
}

void Fleet::DeliverMessages() {
  std::erase_if(m_messages, [this](const Message& message) {
    auto& gate = m_gates[static_cast<std::size_t>(message.to)];
    if (m_world.now() < message.at || gate.is_suspended()) {
      return false;
    }
    if (message.release) {
      gate.HandleRelease(*message.release);
      return true;
    }
    const auto position = gate.Hold(message.token);
    const auto passed_on = position.value_or(PassedOn());
    m_world.Trace("vm-{} {} token {} at {} to {}", message.to, position ? "holds for" : "refuses",
                  message.token, passed_on.at_least.index.value(), passed_on.at_most.index.value());
    // The answer may be lost; the holder repeats its request.
    const bool lost = m_world.options().delayed_requests && m_world.PickForFleet(16) == 0;
    auto& answers = m_answers[static_cast<std::size_t>(message.from)];
    if (!lost && answers.token == message.token) {
      answers.refused = answers.refused || !position;
      answers.positions[static_cast<std::size_t>(message.to)] = position;
    }
    return true;
  });
}

void Fleet::DeliverAcknowledgements() {
  std::erase_if(m_acknowledgements, [this](const Acknowledgement& acknowledgement) {
    auto& gate = m_gates[static_cast<std::size_t>(acknowledgement.commit.gate)];
    if (m_world.now() < acknowledgement.at || gate.is_suspended()) {
      return false;
    }
    gate.Deliver(acknowledgement.commit.commit, acknowledgement.commit.at_least,
                 acknowledgement.log_end);
    return true;
  });
}

}  // namespace cardamom::takeover_model
