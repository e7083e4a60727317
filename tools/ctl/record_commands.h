// Commands that check, change and show the records of groups.
#pragma once

#include "tools/ctl/ctl_options.h"

namespace cardamom {

// Each returns the exit code of the program.
int CheckRecord(const CtlOptions& options);
// Submits, replaces or withdraws a record, as `options.command` says.
int ChangeRecord(const CtlOptions& options);
int ListRecords(const CtlOptions& options);
int ShowRecord(const CtlOptions& options);

}  // namespace cardamom
