// One database server as the platform's list shows it.
#pragma once

#include <cstdint>
#include <string>

#include "cardamom/strong.h"

namespace cardamom {

// A value type.
struct EndpointEntry {
  EndpointId id;
  GroupId group;
  // "host:port".
  std::string address;
  FailureDomain domain;
  std::int64_t slots = 1;
  bool leaving = false;
  // How the server sees itself; the list lags.
  bool claims_primary = false;
  // Unix milliseconds of the server's start: another value means that it forgot all before.
  std::int64_t started_ms = 0;

  bool operator==(const EndpointEntry&) const = default;
};

}  // namespace cardamom
