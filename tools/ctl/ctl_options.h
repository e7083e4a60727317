// Options and exit codes of cardamomctl.
#pragma once

#include <string>
#include <vector>

namespace cardamom {

// Exit codes. kExitUnavailable also covers errors without a code of their own; kExitOutcomeUnknown
// means that the request may have been executed.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitInvalid = 3;
inline constexpr int kExitConflict = 4;
inline constexpr int kExitNotFound = 5;
inline constexpr int kExitUnavailable = 6;
inline constexpr int kExitOutcomeUnknown = 7;

struct CtlOptions {
  std::string command;
  std::vector<std::string> arguments;
  // Operations addresses of proxies, tried in turn.
  std::vector<std::string> proxies;
  std::uint64_t revision = 0;
  std::string change_id;
  std::string format = "text";
  std::string output;
};

}  // namespace cardamom
