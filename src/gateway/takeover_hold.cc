#include "gateway/takeover_hold.h"

#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

// Longer than the bounded wait of HoldHooks::hold.
constexpr Millis kLongestWait{1000};

}  // namespace

PendingHold::PendingHold(GatewayContext& context,
                         const HoldHooks& hooks,
                         GroupId group,
                         std::uint64_t token)
    : m_context(context), m_hooks(hooks), m_group(std::move(group)), m_token(token) {}

void PendingHold::Start() {
  if (m_state->started) {
    return;
  }
  m_state->started = true;
  Spawn(m_context.io,
        [state = m_state, hold = m_hooks.hold, group = m_group,
         token = m_token]() -> asio::awaitable<void> {
          auto report = co_await hold(group, token);
          state->report = std::move(report);
          state->done = true;
          state->changed.NotifyAll();
        });
}

asio::awaitable<HoldReport> PendingHold::Wait() {
  const auto state = m_state;
  const std::function<bool()> done = [state] { return state->done; };
  const bool answered = co_await state->changed.WaitUntil(done, Clock::now() + kLongestWait);
  auto report = state->report;
  // Without a report nothing is known of what was acknowledged.
  report.refused = report.refused || !answered;
  co_return report;
}

std::string DescribeHold(const HoldReport& report) {
  auto text = fmt::format("passed on {}.{} to {}.{} by {} proxies", report.passed_on.term.value(),
                          report.passed_on.index.value(), report.log_end.term.value(),
                          report.log_end.index.value(), report.answered);
  for (const auto& vm : report.silent) {
    text += fmt::format("{}{}", &vm == &report.silent.front() ? ", no answer of " : " ", vm);
  }
  return text;
}

}  // namespace cardamom
