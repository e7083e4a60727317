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
  // Starts `program` with `arguments`. Standard error is appended to `log_path`. Throws
  // std::runtime_error if the program cannot be started.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Next line of standard output; blocks until it is complete. If the process ends first, returns
  // the incomplete line, which may be empty.
  std::string ReadLine();

  // Sends a signal, unless the process was killed or its end was waited for.
  void Signal(int number) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Suspends the process by SIGSTOP.
  void Suspend() const;
  // Resumes it by SIGCONT.
  void Resume() const;
  // Waits for the end of the process. Returns its exit code, 128 + the signal that ended it, or
  // nothing after `timeout`. Returns 0 if it was killed or waited for already.
  std::optional<int> Wait(Millis timeout);
  // Whether the process was neither killed nor waited for; it may have ended by itself.
  bool running() const { return m_pid > 0; }
  pid_t pid() const { return m_pid; }

 private:
  pid_t m_pid = -1;
  int m_stdout_fd = -1;
};

// Resources that a process has used since its start.
struct ProcessUsage {
  double cpu_seconds = 0;
  std::size_t resident_bytes = 0;
};
// Throws if there is no such process. Thread safe.
ProcessUsage UsageOf(pid_t pid);

}  // namespace cardamom
