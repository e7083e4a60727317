// Messages between proxies.
#pragma once

#include <cstdint>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// GET /peer/v1/revision. Ages are sent instead of times, since the clocks of VMs differ.
struct RevisionAnswer {
  Revision revision;
  // How long ago the platform last reported its newest revision to this proxy, directly or through
  // other proxies. The reported revision may be greater than `revision` while it is being fetched.
  std::int64_t confirmed_age_ms = 0;
};
BOOST_DESCRIBE_STRUCT(RevisionAnswer, (), (revision, confirmed_age_ms))

// GET /peer/v1/reach/{group}: whether the answering proxy reaches the group's primary.
struct ReachAnswer {
  Term term;
  // How long its requests to the primary have been failing; 0 while they succeed.
  std::int64_t failing_ms = 0;
  // Whether the answer rests on a recent observation; otherwise it is no evidence.
  bool known = false;
};
BOOST_DESCRIBE_STRUCT(ReachAnswer, (), (term, failing_ms, known))

}  // namespace cardamom
