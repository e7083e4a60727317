// The operator's record of a database group, in its newest schema.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamom/strong.h"

namespace cardamom {

// One database server of a group.
struct EndpointSpec {
  EndpointId id;
  // "host:port", with an IP number as host.
  std::string address;
  FailureDomain domain;
  Region region;
  // A leaving endpoint gets no new work and is never promoted.
  bool leaving = false;

  bool operator==(const EndpointSpec&) const = default;
};

// A value type; distinct objects may be used from distinct threads.
struct GroupRecord {
  std::uint32_t schema = 2;
  GroupId group;
  std::vector<EndpointSpec> endpoints;
  // The primary of the first term; later ones are chosen by the system.
  EndpointId initial_primary;
  // Greatest age of a read that states none.
  std::uint32_t max_read_age_ms = 1000;
  // Statements that an endpoint runs at once.
  std::uint32_t slots = 5;
  // Connections that an endpoint takes from all proxies together.
  std::uint32_t connections = 80;
  // Size of the set of proxies that hold connections to the group.
  std::uint32_t home_proxies = 21;
  // How long an idempotency key is kept.
  std::uint32_t key_retention_s = 86400;

  // The entry of `id`, or nullptr.
  const EndpointSpec* Find(const EndpointId& id) const;
  // Ids of the endpoints that serve, in the order of the record.
  std::vector<EndpointId> ServingIds() const;

  bool operator==(const GroupRecord&) const = default;
};

// One error of a record and the JSON pointer of its place.
struct RecordProblem {
  std::string path;
  std::string message;
};

// The result of reading a record: either a record or at least one problem.
struct RecordCheck {
  std::optional<GroupRecord> record;
  std::vector<RecordProblem> problems;
  // The schema version is one that this program does not know.
  bool schema_unknown = false;
};

// Reads a record of any known schema version, converts it to the newest and finds every error in
// it. Thread safe.
RecordCheck ParseRecord(std::string_view text);

// JSON text of `record` in the newest schema. Thread safe.
std::string FormatRecord(const GroupRecord& record);

}  // namespace cardamom
