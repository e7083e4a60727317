// A child process of a test or an experiment.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace cardamom {

// Not thread safe. The destructor kills the process.
class Process {
 public:
  // Starts `program` with `arguments`; its log goes to `log_path`.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // First line of standard output; empty if the process ended without one.
  std::string ReadLine();

  void Signal(int number) const;
  void Kill();
  // SIGSTOP and SIGCONT.
  void Freeze() const;
  void Thaw() const;
  // Waits for the end of the process. Returns its exit code, or nothing after `timeout`.
  std::optional<int> Wait(Millis timeout);
  bool running() const { return m_pid > 0; }
  pid_t pid() const { return m_pid; }

 private:
  pid_t m_pid = -1;
  int m_output = -1;
};

// What a process has used so far.
struct ProcessUsage {
  double cpu_seconds = 0;
  std::size_t resident_bytes = 0;
};
ProcessUsage UsageOf(pid_t pid);

}  // namespace cardamom
