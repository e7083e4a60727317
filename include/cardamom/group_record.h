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
  // "host:port", with an IP address as host.
  std::string address;
  FailureDomain domain;
  Region region;
  // A leaving endpoint gets no new work and is never promoted.
  bool leaving = false;

  bool operator==(const EndpointSpec&) const = default;
};

// Configuration of one group. A value type; distinct objects may be used from distinct threads.
struct GroupRecord {
  std::uint32_t schema = 2;
  GroupId group;
  std::vector<EndpointSpec> endpoints;
  // The primary of the first term; later ones are chosen by the system.
  EndpointId initial_primary;
  // Maximum age of the data for a read that sets no limit of its own.
  std::uint32_t max_read_age_ms = 1000;
  // Number of statements that an endpoint runs concurrently.
  std::uint32_t slots = 5;
  // Maximum number of connections from all proxies to one endpoint.
  std::uint32_t connections = 80;
  // Number of home proxies, the ones that hold connections to the group.
  std::uint32_t home_proxies = 21;
  // How long an idempotency key is kept.
  std::uint32_t key_retention_s = 86400;

  // Returns the endpoint with this id, or nullptr.
  const EndpointSpec* FindEndpoint(const EndpointId& id) const;
  // Ids of the endpoints that are not leaving, in the order of the record.
  std::vector<EndpointId> ServingEndpointIds() const;

  bool operator==(const GroupRecord&) const = default;
};

// An error in a record. `path` is the JSON pointer of the faulty value.
struct RecordProblem {
  std::string path;
  std::string message;
};

// The result of ParseRecord: either a record or at least one problem.
struct RecordParseResult {
  std::optional<GroupRecord> record;
  std::vector<RecordProblem> problems;
  // The record has a schema version that this program does not support.
  bool schema_unknown = false;
};

// Parses a record of any supported schema version and converts it to the newest. Reports every
// error in the record, not only the first one. Thread safe.
RecordParseResult ParseRecord(std::string_view text);

// Returns `record` as JSON text in the newest schema. Thread safe.
std::string FormatRecord(const GroupRecord& record);

}  // namespace cardamom
