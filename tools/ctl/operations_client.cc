#include "tools/ctl/operations_client.h"

#include <iostream>

#include "proxy/caller_messages.h"

namespace cardamom {
namespace {

constexpr Millis kTimeout{6000};

int ExitCodeOf(int code) {
  switch (static_cast<ResultCode>(code)) {
    case ResultCode::kRecordInvalid:
    case ResultCode::kSchemaUnknown:
    case ResultCode::kBadField:
    case ResultCode::kBadJson:
      return kExitInvalid;
    case ResultCode::kRevisionConflict:
    case ResultCode::kRecordExists:
      return kExitConflict;
    case ResultCode::kRecordNotFound:
      return kExitNotFound;
    default:
      return kExitUnavailable;
  }
}

}  // namespace

Outcome<HttpResponse> SendToProxies(const CtlOptions& options,
                                    const HttpRequest& request,
                                    bool idempotent) {
  Error last{ResultCode::kTransport, "no proxy was named; use --proxies"};
  for (const auto& text : options.proxies) {
    const auto address = Address::Parse(text);
    if (!address) {
      return Error{ResultCode::kBadField, "'" + text + "' is not IP:PORT"};
    }
    BlockingClient client(*address);
    auto response = client.Send(request, kTimeout);
    if (response) {
      return response;
    }
    last = response.error();
    if (last.ran != Ran::kNo && !idempotent) {
      return last;
    }
  }
  return last;
}

int ReportProblem(const HttpResponse& response) {
  const auto problem = DecodeJson<ProblemDetails>(response.body);
  if (!problem || problem->code == 0) {
    std::cerr << "status " << response.status << ": " << response.body << "\n";
    return kExitUnavailable;
  }
  std::cerr << "error " << problem->code << " " << problem->title << ": " << problem->detail
            << " (ran: " << problem->ran << ")\n";
  return problem->ran == "unknown" ? kExitOutcomeUnknown : ExitCodeOf(problem->code);
}

int ReportError(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " " << InfoOf(error.code).name << ": "
            << error.detail << " (ran: " << ToString(error.ran) << ")\n";
  return error.ran == Ran::kUnknown ? kExitOutcomeUnknown
                                    : ExitCodeOf(static_cast<int>(error.code));
}

}  // namespace cardamom
