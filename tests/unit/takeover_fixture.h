// Runs takeovers against an in-memory group, table and promotion service.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/roster_keeper.h"
#include "gateway/takeover.h"
#include "gateway_fakes.h"

namespace cardamom::testing {

class TakeoverFixture : public ::testing::Test {
 protected:
  TakeoverFixture()
      : m_outage(m_gateway.context, m_table.Port(), MakePromotionOrder(), Hooks()),
        m_takeover(
            m_gateway.context,
            m_table.Port(),
            MakePromotionOrder(),
            [this] { return Refresh(); },
            [this](StoreEra /*era*/) { return m_era_age; },
            [this] { ++m_store_failures; },
            MakeHoldHooks(),
            m_outage) {
    m_rosters.emplace(m_gateway.context, m_table.Port(), MakeRosterHooks());
    m_gateway.Run([this]() -> asio::awaitable<void> {
      co_await m_gateway.group->WaitForPrimary(Clock::now() + Millis(500));
    });
  }

  PromotionOrder MakePromotionOrder() {
    return [this](std::string /*group*/, std::string endpoint, std::string /*holder*/,
                  std::uint64_t token,
                  TimePoint /*deadline*/) -> asio::awaitable<Outcome<OrderResult>> {
      const bool exists = m_fake_group.Find(endpoint) != nullptr;
      if (exists) {
        m_orders.emplace_back(endpoint, token);
      }
      if (m_lose_answer) {
        m_late_orders.emplace_back(endpoint, token);
        co_return Error{ResultCode::kPlatformUnavailable, "lost", Ran::kUnknown};
      }
      if (exists && m_before_order) {
        m_before_order();
      }
      co_return HandleOrder(endpoint, token);
    };
  }

  // As the platform: it remembers the token of every order, also of one that it refuses.
  OrderResult HandleOrder(const std::string& endpoint, std::uint64_t token) {
    const bool refused = token < m_greatest_token || m_fake_group.Find(endpoint) == nullptr;
    m_greatest_token = std::max(m_greatest_token, token);
    if (refused) {
      return OrderResult::kRejected;
    }
    m_lost = m_lost || m_fake_group.Find(endpoint)->log.size() < m_fake_group.acknowledged.size();
    m_fake_group.Promote(endpoint);
    return OrderResult::kAccepted;
  }

  // The platform handles the orders that it left unanswered.
  void HandleLateOrders() {
    for (const auto& [endpoint, token] : std::exchange(m_late_orders, {})) {
      HandleOrder(endpoint, token);
    }
  }

  OutageHooks Hooks() {
    OutageHooks hooks;
    hooks.find_unreached = [this]() -> asio::awaitable<std::vector<std::string>> {
      co_return m_silent;
    };
    hooks.is_reservation_owner = [](const GroupId& /*group*/) { return true; };
    hooks.store_unavailable_since = [this] { return m_store_unavailable_since; };
    hooks.store_era = [this] { return m_table.era; };
    hooks.era_age = [this](StoreEra /*era*/) { return m_era_age; };
    hooks.ask_other_homes = [this](GroupId /*group*/) -> asio::awaitable<std::vector<StoreReport>> {
      co_return m_other_home_reports;
    };
    hooks.hold = MakeHoldHooks();
    return hooks;
  }

  // The fleet has this proxy and, as far as `m_reported` says so, others.
  HoldHooks MakeHoldHooks() {
    HoldHooks hooks;
    hooks.hold = [this](GroupId group, std::uint64_t token) -> asio::awaitable<HoldReport> {
      auto& gate = m_gateway.context.acknowledgements.Of(group);
      HoldReport report;
      report.answered = 1;
      report.refused = !gate.Hold(token);
      report.silent = m_silent;
      report.passed_on = std::max(gate.hold().passed_on(), m_reported);
      report.log_end = std::max({gate.hold().log_end(), m_reported, m_reported_log_end});
      co_return report;
    };
    hooks.post_notice = [this](GroupId /*group*/, std::uint64_t /*token*/,
                               TimePoint /*deadline*/) -> asio::awaitable<bool> {
      co_return m_is_noticed;
    };
    hooks.release = [this](const GroupId& group, const HoldRelease& release) {
      m_gateway.context.acknowledgements.Of(group).Release(release);
    };
    return hooks;
  }

  RosterHooks MakeRosterHooks() {
    RosterHooks hooks;
    hooks.is_owner = [](const GroupId& /*group*/) { return true; };
    hooks.is_store_available = [this] { return !m_table.unavailable; };
    hooks.store_era = [this] { return m_table.era; };
    return hooks;
  }

  // Keeps the group's row up to date for `time`, as the proxy does that is in charge of it.
  void MaintainRow(Millis time) {
    m_gateway.Run([this, time]() -> asio::awaitable<void> {
      const auto until = Clock::now() + time;
      while (Clock::now() < until) {
        if (!m_rosters->Maintain(m_gateway.group)) {
          m_outage.MaintainReservation(m_gateway.group);
        }
        co_await Sleep(Millis(25));
      }
      while (m_rosters->Maintain(m_gateway.group)) {
        co_await Sleep(Millis(25));
      }
    });
  }

  // Replaces the proxy by one that has only ever seen `entries` listed.
  void StartProxy(std::vector<EndpointEntry> entries) {
    m_listed = std::move(entries);
    m_gateway.group = std::make_shared<GroupClient>(m_gateway.context, GroupId("orders"));
    m_gateway.group->SetShare({.links = 2});
    m_rosters.emplace(m_gateway.context, m_table.Port(), MakeRosterHooks());
    List(*m_listed);
  }

  // Makes attempts until one ends with a primary, for as long as a process that has just started
  // may take to trust the links to its servers.
  bool EndsWithPrimaryAfterRestart() {
    const auto started_at = Clock::now();
    bool has_primary = false;
    const auto store_started_ms = m_table.now_ms;
    while (!has_primary && Clock::now() - started_at < Millis(9000)) {
      Wait(Millis(200));
      m_table.now_ms = store_started_ms + ToMillis(Clock::now() - started_at).count();
      has_primary = EndsWithPrimary(TakeoverReason::kFailed);
    }
    return has_primary;
  }

  asio::awaitable<bool> Refresh() {
    if (m_table.unavailable) {
      co_return false;
    }
    GroupSettings settings;
    m_gateway.group->Update(m_listed ? *m_listed : m_fake_group.Entries(), settings);
    co_return true;
  }

  // Has the proxy read a list that shows `entries`, which stay listed.
  void List(std::vector<EndpointEntry> entries) {
    m_listed = std::move(entries);
    m_gateway.Run([this]() -> asio::awaitable<void> {
      const bool refreshed = co_await Refresh();
      EXPECT_TRUE(refreshed);
    });
  }

  // The list without the server `id`.
  std::vector<EndpointEntry> EntriesWithout(const std::string& id) const {
    auto entries = m_fake_group.Entries();
    std::erase_if(entries, [&](const auto& entry) { return entry.id.value() == id; });
    return entries;
  }

  // Lets time pass for the proxy.
  void Wait(Millis time) {
    m_gateway.Run([time]() -> asio::awaitable<void> { co_await Sleep(time); });
  }

  // Asks server `index` for its position as the primary, as the proxy does several times a second.
  void Sample(std::size_t index) {
    m_gateway.Run([this, index]() -> asio::awaitable<void> {
      const auto endpoint = m_gateway.group->Find(m_fake_group.server(index).entry.id);
      const auto position =
          co_await m_gateway.group->ProbeIfPrimary(endpoint, Clock::now() + Millis(200));
      EXPECT_TRUE(position);
    });
  }

  // Whether every server that was promoted held all commits acknowledged until then.
  bool WasNothingLost() const { return !m_lost; }

  TakeoverResult Run(TakeoverReason reason) {
    auto result = TakeoverResult::kBackedOff;
    m_gateway.Run([&]() -> asio::awaitable<void> {
      result = co_await m_takeover.Run(m_gateway.group, reason);
    });
    return result;
  }

  bool EndsWithPrimary(TakeoverReason reason) { return Run(reason) == TakeoverResult::kHasPrimary; }

  // Lets the time pass that an attempt waits for accepted orders.
  void PassPromotionTime() { m_table.now_ms += kPromotionTime.count(); }

  // The detail of the latest event with this code; empty if there is none.
  std::string LatestDetail(EventCode code) const {
    std::string detail;
    for (const auto& event : m_gateway.events.Snapshot()) {
      if (event.code == static_cast<int>(code)) {
        detail = event.subject.detail;
      }
    }
    return detail;
  }

  FenceRow Row() {
    const auto key = FenceRowKey(GroupId("orders"), m_table.era);
    const auto row = DecodeJson<FenceRow>(m_table.Get("fences", key));
    return row ? *row : FenceRow();
  }

  FakeGroup m_fake_group{3};
  FakeGateway m_gateway{m_fake_group};
  FakeTable m_table;
  // Orders for servers that exist.
  std::vector<std::pair<std::string, std::uint64_t>> m_orders;
  std::vector<std::pair<std::string, std::uint64_t>> m_late_orders;
  // Called before the platform handles an order that it answers.
  std::function<void()> m_before_order;
  std::uint64_t m_greatest_token = 0;
  bool m_lose_answer = false;
  // A promoted server lacked an acknowledged commit.
  bool m_lost = false;
  // The server list in the store, if it lacks some servers.
  std::optional<std::vector<EndpointEntry>> m_listed;
  int m_store_failures = 0;
  // How long the proxy has observed the era of the store.
  Duration m_era_age = std::chrono::minutes(1);
  // When the store became unavailable; not set while it is available.
  std::optional<TimePoint> m_store_unavailable_since;
  // What the other homes report about the store.
  std::vector<StoreReport> m_other_home_reports;
  // Other proxies that give no answer.
  std::vector<std::string> m_silent;
  // The store confirms notices of takeovers.
  bool m_is_noticed = true;
  // What other proxies have passed on.
  Position m_reported;
  // The greatest end of a log that came with it.
  Position m_reported_log_end;
  OutageTakeover m_outage;
  Takeover m_takeover;
  std::optional<RosterKeeper> m_rosters;
};

}  // namespace cardamom::testing
