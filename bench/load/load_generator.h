// Open-loop load: each request starts at its scheduled time, whether or not earlier ones have
// ended.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "bench/load/load_result.h"
#include "http/connection_pool.h"

namespace cardamom {

struct LoadOptions {
  std::string name = "load";
  // At least one proxy and one group.
  std::vector<Address> proxies;
  std::vector<std::string> groups;
  // Requests per second over all proxies and groups; greater than 0.
  double requests_per_second = 200;
  Millis duration{5000};
  // Share of reads among the requests, 0 to 1.
  double read_share = 0.9;
  // Greatest age that the reads request; if not set, they request none.
  std::optional<Millis> max_age;
  // Sessions of each group, at least 1.
  std::size_t sessions_per_group = 50;
  // At least 1.
  std::size_t threads = 2;
  // Deadline of each request.
  Millis deadline{5000};
  std::uint64_t seed = 1;
};

// Runs one load on its own threads. ExcludeProxy and, after Start, NowUs may be called from any
// thread, the rest from one thread. The destructor waits for the end of the run.
class LoadGenerator {
 public:
  explicit LoadGenerator(LoadOptions options);
  ~LoadGenerator();

  // Starts sending requests, for `LoadOptions::duration`. Call once.
  void Start();
  // Time since the start of the run.
  std::int64_t NowUs() const;
  // Waits for the last response and returns the measurements.
  LoadResult Finish();
  // Sends no further requests to a proxy. Another proxy must remain.
  void ExcludeProxy(const Address& proxy);

 private:
  // A session token, shared by requests that run at the same time.
  struct LoadSession {
    std::mutex mutex;
    std::string token;
  };

  // Starts requests with exponentially distributed gaps.
  asio::awaitable<void> SendArrivals();
  asio::awaitable<void> SendRequest(TimePoint due, std::uint64_t number, std::uint64_t seed);
  std::shared_ptr<ConnectionPool> PickProxy(std::uint64_t random);

  const LoadOptions m_options;
  asio::io_context m_context;
  std::vector<std::thread> m_threads;
  TimePoint m_start;
  std::mutex m_mutex;
  std::vector<std::shared_ptr<ConnectionPool>> m_pools;
  std::vector<LoadSample> m_samples;
  // The sessions of the first group, then those of the next, and so on.
  std::vector<std::unique_ptr<LoadSession>> m_sessions;
};

// Creates and fills the table that the load uses. Throws if it cannot.
void CreateLoadTable(const Address& proxy, const std::string& group);

}  // namespace cardamom
