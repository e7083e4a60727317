// Settings of the session gateway (`cardamomd gateway`), which serves callers over the line
// protocol of the prepared platform (see platform/gateway_ports.h).
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cardamom/error.h"
#include "settings/settings_table.h"

namespace cardamom {

// A value type; distinct objects may be used from distinct threads.
struct GatewaySettings {
  std::string vm_id;
  std::string domain;
  std::string region;
  std::string listen_sessions;
  std::string listen_ready;
  std::string listen_peers;
  std::string listen_metrics;
  std::string store;
  std::string orders;
  std::string seeds;
  std::string capacity_text;
  std::string log_format;
  std::string log_level;
  std::int64_t event_ring = 0;
  std::int64_t log_queue_kb = 0;
  std::int64_t max_files = 0;
  std::int64_t stop_notice_ms = 0;
  std::int64_t stop_limit_ms = 0;
  std::int64_t drain_ms = 0;
  std::int64_t list_poll_ms = 0;
  std::int64_t list_return_ms = 0;
  std::int64_t direct_vms = 32;
  std::int64_t config_apply_ms = 3000;
  std::int64_t revoke_ms = 0;
  std::int64_t quota_window_s = 5;
  std::int64_t quota_slack = 0;
  std::int64_t memory_mb = 512;
  std::int64_t greeting_kb = 16;
  std::int64_t message_ms = 30'000;
  std::int64_t write_ms = 5000;
  std::int64_t write_rate_kb = 256;
  std::int64_t session_values_kb = 2048;
  std::int64_t session_names = 4096;
  std::int64_t peer_connections = 256;
  std::int64_t operations_connections = 48;
  std::string quota_overshoot_text = "0";

  // Processor share of this VM: positive in settings that Read returns, 0 if capacity_text is no
  // number.
  double capacity() const;
  // Share by which usage may exceed a cap: 0 to 1 in settings that Read returns.
  double quota_overshoot() const;

  // Reads each setting as ReadSettings does, from flags, environment, settings file or default, and
  // checks the values. Errors: kBadSetting; its detail lists all problems found. Thread safe.
  static LeafResult<GatewaySettings> Read(const std::vector<std::string>& arguments,
                                          const SettingsEnvironment& environment);

  // Copies from `reloaded` the settings that can change while the process runs: the log level and
  // all numbers except event-ring, log-queue-kb, max-files, memory-mb and the limits on callers.
  // Returns a text with the names of the settings that changed and of those that differ but need a
  // restart. Not thread safe.
  std::string ApplyReload(const GatewaySettings& reloaded);
};

// Tables of all settings. Thread safe.
std::span<const NumberSettingOf<GatewaySettings>> GatewayNumberSettings();
std::span<const TextSettingOf<GatewaySettings>> GatewayTextSettings();

}  // namespace cardamom
