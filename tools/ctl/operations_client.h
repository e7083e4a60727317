// Sends requests to the operations port of the first proxy that answers.
#pragma once

#include <optional>
#include <string>

#include "http/blocking_client.h"
#include "tools/ctl/ctl_options.h"

namespace cardamom {

// Sends `request` to the proxies in turn until one answers. A request that may have taken effect is
// sent to the next proxy only if it is `idempotent`. Errors: kBadField for an address that cannot
// be parsed, kTransport if there is no proxy, else kTransport or kConnectionRefused from the last
// attempt. Thread safe.
Outcome<HttpResponse> SendToProxies(const CtlOptions& options,
                                    const HttpRequest& request,
                                    bool idempotent);

// Prints the error in `response` and returns the matching exit code.
int ReportProblem(const HttpResponse& response);
// Prints `error` and returns the matching exit code.
int ReportError(const Error& error);

}  // namespace cardamom
