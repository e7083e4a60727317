// Faults of the endpoint stand-in, set over POST /admin/faults.
#pragma once

#include <string>
#include <vector>

#include "core/json.h"

namespace cardamom {

struct EndpointFaults {
  // Delay between holding an entry and showing it to reads.
  std::int64_t apply_lag_ms = 0;
  // Pulls nothing from the primary.
  bool replication_frozen = false;
  // Ids of proxies and servers whose requests get no answer.
  std::vector<std::string> cut;
  // Delay added to every answer.
  std::int64_t answer_delay_ms = 0;
  // Number of answers to writes and commits to lose after their effect.
  std::int64_t lose_answers = 0;
};
BOOST_DESCRIBE_STRUCT(EndpointFaults,
                      (),
                      (apply_lag_ms, replication_frozen, cut, answer_delay_ms, lose_answers))

}  // namespace cardamom
