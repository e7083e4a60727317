#include "settings/gateway_settings.h"

#include <array>
#include <charconv>

#include <fmt/ranges.h>
#include <boost/leaf/error.hpp>

#include "http/address.h"

namespace cardamom {
namespace {

using Number = NumberSettingOf<GatewaySettings>;
using Text = TextSettingOf<GatewaySettings>;
using S = GatewaySettings;

constexpr std::array kNumbers = {
    Number{"event-ring", &S::event_ring, 512, 16, 1'000'000, "events",
           "Events kept for the time line."},
    Number{"log-queue-kb", &S::log_queue_kb, 256, 4, 65'536, "KB",
           "Log lines that may wait for a slow reader; later ones are dropped and counted."},
    Number{"max-files", &S::max_files, 1024, 64, 1'000'000, "descriptors",
           "Descriptors that the process may use."},
    Number{"stop-notice-ms", &S::stop_notice_ms, 2200, 0, 600'000, "ms",
           "Time between turning not ready and closing idle sessions."},
    Number{"stop-limit-ms", &S::stop_limit_ms, 6000, 100, 3'600'000, "ms",
           "Time from the order to stop to the end of the process."},
    Number{"drain-ms", &S::drain_ms, 7000, 100, 3'600'000, "ms",
           "Time after which a leaving endpoint gets no statement at all."},
    Number{"list-poll-ms", &S::list_poll_ms, 2000, 100, 600'000, "ms",
           "Time between two readings of the endpoint list."},
    Number{"list-return-ms", &S::list_return_ms, 2200, 0, 600'000, "ms",
           "Time after an outage of the store for which missing endpoints are kept."},
    Number{"config-apply-ms", &S::config_apply_ms, 3000, 500, 3'600'000, "ms",
           "Time within which an accepted configuration is in force."},
    Number{"direct-vms", &S::direct_vms, 32, 1, 100'000, "VMs",
           "Up to so many proxies hold connections of their own; a larger fleet has homes."},
};

constexpr std::array kTexts = {
    Text{"vm-id", &S::vm_id, "", true, "Name of this VM."},
    Text{"domain", &S::domain, "", true, "Failure domain of this VM."},
    Text{"region", &S::region, "", false, "Region of this VM."},
    Text{"listen-sessions", &S::listen_sessions, "127.0.0.1:0", false, "Address for callers."},
    Text{"listen-ready", &S::listen_ready, "127.0.0.1:0", false,
         "Address for the balancer's question whether this proxy is ready."},
    Text{"listen-peers", &S::listen_peers, "127.0.0.1:0", false, "Address for other proxies."},
    Text{"listen-metrics", &S::listen_metrics, "127.0.0.1:0", false,
         "Address for metrics, status and events."},
    Text{"store", &S::store, "", true, "Address of the platform's store."},
    Text{"orders", &S::orders, "", true, "Address of the platform's promotion service."},
    Text{
        "seeds", &S::seeds, "", false,
        "Peer addresses to ask at the start while the store does not answer, separated by commas."},
    Text{"capacity", &S::capacity_text, "1", false,
         "Processor share of this VM; a VM with more of it is a home of more groups."},
    Text{"log-format", &S::log_format, "json", false, "text or json."},
    Text{"log-level", &S::log_level, "info", false, "debug, info, warn or error."},
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

}  // namespace

double GatewaySettings::capacity() const {
  double value = 0;
  const auto* end = capacity_text.data() + capacity_text.size();
  const auto read = std::from_chars(capacity_text.data(), end, value);
  return read.ec == std::errc() && read.ptr == end ? value : 0;
}

std::span<const Number> GatewayNumberSettings() {
  return kNumbers;
}

std::span<const Text> GatewayTextSettings() {
  return kTexts;
}

LeafResult<GatewaySettings> GatewaySettings::Read(const std::vector<std::string>& arguments,
                                                  const SettingsEnvironment& environment) {
  SettingsProblems problems;
  auto settings = ReadSettings<GatewaySettings>(kNumbers, kTexts, arguments, environment, problems);
  CheckAddresses(settings, problems);
  if (settings.log_format != "json" && settings.log_format != "text") {
    problems.push_back(fmt::format("log-format: '{}' is none of text, json", settings.log_format));
  }
  if (settings.capacity() <= 0) {
    problems.push_back(fmt::format("capacity: '{}' is no positive number", settings.capacity_text));
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

std::string GatewaySettings::AdoptChangeable(const GatewaySettings& read) {
  std::string changed;
  std::string needs_restart;
  for (const auto& number : kNumbers) {
    if (this->*number.member == read.*number.member) {
      continue;
    }
    const bool fixed = number.member == &S::event_ring || number.member == &S::log_queue_kb ||
                       number.member == &S::max_files;
    (fixed ? needs_restart : changed) += fmt::format(" {}", number.name);
    if (!fixed) {
      this->*number.member = read.*number.member;
    }
  }
  for (const auto& text : kTexts) {
    if (this->*text.member == read.*text.member) {
      continue;
    }
    const bool fixed = text.member != &S::log_level;
    (fixed ? needs_restart : changed) += fmt::format(" {}", text.name);
    if (!fixed) {
      this->*text.member = read.*text.member;
    }
  }
  return fmt::format("changed:{}; needs a restart:{}", changed, needs_restart);
}

}  // namespace cardamom
