// The operator's configuration: the group that serves each database name, and the limits that
// apply.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cardamom/strong.h"
#include "core/clock.h"
#include "organisation/organisation.h"
#include "statement/statement.h"

namespace cardamom {

enum class Consistency {
  // Every read sees every acknowledged commit.
  kPrimary,
  // Reads may miss commits acknowledged within the last `max_staleness` of the route.
  kBoundedStaleness,
  // As kBoundedStaleness, but reads also see the session's own commits.
  kReadYourWrites,
};

// How statements for one database are handled. All structs in this file are value types.
struct Route {
  DatabaseName database;
  GroupId group;
  Consistency consistency = Consistency::kPrimary;
  // Time limit of one statement.
  Millis statement_timeout{1000};
  // Latency objective of a whole operation.
  Millis latency_objective{500};
  // 0 is the highest.
  int priority = 0;
  // Greatest age of the data that reads may return.
  Millis max_staleness{0};
  // Callers need no key.
  bool is_public = true;
};

struct GroupSettings {
  GroupId group;
  // Connections that one server accepts from all proxies together.
  std::int64_t max_connections = 80;
  // A commit is acknowledged once this many replicas have received it.
  std::int64_t sync_replicas = 0;
};

struct Configuration {
  std::uint64_t version = 0;
  std::map<DatabaseName, Route> routes;
  std::map<GroupId, GroupSettings> groups;
  // Empty if the deployment has no organisations.
  std::map<OrganisationName, Organisation> organisations;
  // The organisation that holds each key.
  std::map<ApiKey, OrganisationName> organisation_of_key;
  // A transaction that is idle for longer may be ended.
  Millis transaction_idle_limit{3000};
  // Longest wait for the first message of a session.
  Millis handshake_timeout{3000};
};

}  // namespace cardamom
