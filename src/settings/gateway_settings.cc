#include "settings/gateway_settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <fmt/ranges.h>
#include <boost/leaf/error.hpp>

#include "http/address.h"

namespace cardamom {
namespace {

using GatewayNumberSetting = NumberSettingOf<GatewaySettings>;
using GatewayTextSetting = TextSettingOf<GatewaySettings>;
using S = GatewaySettings;

constexpr std::array kNumberSettings = {
    GatewayNumberSetting{"event-ring", &S::event_ring, 512, 16, 1'000'000, "events",
                         "Events kept for the time line."},
    GatewayNumberSetting{
        "log-queue-kb", &S::log_queue_kb, 256, 4, 65'536, "KB",
        "Log lines that may wait for a slow reader; later ones are dropped and counted."},
    GatewayNumberSetting{"max-files", &S::max_files, 1024, 64, 1'000'000, "descriptors",
                         "Descriptors that the process may use."},
    GatewayNumberSetting{"stop-notice-ms", &S::stop_notice_ms, 2200, 0, 600'000, "ms",
                         "Time between turning not ready and closing idle sessions."},
    GatewayNumberSetting{"stop-limit-ms", &S::stop_limit_ms, 6000, 100, 3'600'000, "ms",
                         "Time from the order to stop to the end of the process."},
    GatewayNumberSetting{"drain-ms", &S::drain_ms, 7000, 100, 3'600'000, "ms",
                         "Time after which a leaving endpoint gets no statement at all."},
    GatewayNumberSetting{"list-poll-ms", &S::list_poll_ms, 2000, 100, 600'000, "ms",
                         "Time between two readings of the endpoint list."},
    GatewayNumberSetting{"list-return-ms", &S::list_return_ms, 2200, 0, 600'000, "ms",
                         "Time after an outage of the store for which missing endpoints are kept."},
    GatewayNumberSetting{"config-apply-ms", &S::config_apply_ms, 3000, 500, 3'600'000, "ms",
                         "Time within which an accepted configuration is in force."},
    GatewayNumberSetting{"revoke-ms", &S::revoke_ms, 0, 0, 3'600'000, "ms",
                         "Time after which a withdrawn key is refused everywhere; 0: no bound."},
    GatewayNumberSetting{"quota-window-s", &S::quota_window_s, 5, 1, 3600, "s",
                         "Span of time over which an organisation's quota is measured."},
    GatewayNumberSetting{"quota-slack", &S::quota_slack, 0, 0, 1'000'000, "operations",
                         "Operations in a window by which usage may exceed a quota."},
    GatewayNumberSetting{"memory-mb", &S::memory_mb, 512, 16, 1'000'000, "MB",
                         "Memory of this VM, from which the limits on buffers follow."},
    GatewayNumberSetting{"greeting-kb", &S::greeting_kb, 16, 1, 1024, "KB",
                         "Largest first line of a caller."},
    GatewayNumberSetting{"message-ms", &S::message_ms, 30'000, 100, 3'600'000, "ms",
                         "Time from the first byte of a caller's line to its end."},
    GatewayNumberSetting{"write-ms", &S::write_ms, 5000, 100, 3'600'000, "ms",
                         "Time for a caller to take a reply, besides its size at write-rate-kb."},
    GatewayNumberSetting{"write-rate-kb", &S::write_rate_kb, 256, 1, 1'000'000, "KB/s",
                         "Least rate at which a caller has to take a long reply."},
    GatewayNumberSetting{"session-values-kb", &S::session_values_kb, 2048, 1, 1'000'000, "KB",
                         "Session values and prepared statements of one session, together."},
    GatewayNumberSetting{"session-names", &S::session_names, 4096, 1, 10'000'000, "names",
                         "Session values and prepared statements of one session, by number."},
    GatewayNumberSetting{"peer-connections", &S::peer_connections, 1024, 1, 1'000'000,
                         "connections",
                         "Connections accepted at the same time on the address for proxies."},
    GatewayNumberSetting{"operations-connections", &S::operations_connections, 48, 1, 1'000'000,
                         "connections",
                         "Connections accepted at the same time on each address for readiness and "
                         "metrics."},
    GatewayNumberSetting{
        "direct-vms", &S::direct_vms, 32, 1, 100'000, "VMs",
        "Up to so many proxies hold connections of their own; a larger fleet has homes."},
};

constexpr std::array kTextSettings = {
    GatewayTextSetting{"vm-id", &S::vm_id, "", true, "Name of this VM."},
    GatewayTextSetting{"domain", &S::domain, "", true, "Failure domain of this VM."},
    GatewayTextSetting{"region", &S::region, "", false, "Region of this VM."},
    GatewayTextSetting{"listen-sessions", &S::listen_sessions, "127.0.0.1:0", false,
                       "Address for callers."},
    GatewayTextSetting{"listen-ready", &S::listen_ready, "127.0.0.1:0", false,
                       "Address for the balancer's question whether this proxy is ready."},
    GatewayTextSetting{"listen-peers", &S::listen_peers, "127.0.0.1:0", false,
                       "Address for other proxies."},
    GatewayTextSetting{"listen-metrics", &S::listen_metrics, "127.0.0.1:0", false,
                       "Address for metrics, status and events."},
    GatewayTextSetting{"store", &S::store, "", true, "Address of the platform's store."},
    GatewayTextSetting{"orders", &S::orders, "", true,
                       "Address of the platform's promotion service."},
    GatewayTextSetting{
        "seeds", &S::seeds, "", false,
        "Peer addresses to ask at the start while the store does not answer, separated by commas."},
    GatewayTextSetting{
        "capacity", &S::capacity_text, "1", false,
        "Processor share of this VM; a VM with more of it is a home of more groups."},
    GatewayTextSetting{"quota-overshoot", &S::quota_overshoot_text, "0", false,
                       "Share, from 0 to 1, by which usage may exceed a quota."},
    GatewayTextSetting{"log-format", &S::log_format, "json", false, "text or json."},
    GatewayTextSetting{"log-level", &S::log_level, "info", false, "debug, info, warn or error."},
};

void CheckAddresses(const GatewaySettings& settings, SettingsProblems& problems) {
  for (const auto member : {&S::listen_sessions, &S::listen_ready, &S::listen_peers,
                            &S::listen_metrics, &S::store, &S::orders}) {
    const auto& text = settings.*member;
    if (!text.empty() && !Address::Parse(text)) {
      problems.push_back(fmt::format("'{}' is not an address of the form IP:PORT", text));
    }
  }
}

// Sizes of queues, and the limits on callers, which are copied when the listeners are created.
bool IsFixedAtStart(std::int64_t S::*member) {
  constexpr std::array kFixed = {
      &S::event_ring,        &S::log_queue_kb,  &S::max_files,        &S::memory_mb,
      &S::greeting_kb,       &S::message_ms,    &S::write_ms,         &S::write_rate_kb,
      &S::session_values_kb, &S::session_names, &S::peer_connections, &S::operations_connections};
  return std::find(kFixed.begin(), kFixed.end(), member) != kFixed.end();
}

// As in membership/rendezvous.h: the other VMs leave out a VM with a greater capacity.
constexpr double kMaxCapacity = 1024;

std::optional<double> ParseNumber(const std::string& text) {
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  return read.ec == std::errc() && read.ptr == end ? std::optional(value) : std::nullopt;
}

}  // namespace

double GatewaySettings::capacity() const {
  return ParseNumber(capacity_text).value_or(0);
}

double GatewaySettings::quota_overshoot() const {
  return ParseNumber(quota_overshoot_text).value_or(-1);
}

std::span<const GatewayNumberSetting> GatewayNumberSettings() {
  return kNumberSettings;
}

std::span<const GatewayTextSetting> GatewayTextSettings() {
  return kTextSettings;
}

LeafResult<GatewaySettings> GatewaySettings::Read(const std::vector<std::string>& arguments,
                                                  const SettingsEnvironment& environment) {
  SettingsProblems problems;
  auto settings = ReadSettings<GatewaySettings>(kNumberSettings, kTextSettings, arguments,
                                                environment, problems);
  CheckAddresses(settings, problems);
  if (settings.log_format != "json" && settings.log_format != "text") {
    problems.push_back(fmt::format("log-format: '{}' is none of text, json", settings.log_format));
  }
  if (!(settings.capacity() > 0 && settings.capacity() <= kMaxCapacity)) {
    problems.push_back(fmt::format("capacity: '{}' is no positive number up to {}",
                                   settings.capacity_text, kMaxCapacity));
  }
  const double overshoot = settings.quota_overshoot();
  if (!(overshoot >= 0 && overshoot <= 1)) {
    problems.push_back(fmt::format("quota-overshoot: '{}' is no number from 0 to 1",
                                   settings.quota_overshoot_text));
  }
  if (settings.stop_notice_ms > settings.stop_limit_ms) {
    problems.emplace_back("stop-notice-ms: exceeds stop-limit-ms");
  }
  if (!problems.empty()) {
    return boost::leaf::new_error(
        Error{ResultCode::kBadSetting, fmt::format("{}", fmt::join(problems, "; "))});
  }
  return settings;
}

std::string GatewaySettings::ApplyReload(const GatewaySettings& reloaded) {
  std::string changed_names;
  std::string needs_restart_names;
  for (const auto& number : kNumberSettings) {
    if (this->*number.member == reloaded.*number.member) {
      continue;
    }
    const bool is_fixed_at_start = IsFixedAtStart(number.member);
    (is_fixed_at_start ? needs_restart_names : changed_names) += fmt::format(" {}", number.name);
    if (!is_fixed_at_start) {
      this->*number.member = reloaded.*number.member;
    }
  }
  for (const auto& text : kTextSettings) {
    if (this->*text.member == reloaded.*text.member) {
      continue;
    }
    const bool is_fixed_at_start = text.member != &S::log_level;
    (is_fixed_at_start ? needs_restart_names : changed_names) += fmt::format(" {}", text.name);
    if (!is_fixed_at_start) {
      this->*text.member = reloaded.*text.member;
    }
  }
  return fmt::format("changed:{}; needs a restart:{}", changed_names, needs_restart_names);
}

}  // namespace cardamom
