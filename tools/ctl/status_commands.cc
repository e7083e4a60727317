#include "tools/ctl/status_commands.h"

#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "proxy/operations_api.h"
#include "tools/ctl/log_reader.h"
#include "tools/ctl/operations_client.h"
#include "tools/ctl/timeline_format.h"

namespace cardamom {
namespace {

Outcome<ProxyStatus> FetchStatus(const CtlOptions& options) {
  HttpRequest request;
  request.target = "/v1/status";
  const auto response = SendToProxies(options, request, true);
  if (!response) {
    return response.error();
  }
  return DecodeJson<ProxyStatus>(response->body);
}

void PrintStatus(const ProxyStatus& status) {
  std::cout << fmt::format("vm {}  {}  revision {}  in progress {}  vms {}\n", status.vm.value(),
                           status.ready ? "ready" : "not ready", status.revision.value(),
                           status.in_progress, status.vms.size());
  for (const auto& group : status.groups) {
    std::cout << fmt::format("group {}  term {}  primary {}  committed {}  steward rank {}\n",
                             group.group.value(), group.term.value(), group.primary.value(),
                             group.committed.value(), group.steward_rank);
    for (const auto& endpoint : group.endpoints) {
      std::cout << fmt::format(
          "  {:<12} {:<8} {:<8} {:<11} lineage {} held {} applied {} outstanding {}/{} "
          "connections {}\n",
          endpoint.endpoint.value(), endpoint.primary ? "primary" : "replica",
          endpoint.leaving ? "leaving" : "serving",
          endpoint.reachable ? "reachable" : "unreachable", endpoint.lineage.value(),
          endpoint.held.value(), endpoint.applied.value(), endpoint.outstanding, endpoint.limit,
          endpoint.connections);
    }
  }
}

// The operations addresses in `options`, and those of the live proxies that the first proxy that
// answers lists.
std::vector<std::string> AllProxyAddresses(const CtlOptions& options) {
  auto addresses = options.proxies;
  const auto status = FetchStatus(options);
  if (!status) {
    return addresses;
  }
  for (const auto& vm : status->vms) {
    const bool known =
        std::find(addresses.begin(), addresses.end(), vm.operations_address) != addresses.end();
    if (!known && !vm.operations_address.empty()) {
      addresses.push_back(vm.operations_address);
    }
  }
  return addresses;
}

}  // namespace

int ShowStatus(const CtlOptions& options) {
  const auto status = FetchStatus(options);
  if (!status) {
    return ReportError(status.error());
  }
  if (options.format == "json") {
    std::cout << EncodeJson(*status) << "\n";
  } else {
    PrintStatus(*status);
  }
  return kExitOk;
}

namespace {

// The events of all live proxies. Errors: kPlatformUnavailable if none answers.
Outcome<std::vector<Event>> FetchEvents(const CtlOptions& options) {
  std::vector<Event> events;
  std::size_t answered_proxies = 0;
  for (const auto& address : AllProxyAddresses(options)) {
    auto proxy_options = options;
    proxy_options.proxies = {address};
    HttpRequest request;
    request.target = "/v1/events";
    const auto response = SendToProxies(proxy_options, request, true);
    if (!response) {
      std::cerr << address << ": " << response.error().detail << "\n";
      continue;
    }
    const auto list = DecodeJson<EventList>(response->body);
    if (list) {
      ++answered_proxies;
      events.insert(events.end(), list->events.begin(), list->events.end());
    }
  }
  if (answered_proxies == 0) {
    return Error{ResultCode::kPlatformUnavailable, "no proxy answers", Ran::kNo};
  }
  return events;
}

}  // namespace

int ShowTimeline(const CtlOptions& options) {
  std::vector<Event> events;
  if (options.arguments.empty()) {
    auto fetched = FetchEvents(options);
    if (!fetched) {
      return kExitUnavailable;
    }
    events = std::move(*fetched);
  } else {
    auto log = ReadLogFiles(options.arguments);
    if (!log) {
      std::cerr << log.error().detail << "\n";
      return kExitUsage;
    }
    events = std::move(log->events);
  }
  SortEvents(events);
  const auto text = options.format == "html"    ? TimelineHtml(events)
                    : options.format == "jsonl" ? TimelineJsonLines(events)
                                                : TimelineText(events);
  if (options.output.empty()) {
    std::cout << text;
  } else {
    std::ofstream(options.output) << text;
  }
  return kExitOk;
}

}  // namespace cardamom
