// Read-only commands.
#pragma once

#include "tools/ctl/ctl_options.h"

namespace cardamom {

// Each function of this file returns the exit code of the program.

int ShowStatus(const CtlOptions& options);
// Shows the events in the log files given as arguments, or those of all live proxies if none are
// given.
int ShowTimeline(const CtlOptions& options);

}  // namespace cardamom
