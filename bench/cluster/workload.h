// Sessions that write, roam and read while failures happen.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "bench/cluster/cluster.h"
#include "bench/cluster/history.h"
#include "bench/cluster/session.h"

namespace cardamom {

struct WorkloadOptions {
  std::string group = "g";
  int sessions = 4;
  Millis pause{5};
  Millis deadline{5000};
  // Greatest age that the reads state; they state none without it.
  std::optional<Millis> age;
  std::uint64_t seed = 1;
};

// Runs from construction to Stop. Each session writes one row with a key through one proxy and
// reads the table through another.
class Workload {
 public:
  Workload(Cluster& cluster, const WorkloadOptions& options);
  ~Workload();

  // Ends the sessions after their present request.
  void Stop();
  // Waits until `count` more writes were acknowledged. Returns false after `timeout`.
  bool WaitForWrites(std::size_t count, Millis timeout);
  // Proxies that get no further requests.
  void Avoid(std::size_t proxy) { m_avoided = static_cast<int>(proxy); }

  History& history() { return m_history; }

 private:
  void RunSession(int session);

  Cluster& m_cluster;
  const WorkloadOptions m_options;
  History m_history;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_avoided{-1};
  std::vector<std::thread> m_threads;
};

// Creates the table that a workload writes to.
void CreateWorkloadTable(Cluster& cluster, const std::string& group);

// The table as a fresh caller reads it from the primary.
std::map<std::string, int> FinalState(Cluster& cluster,
                                      const std::string& group,
                                      std::size_t proxy = 0);

}  // namespace cardamom
