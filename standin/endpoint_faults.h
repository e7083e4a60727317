// Faults that the endpoint stand-in injects, set over POST /admin/faults.
#pragma once

#include <string>
#include <vector>

#include "core/json.h"

namespace cardamom {

struct EndpointFaults {
  // Delay between receiving a log entry and making it visible to reads.
  std::int64_t apply_lag_ms = 0;
  // The server pulls no log entries from the primary.
  bool replication_frozen = false;
  // Ids of proxies and servers whose requests get no answer.
  std::vector<std::string> cut;
  // Delay added to every response except those of /admin and to refused connections.
  std::int64_t answer_delay_ms = 0;
  // Number of responses to writes and commits that are dropped after the request was processed.
  std::int64_t lose_answers = 0;
};
BOOST_DESCRIBE_STRUCT(EndpointFaults,
                      (),
                      (apply_lag_ms, replication_frozen, cut, answer_delay_ms, lose_answers))

}  // namespace cardamom
