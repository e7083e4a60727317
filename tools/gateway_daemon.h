// The daemon as a session gateway on the prepared platform.
#pragma once

#include <string>
#include <vector>

namespace cardamom {

// Runs until the process is told to stop; returns the exit code. `arguments` are those behind the
// word "gateway".
int RunGateway(std::vector<std::string> arguments);

}  // namespace cardamom
