// A machine with the project's process, and what watches it.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <string>

#include "database.h"
#include "net.h"
#include "store.h"

namespace review {

// One machine with the project's process, as the deploy file starts it.
class Machine {
 public:
  Machine(std::string name,
          std::string program,
          const std::string& directory,
          const Store& store,
          const Database& database,
          const std::string& seeds,
          std::array<std::uint16_t, 4> ports)
      : m_name(std::move(name)),
        m_program(std::move(program)),
        m_settings(directory + "/" + m_name + ".conf"),
        m_log(directory + "/" + m_name + ".log"),
        m_ports(ports) {
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream settings(m_settings);
    settings << "vm-id = " << m_name << "\ndomain = z1\nregion = r1\n"
             << "listen-sessions = " << address(m_ports[0]) << "\n"
             << "listen-ready = " << address(m_ports[1]) << "\n"
             << "listen-metrics = " << address(m_ports[2]) << "\n"
             << "listen-peers = " << address(m_ports[3]) << "\n"
             << "seeds = " << seeds << "\ncapacity = 0.17\n"
             << "store = " << address(store.port()) << "\n"
             << "orders = " << address(database.orders_port()) << "\n"
             << "max-files = 2940\nmemory-mb = 182\nconfig-apply-ms = 3000\n"
             << "drain-ms = 7000\nstop-limit-ms = 6s\n";
  }

  const std::string& name() const { return m_name; }
  std::uint16_t sessions_port() const { return m_ports[0]; }
  pid_t pid() const { return m_pid; }

  void Start() {
    const pid_t child = fork();
    if (child == 0) {
      // It ends together with the case.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execl(m_program.c_str(), m_program.c_str(), "gateway", "--settings-file", m_settings.c_str(),
            nullptr);
      _exit(kCouldNotRun);
    }
    m_pid = child;
    g_record.Add(m_name + " starts");
  }

  void Kill() {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
    g_record.Add(m_name + " is killed");
  }

  // Whether the process has ended by itself.
  bool HasEnded() { return m_pid != 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid; }

  bool IsReady() const {
    const int fd = ConnectTo(m_ports[1]);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /cardamomhub/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader reader(fd);
    const auto line = reader.Line(Clock::now() + milliseconds(1000));
    close(fd);
    return line && line->find(" 200 ") != std::string::npos;
  }

  // Resident memory in MB; 0 if the process does not run.
  std::size_t MemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string word; status >> word;) {
      std::size_t kilobytes = 0;
      if (word == "VmRSS:" && status >> kilobytes) {
        return kilobytes >> 10;
      }
    }
    return 0;
  }

 private:
  const std::string m_name;
  const std::string m_program;
  const std::string m_settings;
  const std::string m_log;
  const std::array<std::uint16_t, 4> m_ports;
  pid_t m_pid = 0;
};

}  // namespace review
