// Commands that check, change and show the records of groups.
#pragma once

#include "tools/ctl/ctl_options.h"

namespace cardamom {

// Each function of this file returns the exit code of the program.

// Checks a record file without contacting a proxy.
int CheckRecord(const CtlOptions& options);
// Submits, replaces or withdraws a record, depending on `options.command`.
int ChangeRecord(const CtlOptions& options);
int ListRecords(const CtlOptions& options);
int ShowRecord(const CtlOptions& options);

}  // namespace cardamom
