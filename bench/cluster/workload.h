// Sessions that write and read through changing proxies while failures are injected.
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
  // Delay of a session after each pair of a write and a read.
  Millis request_delay{5};
  Millis deadline{5000};
  // Greatest age that the reads request; if not set, they request none.
  std::optional<Millis> max_age;
  std::uint64_t seed = 1;
};

// Runs from construction to Stop. Each session alternately writes one row with an idempotency key
// and reads the table, each time through a proxy chosen at random. The cluster must outlive the
// workload, and no proxy may be added to it while the workload runs. Stop and the destructor must
// be called from one thread; the rest is thread safe.
class Workload {
 public:
  Workload(Cluster& cluster, const WorkloadOptions& options);
  ~Workload();

  // Ends the sessions after their current write and read, and waits for that.
  void Stop();
  // Waits until `count` more writes are acknowledged. Returns false after `timeout`.
  bool WaitForWrites(std::size_t count, Millis timeout);
  // Sends no further requests to `proxy`; a proxy that was excluded before gets requests again. The
  // cluster must have another proxy.
  void ExcludeProxy(std::size_t proxy) { m_excluded_proxy = static_cast<int>(proxy); }

  History& history() { return m_history; }

 private:
  void RunSession(int session);

  Cluster& m_cluster;
  const WorkloadOptions m_options;
  History m_history;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_excluded_proxy{-1};
  std::vector<std::thread> m_threads;
};

// Creates the table that a workload writes to. Throws if it cannot.
void CreateWorkloadTable(Cluster& cluster, const std::string& group);

// The number of rows of each id, read from the primary: a new session has no token and requests no
// age, so no replica serves it. Throws if no read succeeds.
std::map<std::string, int> ReadFinalState(Cluster& cluster,
                                          const std::string& group,
                                          std::size_t proxy = 0);

}  // namespace cardamom
