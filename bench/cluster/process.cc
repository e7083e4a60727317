#include "bench/cluster/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace cardamom {

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log_path) {
  int pipe_fds[2];
  if (pipe2(pipe_fds, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const int error_number =
      posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_fds[1]);
  m_stdout_fd = pipe_fds[0];
  if (error_number != 0) {
    m_pid = -1;
    throw std::runtime_error("cannot start " + program);
  }
}

Process::~Process() {
  Kill();
  if (m_stdout_fd >= 0) {
    close(m_stdout_fd);
  }
}

std::string Process::ReadLine() {
  std::string line;
  char c = 0;
  while (read(m_stdout_fd, &c, 1) == 1 && c != '\n') {
    line += c;
  }
  return line;
}

void Process::Signal(int number) const {
  if (m_pid > 0) {
    kill(m_pid, number);
  }
}

void Process::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
}

void Process::Suspend() const {
  Signal(SIGSTOP);
}

void Process::Resume() const {
  Signal(SIGCONT);
}

std::optional<int> Process::Wait(Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  int status = 0;
  while (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == 0) {
    if (Clock::now() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(Millis(5));
  }
  m_pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

ProcessUsage UsageOf(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text(std::istreambuf_iterator<char>(stat), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  // Positions in /proc/PID/stat, counted from the state field: user time, system time and resident
  // pages.
  constexpr std::size_t kUserTimeField = 11;
  constexpr std::size_t kSystemTimeField = 12;
  constexpr std::size_t kResidentPagesField = 21;
  ProcessUsage usage;
  usage.cpu_seconds =
      (std::stod(values.at(kUserTimeField)) + std::stod(values.at(kSystemTimeField))) /
      static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_bytes =
      std::stoull(values.at(kResidentPagesField)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

}  // namespace cardamom
