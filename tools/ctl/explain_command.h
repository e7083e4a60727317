// The command that leads from a request's id to its cause.
#pragma once

#include "tools/ctl/ctl_options.h"

namespace cardamom {

// `explain ID LOG...`: prints what the logs say of a request. Exit codes: kExitUsage without an id
// or a log that can be read, kExitNotFound if no event names the request.
int ExplainRequest(const CtlOptions& options);

}  // namespace cardamom
