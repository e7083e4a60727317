// Database servers that repeat answers and refuse statements, by a seed.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "http/address.h"
#include "stutter_journal.h"
#include "stutter_socket.h"

namespace cardamom::stutter {

struct Faults {
  // Shares of the answers to callers' statements, and to the proxy's own, that are sent again.
  double repeats = 0;
  double own_repeats = 0;
  // Longest delay of the second answer.
  Millis repeat_delay{0};
  // Share of the reads, writes and commits that are refused with BUSY.
  double busy = 0;
  // Share of the proxy's own statements that are refused with BUSY.
  double own_busy = 0;
};

struct Commit {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  TimePoint time;
};

class Server;

// Servers of one group with one log, which replicas receive at once and apply a little later.
// Thread safe.
class Group {
 public:
  Group(std::string name,
        std::size_t servers,
        Faults faults,
        std::size_t max_connections,
        std::uint64_t seed,
        Journal& journal);
  ~Group();

  const std::string& name() const { return m_name; }
  const std::vector<std::unique_ptr<Server>>& servers() const { return m_servers; }
  const Faults& faults() const { return m_faults; }
  std::size_t max_connections() const { return m_max_connections; }
  Journal& journal() { return m_journal; }

  // Makes the server primary of the next term. Returns false if there is no such server.
  bool Promote(const std::string& id);
  // Makes a primary of a lower term a replica.
  void StepDown(const std::string& id, std::uint64_t term);
  bool IsPrimary(const std::string& id);
  // Whether the server is still the primary that it was in `term`.
  bool IsPrimaryOf(const std::string& id, std::uint64_t term);
  std::uint64_t term();
  // Newest position of the log.
  Commit Newest();
  // Newest position that a replica has applied.
  Commit Applied();
  Commit Append();

 private:
  const std::string m_name;
  const Faults m_faults;
  const std::size_t m_max_connections;
  Journal& m_journal;
  std::mutex m_mutex;
  std::uint64_t m_term = 1;
  // Empty after a STEPDOWN.
  std::string m_primary;
  std::vector<Commit> m_log;
  std::vector<std::unique_ptr<Server>> m_servers;
};

// One server. Thread safe.
class Server {
 public:
  Server(Group& group, std::string id, std::uint64_t seed);
  ~Server();

  const std::string& id() const { return m_id; }
  const Address& address() const { return m_address; }
  Group& group() { return m_group; }
  std::size_t connections() const { return m_connections; }
  // Term up to which receiving is paused, or 0.
  std::atomic<std::uint64_t> paused_at{0};

 private:
  struct Session {
    std::shared_ptr<LineSocket> socket;
    std::thread thread;
  };
  void Accept();

  Group& m_group;
  const std::string m_id;
  const std::uint64_t m_seed;
  Address m_address;
  int m_listener;
  std::atomic<std::size_t> m_connections{0};
  std::list<Session> m_sessions;
  std::thread m_thread;
};

}  // namespace cardamom::stutter
