// Runs the daemon as a session gateway.
#pragma once

#include <string>
#include <vector>

namespace cardamom {

// Runs the gateway until SIGTERM or SIGINT and then exits the process. Returns, with an exit code,
// only after --help, --check-settings or an error during start-up. `arguments` are the command-line
// arguments after the word "gateway".
int RunGateway(std::vector<std::string> arguments);

}  // namespace cardamom
