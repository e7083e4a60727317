// Read-only commands.
#pragma once

#include "tools/ctl/ctl_options.h"

namespace cardamom {

// Each returns the exit code of the program.
int ShowStatus(const CtlOptions& options);
int ShowTimeline(const CtlOptions& options);

}  // namespace cardamom
