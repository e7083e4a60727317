#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <fmt/format.h>
#include <boost/leaf/error.hpp>

namespace cardamom {
namespace {

constexpr std::array kNumberSettings = {
    NumberSetting{"threads", &Settings::threads, 2, 1, 256, "threads", "Workers."},
    NumberSetting{"event-ring", &Settings::event_ring, 4096, 16, 1'000'000, "events",
                  "Events kept for the time line."},
    NumberSetting{"max-body-bytes", &Settings::max_body_bytes, 1 << 20, 1024, 64 << 20, "bytes",
                  "Largest request body."},
    NumberSetting{"default-deadline-ms", &Settings::default_deadline_ms, 5000, 1, 600'000, "ms",
                  "Deadline of a request that names none."},
    NumberSetting{"max-deadline-ms", &Settings::max_deadline_ms, 30'000, 1, 600'000, "ms",
                  "Longest deadline that a request may name."},
    NumberSetting{"attempt-timeout-ms", &Settings::attempt_timeout_ms, 1000, 1, 60'000, "ms",
                  "Longest wait for one answer of an endpoint."},
    NumberSetting{"queue-capacity", &Settings::queue_capacity, 128, 1, 100'000, "requests",
                  "Requests that wait for one endpoint."},
    NumberSetting{"read-queue-ms", &Settings::read_queue_ms, 40, 1, 60'000, "ms",
                  "Expected wait for an endpoint above which a read is refused."},
    NumberSetting{"read-wait-ms", &Settings::read_wait_ms, 40, 0, 10'000, "ms",
                  "Longest wait of a read at a replica that lags."},
    NumberSetting{"stall-limit-ms", &Settings::stall_limit_ms, 1500, 10, 60'000, "ms",
                  "Unconfirmed age of a write above which new ones are refused."},
    NumberSetting{"suspect-refused-ms", &Settings::suspect_refused_ms, 100, 10, 60'000, "ms",
                  "Silence after which a primary that refuses connections is replaced."},
    NumberSetting{"suspect-silence-ms", &Settings::suspect_silence_ms, 750, 10, 60'000, "ms",
                  "Silence after which a primary that does not answer is replaced."},
    NumberSetting{"suspect-unreachable-ms", &Settings::suspect_unreachable_ms, 1000, 10, 60'000,
                  "ms", "Time after which a primary that only its replicas reach is replaced."},
    NumberSetting{"steward-step-ms", &Settings::steward_step_ms, 400, 10, 60'000, "ms",
                  "Delay after which the steward of the next rank steps in."},
    NumberSetting{"config-poll-ms", &Settings::config_poll_ms, 1000, 10, 60'000, "ms",
                  "Time between two questions for the newest revision."},
    NumberSetting{"config-stale-ms", &Settings::config_stale_ms, 5000, 100, 600'000, "ms",
                  "Time without confirmation after which the proxy is not ready."},
    NumberSetting{"relays-per-domain", &Settings::relays_per_domain, 2, 1, 100, "VMs",
                  "VMs of a failure domain that follow the platform for the others."},
    NumberSetting{"transaction-idle-ms", &Settings::transaction_idle_ms, 10'000, 10, 3'600'000,
                  "ms", "Idle time after which a transaction is rolled back."},
    NumberSetting{"stop-notice-ms", &Settings::stop_notice_ms, 2000, 0, 600'000, "ms",
                  "Time between turning not ready and refusing new work."},
    NumberSetting{"stop-limit-ms", &Settings::stop_limit_ms, 30'000, 0, 3'600'000, "ms",
                  "Longest wait for work in progress during a stop."},
    NumberSetting{"spare-shares", &Settings::spare_shares, 1, 0, 100, "shares",
                  "Connection shares left free for proxies that hold the same place."},
};

constexpr std::array kTextSettings = {
    TextSetting{"vm-id", &Settings::vm_id, "", true, "Name of this VM."},
    TextSetting{"domain", &Settings::domain, "", true, "Failure domain of this VM."},
    TextSetting{"region", &Settings::region, "", false, "Region of this VM."},
    TextSetting{"listen-callers", &Settings::listen_callers, "127.0.0.1:0", false,
                "Address for callers."},
    TextSetting{"listen-peers", &Settings::listen_peers, "127.0.0.1:0", false,
                "Address for other proxies."},
    TextSetting{"listen-operations", &Settings::listen_operations, "127.0.0.1:0", false,
                "Address for records, metrics, status and events."},
    TextSetting{"platform", &Settings::platform, "", true, "Address of the platform's service."},
    TextSetting{"peer-key", &Settings::peer_key, "", true, "Secret that proxies share."},
    TextSetting{"token-key", &Settings::token_key, "", true, "Secret that signs session tokens."},
    TextSetting{"log-format", &Settings::log_format, "text", false, "text or json."},
    TextSetting{"log-level", &Settings::log_level, "info", false, "debug, info, warn or error."},
};

constexpr std::size_t kMinKeyLength = 16;

using Problems = SettingsProblems;

void CheckOneOf(std::string_view name,
                const std::string& value,
                std::initializer_list<std::string_view> allowed,
                Problems& problems) {
  if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
    problems.push_back(
        fmt::format("{}: '{}' is none of {}", name, value, fmt::join(allowed, ", ")));
  }
}

void CheckValues(const Settings& settings, Problems& problems) {
  for (const auto member : {&Settings::listen_callers, &Settings::listen_peers,
                            &Settings::listen_operations, &Settings::platform}) {
    const auto& text = settings.*member;
    if (!text.empty() && !Address::Parse(text)) {
      problems.push_back(fmt::format("'{}' is not an address of the form IP:PORT", text));
    }
  }
  for (const auto& key : {settings.peer_key, settings.token_key}) {
    if (!key.empty() && key.size() < kMinKeyLength) {
      problems.push_back(fmt::format("a key needs at least {} characters", kMinKeyLength));
    }
  }
  CheckOneOf("log-format", settings.log_format, {"text", "json"}, problems);
  CheckOneOf("log-level", settings.log_level, {"debug", "info", "warn", "error"}, problems);
  if (settings.default_deadline_ms > settings.max_deadline_ms) {
    problems.emplace_back("default-deadline-ms: exceeds max-deadline-ms");
  }
  if (settings.vm_id.find('~') != std::string::npos) {
    problems.emplace_back("vm-id: may not contain '~'");
  }
}

}  // namespace

std::span<const NumberSetting> NumberSettings() {
  return kNumberSettings;
}

std::span<const TextSetting> TextSettings() {
  return kTextSettings;
}

std::string EnvironmentVariableName(std::string_view setting) {
  std::string name = "CARDAMOM_";
  for (const char c : setting) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

LeafResult<Settings> Settings::Read(const std::vector<std::string>& arguments,
                                    const Environment& environment) {
  Problems problems;
  auto settings =
      ReadSettings<Settings>(kNumberSettings, kTextSettings, arguments, environment, problems);
  CheckValues(settings, problems);
  if (!problems.empty()) {
    return boost::leaf::new_error(
        Error{ResultCode::kBadSetting, fmt::format("{}", fmt::join(problems, "; "))});
  }
  return settings;
}

}  // namespace cardamom
