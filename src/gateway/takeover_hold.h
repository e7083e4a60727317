// What a takeover asks of the proxies of the fleet, itself included.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async/notifier.h"
#include "cardamom/strong.h"
#include "core/clock.h"
#include "failover/acknowledgement_hold.h"
#include "gateway/gateway_context.h"

namespace cardamom {

// The answers of the proxies to a request to hold back acknowledgements. A value type.
struct HoldReport {
  // A log that holds every commit that the proxies which answered have passed on reaches this
  // position.
  Position passed_on;
  // Every commit that they have passed on lies at or before this position.
  Position log_end;
  // A proxy has seen a greater token.
  bool refused = false;
  std::size_t answered = 0;
  // VM ids of the proxies that gave no answer in time although they may run.
  std::vector<std::string> silent;
  // For log lines: the proxies where the connection was refused, those that have seen a greater
  // token, and when the proxies were first asked and the report was complete.
  std::vector<std::string> not_running;
  std::vector<std::string> refused_by;
  TimePoint asked_at;
  TimePoint complete_at;
};

// How a takeover reaches the proxies.
struct HoldHooks {
  // Asks all proxies to hold back acknowledgements of `group`, and returns after a bounded wait for
  // those that do not answer.
  std::function<asio::awaitable<HoldReport>(GroupId group, std::uint64_t token)> hold;
  // Writes a notice of the takeover to the store, for proxies that give no answer. Returns false if
  // the store has not confirmed it by `deadline`. Empty where the store does not answer.
  std::function<asio::awaitable<bool>(GroupId group, std::uint64_t token, TimePoint deadline)>
      post_notice;
  // Starts to tell all proxies that the hold has ended; does not wait for them.
  std::function<void(GroupId group, HoldRelease release)> release;
};

// A hold that the proxies are asked for while other requests are under way. Copies share one hold.
// Not thread safe.
class PendingHold {
 public:
  // `context` and `hooks` must outlive the object and the requests.
  PendingHold(GatewayContext& context, const HoldHooks& hooks, GroupId group, std::uint64_t token);

  // Starts to ask the proxies and to write the notice, unless that has been done.
  void Start();
  bool IsStarted() const { return m_state->started_at.has_value(); }
  // When the request was begun. Precondition: IsStarted().
  BootTime started_at() const { return *m_state->started_at; }

  // The answers. Precondition: IsStarted().
  asio::awaitable<HoldReport> Wait();

  // Waits until the notice was written. Returns false if it was not. Precondition: IsStarted().
  asio::awaitable<bool> WaitForNotice();

 private:
  struct State {
    HoldReport report;
    std::optional<BootTime> started_at;
    bool done = false;
    // Not set until it is known whether the notice was written.
    std::optional<bool> is_noticed;
    Notifier changed;
  };
  GatewayContext& m_context;
  const HoldHooks& m_hooks;
  GroupId m_group;
  std::uint64_t m_token;
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

// The report for a log line, with times relative to `stopped_at`. Pure and thread safe.
std::string DescribeHold(const HoldReport& report, TimePoint stopped_at);

}  // namespace cardamom
