#include "gateway/acknowledgement_gate.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cardamom {
namespace {

// The time after which a hold that has not ended is not waited for by statements that could still
// be refused.
constexpr Millis kExpectedHold{2500};

}  // namespace

AcknowledgementGate::AcknowledgementGate(EventLog& events, GroupId group)
    : m_events(events), m_group(std::move(group)) {}

bool AcknowledgementGate::Hold(std::uint64_t token) {
  if (!m_hold.Hold(token, BootClock::now())) {
    return false;
  }
  const auto position = m_hold.passed_on();
  m_events.Emit(EventCode::kAcknowledgementsHeld,
                {.group = m_group,
                 .detail = fmt::format("token {}; passed on up to {}.{}", token,
                                       position.term.value(), position.index.value())});
  return true;
}

bool AcknowledgementGate::Release(const HoldRelease& release) {
  if (!m_hold.Release(release)) {
    return false;
  }
  const auto outcome = release.base ? fmt::format("promoted from {}.{}", release.base->term.value(),
                                                  release.base->index.value())
                                    : std::string("nobody promoted");
  m_events.Emit(
      EventCode::kAcknowledgementsReleased,
      {.group = m_group,
       .term = release.term,
       .detail = fmt::format("token {}, {}; {} waited", release.token, outcome, m_waiting)});
  m_changed.NotifyAll();
  return true;
}

asio::awaitable<bool> AcknowledgementGate::PassOn(AcknowledgedCommit commit, TimePoint deadline) {
  bool has_waited = false;
  auto verdict = m_hold.Judge(commit, has_waited, BootClock::now());
  while (verdict == AcknowledgementVerdict::kWait && Clock::now() < deadline) {
    has_waited = true;
    // A hold that ends by itself notifies nobody.
    const auto left = *m_hold.HeldUntil() - BootClock::now();
    const std::function<bool()> is_open = [this] { return !m_hold.IsHeld(BootClock::now()); };
    ++m_waiting;
    co_await m_changed.WaitUntil(
        is_open, std::min(deadline, Clock::now() + std::chrono::ceil<Millis>(left)));
    --m_waiting;
    verdict = m_hold.Judge(commit, has_waited, BootClock::now());
  }
  if (verdict != AcknowledgementVerdict::kPassOn) {
    co_return false;
  }
  m_hold.OnPassedOn(commit);
  co_return true;
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
    gate = std::make_unique<AcknowledgementGate>(m_events, group);
  }
  return *gate;
}

}  // namespace cardamom
