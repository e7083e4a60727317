// Talks to the operations port of the first proxy that answers.
#pragma once

#include <optional>
#include <string>

#include "http/blocking_client.h"
#include "tools/ctl/ctl_options.h"

namespace cardamom {

// Sends `request` to the proxies in turn until one answers; a request that may have taken effect is
// repeated only if `repeatable`. Errors: kTransport, kConnectionRefused, kBadField.
Outcome<HttpResponse> Ask(const CtlOptions& options, const HttpRequest& request, bool repeatable);

// Prints the problem in `response` and returns the exit code that goes with it.
int ReportProblem(const HttpResponse& response);
int ReportError(const Error& error);

}  // namespace cardamom
