// One database server as listed in the platform's store.
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
  // Number of statements that the server runs concurrently.
  std::int64_t slots = 1;
  bool leaving = false;
  // The role that the server last reported of itself; the list may be out of date.
  bool claims_primary = false;
  // Start of the server in Unix milliseconds. A different value means that the server restarted and
  // kept nothing of its earlier state.
  std::int64_t started_ms = 0;
  // Count of what the server has reported since its start, which orders its reports.
  std::int64_t sequence = 0;

  bool operator==(const EndpointEntry&) const = default;
};

}  // namespace cardamom
