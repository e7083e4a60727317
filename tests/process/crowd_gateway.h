// A `cardamomd gateway` process with stand-ins of its store and of one database server.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bench/cluster/process.h"
#include "crowd_backend.h"

namespace cardamom {

// Largest resident memory and number of open descriptors of a process. Throw std::runtime_error if
// there is no such process.
std::size_t PeakMemoryMb(pid_t pid);
std::size_t OpenDescriptors(pid_t pid);

// Loopback addresses with ports that are free now. Thread safe.
std::vector<Address> FreeAddresses(std::size_t count);
// Directory of the programs under test. Thread safe.
std::string ProgramDirectory();

// Serves the database `db` on group `g`. Not thread safe.
class GatewayUnderTest {
 public:
  // Starts the process and waits until it is ready. Throws std::runtime_error on a timeout.
  GatewayUnderTest(std::size_t memory_mb, std::size_t max_files);
  ~GatewayUnderTest();

  Process& process() { return *m_process; }
  const Address& sessions() const { return m_addresses[0]; }
  const Address& readiness() const { return m_addresses[1]; }
  const Address& peers() const { return m_addresses[2]; }
  const Address& metrics() const { return m_addresses[3]; }

  // Opens a session and reads one row, again with a new session until `timeout` if it is refused or
  // closed. Returns whether the row was read.
  bool AnswersARequest(Millis timeout);

 private:
  CrowdStore m_store;
  CrowdDatabase m_database;
  std::vector<Address> m_addresses;
  std::string m_log_path;
  std::unique_ptr<Process> m_process;
};

}  // namespace cardamom
