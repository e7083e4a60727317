#include "gateway/takeover_hold.h"

#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

// Longer than the bounded wait of HoldHooks::hold.
constexpr Millis kLongestWait{1000};
constexpr Millis kNoticeTimeout{1000};

std::string NameAll(std::string_view what, const std::vector<std::string>& vms) {
  return vms.empty() ? "" : fmt::format("{} {}", what, fmt::join(vms, " "));
}

}  // namespace

PendingHold::PendingHold(GatewayContext& context,
                         const HoldHooks& hooks,
                         GroupId group,
                         std::uint64_t token)
    : m_context(context), m_hooks(hooks), m_group(std::move(group)), m_token(token) {}

void PendingHold::Start() {
  if (IsStarted()) {
    return;
  }
  m_state->started_at = BootClock::now();
  Spawn(m_context.io,
        [state = m_state, hold = m_hooks.hold, group = m_group,
         token = m_token]() -> asio::awaitable<void> {
          auto report = co_await hold(group, token);
          state->report = std::move(report);
          state->done = true;
          state->changed.NotifyAll();
        });
  if (!m_hooks.post_notice) {
    m_state->is_noticed = false;
    return;
  }
  Spawn(m_context.io,
        [state = m_state, post = m_hooks.post_notice, group = m_group,
         token = m_token]() -> asio::awaitable<void> {
          const bool is_noticed = co_await post(group, token, Clock::now() + kNoticeTimeout);
          state->is_noticed = is_noticed;
          state->changed.NotifyAll();
        });
}

asio::awaitable<bool> PendingHold::WaitForNotice() {
  const auto state = m_state;
  const std::function<bool()> is_known = [state] { return state->is_noticed.has_value(); };
  co_await state->changed.WaitUntil(is_known, Clock::now() + kNoticeTimeout);
  co_return state->is_noticed.value_or(false);
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

std::string DescribeHold(const HoldReport& report, TimePoint stopped_at) {
  auto text = fmt::format("passed on {}.{} to {}.{} by {} proxies", report.passed_on.term.value(),
                          report.passed_on.index.value(), report.log_end.term.value(),
                          report.log_end.index.value(), report.answered);
  if (report.asked_at != TimePoint()) {
    text += fmt::format(" (asked at {:+} ms, complete at {:+} ms)",
                        ToMillis(report.asked_at - stopped_at).count(),
                        ToMillis(report.complete_at - stopped_at).count());
  }
  return text + NameAll(", no answer of", report.silent) +
         NameAll(", not running", report.not_running) + NameAll(", refused by", report.refused_by);
}

}  // namespace cardamom
