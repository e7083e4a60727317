#include "cardamom/group_record.h"

#include <algorithm>
#include <initializer_list>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "core/json.h"
#include "http/address.h"

namespace cardamom {

namespace {

constexpr std::size_t kMaxEndpoints = 15;
constexpr std::size_t kMaxIdLength = 64;

struct Range {
  std::uint32_t min;
  std::uint32_t max;
};

constexpr Range kReadAgeRangeMs{1, 3'600'000};
constexpr Range kSlotsRange{1, 10'000};
constexpr Range kConnectionsRange{1, 100'000};
constexpr Range kHomeProxiesRange{1, 1000};
constexpr Range kKeyRetentionRangeS{60, 31'536'000};

// Reads members of one JSON object and collects every problem. Not thread safe.
class ObjectReader {
 public:
  ObjectReader(const boost::json::object& object,
               std::string path,
               std::vector<RecordProblem>& problems)
      : m_object(object), m_path(std::move(path)), m_problems(problems) {}

  std::string ReadId(std::string_view name) {
    auto text = ReadString(name, true);
    const bool valid = std::all_of(text.begin(), text.end(), [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
    if (!valid || text.size() > kMaxIdLength) {
      AddProblem(name, "must be at most 64 letters, digits, '-', '_' or '.'");
    }
    return text;
  }

  std::string ReadString(std::string_view name, bool required) {
    const auto* value = Find(name);
    if (value == nullptr) {
      if (required) {
        AddProblem(name, "is missing");
      }
      return {};
    }
    if (!value->is_string()) {
      AddProblem(name, "must be a string");
      return {};
    }
    if (required && value->get_string().empty()) {
      AddProblem(name, "must not be empty");
    }
    return std::string(value->get_string());
  }

  std::uint32_t ReadNumber(std::string_view name, std::uint32_t fallback, Range range) {
    const auto* value = Find(name);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_int64() || value->get_int64() < range.min || value->get_int64() > range.max) {
      AddProblem(name, fmt::format("must be a whole number from {} to {}", range.min, range.max));
      return fallback;
    }
    return static_cast<std::uint32_t>(value->get_int64());
  }

  const boost::json::array* ReadArray(std::string_view name) {
    const auto* value = Find(name);
    if (value == nullptr || !value->is_array()) {
      AddProblem(name, value == nullptr ? "is missing" : "must be an array");
      return nullptr;
    }
    return &value->get_array();
  }

  // Adds a problem for every member that no call has read.
  void ReportUnknownMembers() {
    for (const auto& member : m_object) {
      if (!m_schema_members.contains(std::string(member.key()))) {
        AddProblem(member.key(), "is not a field of this schema");
      }
    }
  }

  void AddProblem(std::string_view name, std::string message) {
    m_problems.push_back({fmt::format("{}/{}", m_path, name), std::move(message)});
  }

 private:
  const boost::json::value* Find(std::string_view name) {
    m_schema_members.emplace(name);
    return m_object.if_contains(name);
  }

  const boost::json::object& m_object;
  const std::string m_path;
  std::vector<RecordProblem>& m_problems;
  std::set<std::string> m_schema_members;
};

void ReadAddress(ObjectReader& reader, EndpointSpec& endpoint) {
  endpoint.address = reader.ReadString("address", true);
  const auto address = Address::Parse(endpoint.address);
  if (!endpoint.address.empty() && (!address || address->port == 0)) {
    reader.AddProblem("address", "must be IP:PORT with a port from 1 to 65535");
  }
}

EndpointSpec ReadEndpointV1(ObjectReader& reader) {
  EndpointSpec endpoint;
  endpoint.id = EndpointId(reader.ReadId("id"));
  ReadAddress(reader, endpoint);
  return endpoint;
}

EndpointSpec ReadEndpointV2(ObjectReader& reader) {
  auto endpoint = ReadEndpointV1(reader);
  endpoint.domain = FailureDomain(reader.ReadString("domain", false));
  endpoint.region = Region(reader.ReadString("region", false));
  const auto state = reader.ReadString("state", false);
  if (!state.empty() && state != "serving" && state != "leaving") {
    reader.AddProblem("state", "must be serving or leaving");
  }
  endpoint.leaving = state == "leaving";
  return endpoint;
}

using EndpointReader = EndpointSpec (*)(ObjectReader&);

std::vector<EndpointSpec> ReadEndpoints(ObjectReader& reader,
                                        std::string_view name,
                                        EndpointReader read,
                                        std::vector<RecordProblem>& problems) {
  std::vector<EndpointSpec> endpoints;
  const auto* array = reader.ReadArray(name);
  if (array == nullptr) {
    return endpoints;
  }
  if (array->empty() || array->size() > kMaxEndpoints) {
    reader.AddProblem(name, fmt::format("must name 1 to {} endpoints", kMaxEndpoints));
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto path = fmt::format("/{}/{}", name, i);
    if (!(*array)[i].is_object()) {
      problems.push_back({path, "must be an object"});
      continue;
    }
    ObjectReader element((*array)[i].get_object(), path, problems);
    endpoints.push_back(read(element));
    element.ReportUnknownMembers();
  }
  return endpoints;
}

void CheckConsistency(const GroupRecord& record,
                      ObjectReader& reader,
                      std::string_view endpoints_field,
                      std::string_view primary_field,
                      std::vector<RecordProblem>& problems) {
  std::set<EndpointId> ids;
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < record.endpoints.size(); ++i) {
    const auto& endpoint = record.endpoints[i];
    if (!ids.insert(endpoint.id).second) {
      problems.push_back({fmt::format("/{}/{}/id", endpoints_field, i), "stands twice"});
    }
    if (!endpoint.address.empty() && !addresses.insert(endpoint.address).second) {
      problems.push_back({fmt::format("/{}/{}/address", endpoints_field, i), "stands twice"});
    }
  }
  if (record.FindEndpoint(record.initial_primary) == nullptr) {
    reader.AddProblem(primary_field, "names no endpoint of the record");
  }
  if (!record.endpoints.empty() && record.ServingEndpointIds().empty()) {
    reader.AddProblem(endpoints_field, "must keep at least one serving endpoint");
  }
}

GroupRecord ReadV1(ObjectReader& reader, std::vector<RecordProblem>& problems) {
  GroupRecord record;
  record.group = GroupId(reader.ReadId("group"));
  record.endpoints = ReadEndpoints(reader, "servers", &ReadEndpointV1, problems);
  record.initial_primary = EndpointId(reader.ReadId("primary"));
  record.max_read_age_ms =
      reader.ReadNumber("max_staleness_ms", record.max_read_age_ms, kReadAgeRangeMs);
  record.slots = reader.ReadNumber("slots", record.slots, kSlotsRange);
  record.connections = reader.ReadNumber("connections", record.connections, kConnectionsRange);
  CheckConsistency(record, reader, "servers", "primary", problems);
  return record;
}

GroupRecord ReadV2(ObjectReader& reader, std::vector<RecordProblem>& problems) {
  GroupRecord record;
  record.group = GroupId(reader.ReadId("group"));
  record.endpoints = ReadEndpoints(reader, "endpoints", &ReadEndpointV2, problems);
  record.initial_primary = EndpointId(reader.ReadId("initial_primary"));
  record.max_read_age_ms =
      reader.ReadNumber("max_read_age_ms", record.max_read_age_ms, kReadAgeRangeMs);
  record.slots = reader.ReadNumber("slots", record.slots, kSlotsRange);
  record.connections = reader.ReadNumber("connections", record.connections, kConnectionsRange);
  record.home_proxies = reader.ReadNumber("home_proxies", record.home_proxies, kHomeProxiesRange);
  record.key_retention_s =
      reader.ReadNumber("key_retention_s", record.key_retention_s, kKeyRetentionRangeS);
  CheckConsistency(record, reader, "endpoints", "initial_primary", problems);
  return record;
}

boost::json::object FormatEndpoint(const EndpointSpec& endpoint) {
  return {{"id", endpoint.id.value()},
          {"address", endpoint.address},
          {"domain", endpoint.domain.value()},
          {"region", endpoint.region.value()},
          {"state", endpoint.leaving ? "leaving" : "serving"}};
}

}  // namespace

const EndpointSpec* GroupRecord::FindEndpoint(const EndpointId& id) const {
  const auto it = std::find_if(endpoints.begin(), endpoints.end(),
                               [&id](const EndpointSpec& endpoint) { return endpoint.id == id; });
  return it == endpoints.end() ? nullptr : &*it;
}

std::vector<EndpointId> GroupRecord::ServingEndpointIds() const {
  std::vector<EndpointId> ids;
  for (const auto& endpoint : endpoints) {
    if (!endpoint.leaving) {
      ids.push_back(endpoint.id);
    }
  }
  return ids;
}

RecordParseResult ParseRecord(std::string_view text) {
  RecordParseResult result;
  boost::system::error_code ec;
  const auto json = boost::json::parse(text, ec);
  if (ec || !json.is_object()) {
    result.problems.push_back({"", ec ? "is not JSON: " + ec.message() : "must be an object"});
    return result;
  }
  ObjectReader reader(json.get_object(), "", result.problems);
  const auto* schema = json.get_object().if_contains("schema");
  if (schema == nullptr || !schema->is_int64()) {
    reader.AddProblem("schema", "must be a whole number");
    return result;
  }
  reader.ReadNumber("schema", 0, {0, UINT32_MAX});
  GroupRecord record;
  switch (schema->get_int64()) {
    case 1:
      record = ReadV1(reader, result.problems);
      break;
    case 2:
      record = ReadV2(reader, result.problems);
      break;
    default:
      result.schema_unknown = true;
      reader.AddProblem("schema", "is a version that this program does not know");
      return result;
  }
  reader.ReportUnknownMembers();
  if (result.problems.empty()) {
    result.record = std::move(record);
  }
  return result;
}

std::string FormatRecord(const GroupRecord& record) {
  boost::json::array endpoints;
  for (const auto& endpoint : record.endpoints) {
    endpoints.push_back(FormatEndpoint(endpoint));
  }
  return boost::json::serialize(
      boost::json::object{{"schema", 2},
                          {"group", record.group.value()},
                          {"endpoints", std::move(endpoints)},
                          {"initial_primary", record.initial_primary.value()},
                          {"max_read_age_ms", record.max_read_age_ms},
                          {"slots", record.slots},
                          {"connections", record.connections},
                          {"home_proxies", record.home_proxies},
                          {"key_retention_s", record.key_retention_s}});
}

}  // namespace cardamom
