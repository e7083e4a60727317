// Organisations whose callers share a deployment, and the keys by which callers identify
// themselves.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cardamom/strong.h"

namespace cardamom {

// Empty for statements of no organisation: those on public routes, and the proxy's own.
using OrganisationName = Strong<struct OrganisationNameTag, std::string>;

// A secret that a caller sends when it opens a session. Must never be logged, exported in a metric
// or passed on to a server or another proxy.
using ApiKey = Strong<struct ApiKeyTag, std::string>;

// Limit on the operations of one organisation over all proxies: a token bucket. A value type.
struct Quota {
  double rate_per_s = 0;
  double burst = 0;

  bool operator==(const Quota&) const = default;
};

// A value type.
struct Organisation {
  OrganisationName name;
  std::set<ApiKey> keys;
  // 0 is the highest.
  int priority = 0;
  // Not set: no limit.
  std::optional<Quota> quota;
};

}  // namespace cardamom
