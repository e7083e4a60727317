// The operator's configuration: which database name leads to which group, and under which bounds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cardamom/strong.h"
#include "core/clock.h"
#include "statement/statement.h"

namespace cardamom {

enum class Consistency {
  // Every read sees every acknowledged commit.
  kPrimary,
  // Reads may lack commits acknowledged within the route's age.
  kBoundedStaleness,
  // As kBoundedStaleness, and reads see the session's own commits.
  kReadYourWrites,
};

// Value types.
struct Route {
  DatabaseName database;
  GroupId group;
  Consistency consistency = Consistency::kPrimary;
  // Limit of a single statement.
  Millis statement_timeout{1000};
  // Latency objective of a whole operation.
  Millis target{500};
  // 0 is the highest.
  int priority = 0;
  Millis max_staleness{0};
};

struct GroupSettings {
  GroupId group;
  // Connections that a server takes from all proxies together.
  std::int64_t max_connections = 80;
  // A commit is acknowledged once this many replicas have received it.
  std::int64_t sync_replicas = 0;
};

struct Configuration {
  std::uint64_t version = 0;
  std::map<DatabaseName, Route> routes;
  std::map<GroupId, GroupSettings> groups;
  // A transaction that is idle for longer may be ended.
  Millis transaction_idle{3000};
  // Longest wait for the first message of a session.
  Millis greeting_timeout{3000};
};

}  // namespace cardamom
