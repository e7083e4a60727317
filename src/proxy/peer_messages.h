// Messages between proxies.
#pragma once

#include <cstdint>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// GET /peer/v1/revision. Ages are sent instead of times, since clocks differ.
struct RevisionAnswer {
  Revision revision;
  // How long ago the platform, or a relay of it, confirmed the revision.
  std::int64_t confirmed_age_ms = 0;
};
BOOST_DESCRIBE_STRUCT(RevisionAnswer, (), (revision, confirmed_age_ms))

// GET /peer/v1/reach/{group}: whether the answering proxy reaches the group's primary.
struct ReachAnswer {
  Term term;
  // 0 while it does.
  std::int64_t failing_ms = 0;
  // Whether the proxy watches the group closely enough to know.
  bool known = false;
};
BOOST_DESCRIBE_STRUCT(ReachAnswer, (), (term, failing_ms, known))

}  // namespace cardamom
