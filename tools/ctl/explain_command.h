// The command that explains the outcome of a request.
#pragma once

#include "tools/ctl/ctl_options.h"

namespace cardamom {

// `explain ID LOG...`: prints the outcome of a request and its cause according to the logs. Exit
// codes: kExitUsage if the id or the logs are missing or a log cannot be opened, kExitNotFound if
// no event contains the request's id.
int ExplainRequest(const CtlOptions& options);

}  // namespace cardamom
