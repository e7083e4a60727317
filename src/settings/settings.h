// Settings of the proxy daemon that serves callers over HTTP (`cardamomd` without a subcommand).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cardamom/error.h"
#include "http/address.h"
#include "settings/settings_table.h"

namespace cardamom {

// A value type; distinct objects may be used from distinct threads.
struct Settings {
  std::string vm_id;
  std::string domain;
  std::string region;
  std::string listen_callers;
  std::string listen_peers;
  std::string listen_operations;
  std::string platform;
  std::string peer_key;
  std::string token_key;
  std::string log_format;
  std::string log_level;
  std::int64_t threads = 0;
  std::int64_t event_ring = 0;
  std::int64_t max_body_bytes = 0;
  std::int64_t default_deadline_ms = 0;
  std::int64_t max_deadline_ms = 0;
  std::int64_t attempt_timeout_ms = 0;
  std::int64_t queue_capacity = 0;
  std::int64_t read_queue_ms = 0;
  std::int64_t read_wait_ms = 0;
  std::int64_t stall_limit_ms = 0;
  std::int64_t suspect_refused_ms = 0;
  std::int64_t suspect_silence_ms = 0;
  std::int64_t suspect_unreachable_ms = 0;
  std::int64_t steward_step_ms = 0;
  std::int64_t config_poll_ms = 0;
  std::int64_t config_stale_ms = 0;
  std::int64_t relays_per_domain = 0;
  std::int64_t transaction_idle_ms = 0;
  std::int64_t stop_notice_ms = 0;
  std::int64_t stop_limit_ms = 0;
  std::int64_t spare_shares = 0;

  using Environment = SettingsEnvironment;

  // Reads each setting as ReadSettings does, from flags, environment, settings file or default, and
  // checks the values. Errors: kBadSetting; its detail lists all problems found. Thread safe.
  static LeafResult<Settings> Read(const std::vector<std::string>& arguments,
                                   const Environment& environment);
};

using NumberSetting = NumberSettingOf<Settings>;
using TextSetting = TextSettingOf<Settings>;

// Tables of all settings. Thread safe.
std::span<const NumberSetting> NumberSettings();
std::span<const TextSetting> TextSettings();

}  // namespace cardamom
