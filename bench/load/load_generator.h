// Open-loop load: requests start when they are due, whether or not earlier ones have ended.
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
  std::vector<Address> proxies;
  std::vector<std::string> groups;
  double rate = 200;
  Millis duration{5000};
  double read_share = 0.9;
  // Greatest age that reads state; none without it.
  std::optional<Millis> age;
  std::size_t sessions = 50;
  std::size_t threads = 2;
  Millis deadline{5000};
  std::uint64_t seed = 1;
};

// Runs one load on threads of its own. Stop and MarkNow may be called from any thread.
class LoadGenerator {
 public:
  explicit LoadGenerator(LoadOptions options);
  ~LoadGenerator();

  // Starts the arrivals. Call once.
  void Start();
  // Offset of the present moment from the start of the run.
  std::int64_t NowUs() const;
  // Waits for the last answer and returns what was measured.
  LoadResult Finish();
  // Sends no further requests to a proxy.
  void Avoid(const Address& proxy);

 private:
  struct Session {
    std::mutex mutex;
    std::string token;
  };

  asio::awaitable<void> Arrivals();
  asio::awaitable<void> Request(TimePoint due, std::uint64_t number, std::uint64_t random);
  std::shared_ptr<ConnectionPool> PickProxy(std::uint64_t random);

  const LoadOptions m_options;
  asio::io_context m_context;
  std::vector<std::thread> m_threads;
  TimePoint m_start;
  std::mutex m_mutex;
  std::vector<std::shared_ptr<ConnectionPool>> m_pools;
  std::vector<LoadSample> m_samples;
  // One for each session and group.
  std::vector<std::unique_ptr<Session>> m_sessions;
};

// Creates the table that the load uses. Throws if it cannot.
void CreateLoadTable(const Address& proxy, const std::string& group);

}  // namespace cardamom
