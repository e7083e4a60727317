#include "gateway/acknowledgement_gate.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cardamom {
namespace {

// The time after which a hold that has not ended is not waited for by statements that could still
// be refused.
constexpr Millis kExpectedHold{2500};

std::string ToText(Position position) {
  return fmt::format("{}.{}", position.term.value(), position.index.value());
}

}  // namespace

AcknowledgementGate::AcknowledgementGate(EventLog& events,
                                         GroupId group,
                                         const std::function<bool()>& has_lease)
    : m_events(events), m_group(std::move(group)), m_has_lease(has_lease) {}

bool AcknowledgementGate::Hold(std::uint64_t token) {
  const auto before = Describe();
  if (!m_hold.Hold(token, BootClock::now())) {
    return false;
  }
  m_events.Emit(EventCode::kAcknowledgementsHeld,
                {.group = m_group,
                 .term = m_hold.confirmed_term(),
                 .detail = fmt::format("token {}; passed on up to {}, log end {}; {}; before: {}",
                                       token, ToText(m_hold.passed_on()), ToText(m_hold.log_end()),
                                       DescribeLast(), before)});
  return true;
}

bool AcknowledgementGate::Release(const HoldRelease& release) {
  const auto before = Describe();
  const auto last = DescribeLast();
  if (!m_hold.Release(release)) {
    return false;
  }
  const auto outcome =
      release.base ? "promoted from " + ToText(*release.base) : std::string("nobody promoted");
  m_events.Emit(EventCode::kAcknowledgementsReleased,
                {.group = m_group,
                 .term = release.term,
                 .detail = fmt::format("token {}, {}; {}; {}; before: {}", release.token, outcome,
                                       DescribeWaiting(), last, before)});
  m_given_up = 0;
  m_changed.NotifyAll();
  return true;
}

asio::awaitable<bool> AcknowledgementGate::WaitForHold(AcknowledgedCommit commit,
                                                       TimePoint deadline) {
  bool has_waited = false;
  auto verdict = m_hold.Judge(commit, has_waited, BootClock::now());
  while (verdict == AcknowledgementVerdict::kWait && Clock::now() < deadline) {
    has_waited = true;
    // A hold that ends by itself notifies nobody.
    const auto left = *m_hold.HeldUntil() - BootClock::now();
    const std::function<bool()> is_open = [this] { return !m_hold.IsHeld(BootClock::now()); };
    const auto waiting = m_waiting.insert(m_waiting.end(), commit);
    co_await m_changed.WaitUntil(
        is_open, std::min(deadline, Clock::now() + std::chrono::ceil<Millis>(left)));
    m_waiting.erase(waiting);
    verdict = m_hold.Judge(commit, has_waited, BootClock::now());
  }
  if (verdict == AcknowledgementVerdict::kWait) {
    ++m_given_up;
  }
  co_return verdict == AcknowledgementVerdict::kPassOn;
}

asio::awaitable<bool> AcknowledgementGate::PassOn(AcknowledgedCommit commit,
                                                  TimePoint deadline,
                                                  FindWitness find_witness) {
  bool is_safe = !find_witness;
  for (;;) {
    const bool stands = co_await WaitForHold(commit, deadline);
    if (!stands) {
      co_return false;
    }
    if (is_safe || m_has_lease()) {
      m_hold.OnPassedOn(commit);
      ++m_passed_on;
      m_last = commit;
      m_last_at = Clock::now();
      co_return true;
    }
    // A hold may begin meanwhile.
    is_safe = co_await find_witness(commit.at_most, deadline);
    if (!is_safe && !m_has_lease()) {
      co_return false;
    }
  }
}

std::string AcknowledgementGate::Describe() const {
  const auto now = BootClock::now();
  if (m_hold.token() == 0) {
    return "no token seen";
  }
  const auto held_for = [&] { return now - (*m_hold.HeldUntil() - kLongestHold); };
  if (!m_hold.HeldUntil()) {
    return fmt::format("token {} released", m_hold.token());
  }
  return fmt::format("token {} held for {} ms{}", m_hold.token(), ToMillis(held_for()).count(),
                     m_hold.IsHeld(now) ? "" : ", ended by itself");
}

std::string AcknowledgementGate::DescribeLast() const {
  if (m_passed_on == 0) {
    return "none passed on";
  }
  return fmt::format("last of {} passed on {} ms ago, from {} to {}", m_passed_on,
                     ToMillis(Clock::now() - m_last_at).count(), ToText(m_last.at_least),
                     ToText(m_last.at_most));
}

std::string AcknowledgementGate::DescribeWaiting() const {
  std::size_t stand = 0;
  Position last;
  for (const auto& commit : m_waiting) {
    const bool passes =
        m_hold.Judge(commit, true, BootClock::now()) == AcknowledgementVerdict::kPassOn;
    stand += passes ? 1 : 0;
    last = std::max(last, commit.at_most);
  }
  auto text = fmt::format("{} waited: {} passed on, {} in doubt", m_waiting.size(), stand,
                          m_waiting.size() - stand);
  if (!m_waiting.empty()) {
    text += ", up to " + ToText(last);
  }
  return text + (m_given_up > 0 ? fmt::format("; {} in doubt before", m_given_up) : "");
}

asio::awaitable<bool> AcknowledgementGate::WaitUntilOpen(TimePoint deadline) {
  const std::function<bool()> is_open = [this] { return !m_hold.IsHeld(BootClock::now()); };
  if (is_open()) {
    co_return true;
  }
  const auto held_for = BootClock::now() - (*m_hold.HeldUntil() - kLongestHold);
  const auto expected =
      Clock::now() + std::max<Duration>(kExpectedHold - held_for, Duration::zero());
  co_return co_await m_changed.WaitUntil(is_open, std::min(deadline, expected));
}

AcknowledgementGate& AcknowledgementGates::Of(const GroupId& group) {
  auto& gate = m_gates[group];
  if (!gate) {
    gate = std::make_unique<AcknowledgementGate>(m_events, group, m_has_lease);
  }
  return *gate;
}

}  // namespace cardamom
