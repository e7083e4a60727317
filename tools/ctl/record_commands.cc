#include "tools/ctl/record_commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "cardamom/group_record.h"
#include "config/config_state.h"
#include "core/random_id.h"
#include "proxy/operations_api.h"
#include "tools/ctl/operations_client.h"

namespace cardamom {
namespace {

std::optional<std::string> ReadFile(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Prints every problem; returns whether there is none.
bool PrintProblems(const RecordParseResult& parse_result) {
  for (const auto& problem : parse_result.problems) {
    std::cerr << (problem.path.empty() ? "/" : problem.path) << ": " << problem.message << "\n";
  }
  return parse_result.problems.empty();
}

Outcome<ConfigSnapshot> FetchSnapshot(const CtlOptions& options) {
  HttpRequest request;
  request.target = "/v1/records";
  const auto response = SendToProxies(options, request, true);
  if (!response) {
    return response.error();
  }
  return DecodeJson<ConfigSnapshot>(response->body);
}

}  // namespace

int CheckRecord(const CtlOptions& options) {
  if (options.arguments.size() != 1) {
    std::cerr << "usage: cardamomctl check FILE\n";
    return kExitUsage;
  }
  const auto text = ReadFile(options.arguments[0]);
  if (!text) {
    std::cerr << options.arguments[0] << ": cannot be read\n";
    return kExitUsage;
  }
  const auto parse_result = ParseRecord(*text);
  if (!PrintProblems(parse_result)) {
    return kExitInvalid;
  }
  std::cout << "valid: group " << parse_result.record->group.value() << "\n";
  return kExitOk;
}

int ChangeRecord(const CtlOptions& options) {
  if (options.arguments.size() != 1) {
    std::cerr << "usage: cardamomctl submit|replace FILE, or withdraw GROUP\n";
    return kExitUsage;
  }
  RecordChangeMessage message;
  message.action = options.command;
  message.change_id = options.change_id.empty() ? RandomId() : options.change_id;
  message.expected = Revision(options.revision);
  if (options.command == "withdraw") {
    message.group = GroupId(options.arguments[0]);
  } else {
    const auto text = ReadFile(options.arguments[0]);
    if (!text) {
      std::cerr << options.arguments[0] << ": cannot be read\n";
      return kExitUsage;
    }
    const auto parse_result = ParseRecord(*text);
    if (!PrintProblems(parse_result)) {
      return kExitInvalid;
    }
    message.group = parse_result.record->group;
    message.record = *text;
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/records";
  request.body = EncodeJson(message);
  // The change id makes the request idempotent.
  const auto response = SendToProxies(options, request, true);
  if (!response) {
    std::cerr << "change id " << message.change_id << "\n";
    return ReportError(response.error());
  }
  if (response->status != 200) {
    std::cerr << "change id " << message.change_id << "\n";
    return ReportProblem(*response);
  }
  const auto answer = DecodeJson<RecordChangeAnswer>(response->body);
  std::cout << "accepted at revision " << (answer ? answer->revision.value() : 0) << "\n";
  return kExitOk;
}

int ListRecords(const CtlOptions& options) {
  const auto snapshot = FetchSnapshot(options);
  if (!snapshot) {
    return ReportError(snapshot.error());
  }
  std::cout << "revision " << snapshot->revision.value() << "\n";
  for (const auto& stored : snapshot->records) {
    const auto parse_result = ParseRecord(stored.record);
    std::cout << stored.group.value() << "  revision " << stored.revision.value() << "  "
              << (parse_result.record ? "understood" : "not understood") << "\n";
  }
  return kExitOk;
}

int ShowRecord(const CtlOptions& options) {
  if (options.arguments.size() != 1) {
    std::cerr << "usage: cardamomctl show GROUP\n";
    return kExitUsage;
  }
  const auto snapshot = FetchSnapshot(options);
  if (!snapshot) {
    return ReportError(snapshot.error());
  }
  for (const auto& stored : snapshot->records) {
    if (stored.group.value() == options.arguments[0]) {
      std::cerr << "revision " << stored.revision.value() << "\n";
      std::cout << stored.record << "\n";
      return kExitOk;
    }
  }
  std::cerr << "no record of " << options.arguments[0] << "\n";
  return kExitNotFound;
}

}  // namespace cardamom
