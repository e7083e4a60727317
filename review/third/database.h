// A stand-in of a database group and of the platform's promotion service.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "store.h"

namespace review {

constexpr milliseconds kHeartbeat{1200};
constexpr int kHeartbeatsToExpiry = 3;
constexpr milliseconds kPromotion{300};
constexpr milliseconds kReplication{5};
constexpr milliseconds kApplyLag{60};
constexpr milliseconds kWork{10};
// A group of one primary and its replicas, with `sync_replicas` 1.
class Database {
 public:
  Database(Store& store, std::string service) : m_store(store), m_service(std::move(service)) {
    std::thread([this] { Replicate(); }).detach();
    std::thread([this] { Heartbeat(); }).detach();
    std::uint16_t port = 0;
    const int listener = Listen(port);
    m_orders_port = port;
    ServeOn(listener, [this](int fd) {
      ServeHttp(fd, [this](const HttpQuestion& question) { return Promote(question); });
    });
  }

  std::uint16_t orders_port() const { return m_orders_port; }

  // Starts a server with an empty log: as the primary if the group has no other.
  void Start(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    auto& server = m_servers[id];
    server.id = id;
    server.up = true;
    server.born_ms = 1'700'000'000'000 + NowMs();
    server.listener = Listen(server.port);
    if (m_servers.size() == 1) {
      m_primary = id;
      server.log.push_back({1, Clock::now()});
    }
    ServeOn(server.listener, [this, id](int fd) { Serve(id, fd); });
    g_record.Add("server " + id + " starts at 127.0.0.1:" + std::to_string(server.port));
    Register(server);
  }

  // The server is lost for good.
  void Lose(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    auto& server = m_servers[id];
    server.up = false;
    shutdown(server.listener, SHUT_RDWR);
    close(server.listener);
    for (const int fd : server.connections) {
      shutdown(fd, SHUT_RDWR);
    }
    g_record.Add("server " + id + (m_primary == id ? ", the primary," : "") + " is lost for good");
    m_replicated.notify_all();
  }

  std::string primary() {
    const std::lock_guard lock(m_mutex);
    return m_primary;
  }

  // The primary is partitioned from these callers: what they send and what it sends is lost.
  void Cut(std::set<std::string> callers) {
    const std::lock_guard lock(m_mutex);
    m_cut = std::move(callers);
    m_cut_server = m_primary;
    std::string names;
    for (const auto& caller : m_cut) {
      names += " " + caller;
    }
    g_record.Add("the primary " + m_primary + " is cut off from:" + names);
  }

  // Rows of the item "big", and their size.
  void SetBig(std::size_t rows, std::size_t row_bytes, milliseconds per_50_kb = milliseconds(0)) {
    m_per_50_kb = per_50_kb;
    m_big_rows = rows;
    m_big_row = std::string(row_bytes, 'x');
  }

 private:
  struct Entry {
    std::uint64_t term = 0;
    Clock::time_point time;
  };
  struct Server {
    std::string id;
    bool up = false;
    std::int64_t born_ms = 0;
    std::int64_t sequence = 0;
    std::int64_t last_beat_ms = 0;
    std::uint16_t port = 0;
    int listener = -1;
    std::set<int> connections;
    std::vector<Entry> log;
    std::uint64_t paused_at = 0;
    bool listed = false;
  };
  // What one connection of a caller has open.
  struct Session {
    char state = 'I';
    bool plain = false;
    bool wrote = false;
    std::string who;
    // Whether each prepared statement writes.
    std::map<std::string, bool> prepared;
  };

  void Register(Server& server) {
    server.last_beat_ms = NowMs();
    server.listed = true;
    m_store.Put("servers", server.id,
                {{"service", m_service},
                 {"address", "127.0.0.1:" + std::to_string(server.port)},
                 {"zone", "z1"},
                 {"version", "1"},
                 {"slots", 5},
                 {"state", "ready"},
                 {"cold_left_ms", 0},
                 {"seq", ++server.sequence},
                 {"born", server.born_ms},
                 {"db_role", m_primary == server.id ? "primary" : "replica"}});
  }

  void Heartbeat() {
    for (;;) {
      SleepFor(milliseconds(50));
      const std::lock_guard lock(m_mutex);
      for (auto& [id, server] : m_servers) {
        const auto age = NowMs() - server.last_beat_ms;
        if (server.up && age >= kHeartbeat.count()) {
          Register(server);
        } else if (server.listed && age >= kHeartbeatsToExpiry * kHeartbeat.count()) {
          server.listed = false;
          m_store.Drop("servers", id);
          g_record.Add("the entry of server " + id + " has expired");
        }
      }
    }
  }

  void Replicate() {
    for (;;) {
      SleepFor(kReplication);
      const std::lock_guard lock(m_mutex);
      const auto primary = m_servers.find(m_primary);
      if (primary == m_servers.end() || !primary->second.up) {
        continue;
      }
      for (auto& [id, server] : m_servers) {
        const bool receives = id != m_primary && server.up && server.paused_at == 0;
        if (receives && server.log.size() != primary->second.log.size()) {
          server.log = primary->second.log;
          m_replicated.notify_all();
        }
      }
    }
  }

  HttpAnswer Promote(const HttpQuestion& question) {
    const auto body = json::parse(question.body);
    const auto id = std::string(body.at("id").as_string());
    const auto fence = std::stoull(question.headers.at("x-fencing-token"));
    std::unique_lock lock(m_mutex);
    const auto refuse = [&](const std::string& why) {
      g_record.Add("promote " + id + " with fence " + std::to_string(fence) + ": 409, " + why);
      return HttpAnswer{409, "{}"};
    };
    if (fence < m_fence) {
      return refuse("lower fence");
    }
    m_fence = fence;
    const auto server = m_servers.find(id);
    if (server == m_servers.end() || !server->second.up) {
      return refuse("not running");
    }
    g_record.Add("promote " + id + " with fence " + std::to_string(fence) + " by " +
                 question.headers.at("x-lease-holder") + ": 200");
    if (m_primary != id) {
      std::thread([this, id] {
        SleepFor(kPromotion);
        Lead(id);
      }).detach();
    }
    return {};
  }

  void Lead(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    ++m_term;
    m_primary = id;
    const auto log = m_servers[id].log;
    for (auto& [other, server] : m_servers) {
      server.paused_at = 0;
      server.log.resize(std::min(server.log.size(), log.size()));
    }
    g_record.Add("server " + id + " leads term " + std::to_string(m_term) + " from number " +
                 std::to_string(log.size()));
    m_replicated.notify_all();
  }

  static std::string PositionOf(const std::vector<Entry>& log, std::size_t size) {
    return size == 0 ? "0.0" : std::to_string(log[size - 1].term) + "." + std::to_string(size);
  }

  std::size_t Applied(const Server& server) const {
    auto size = server.log.size();
    while (m_primary != server.id && size > 0 &&
           Clock::now() - server.log[size - 1].time < kApplyLag) {
      --size;
    }
    return size;
  }

  void Serve(const std::string& id, int fd) {
    {
      const std::lock_guard lock(m_mutex);
      m_servers[id].connections.insert(fd);
    }
    ServeLines(id, fd);
    const std::lock_guard lock(m_mutex);
    m_servers[id].connections.erase(fd);
  }

  // Whether the path between the caller and the server is cut; the connection hangs then.
  bool WaitWhileCut(const std::string& id, const std::string& who) {
    for (bool was_cut = false;; was_cut = true) {
      {
        const std::lock_guard lock(m_mutex);
        if (!m_cut.contains(who) || m_cut_server != id) {
          return was_cut;
        }
      }
      SleepFor(milliseconds(20));
    }
  }

  void ServeLines(const std::string& id, int fd) {
    Reader reader(fd);
    const auto greeting = reader.Line();
    if (!greeting) {
      return;
    }
    std::istringstream words(*greeting);
    std::string word;
    std::string service;
    std::string expected;
    Session session;
    words >> word >> service >> session.who >> expected;
    if (WaitWhileCut(id, session.who)) {
      return;
    }
    if (word != "CONNECT" || service != m_service || (!expected.empty() && expected != id)) {
      SendAll(fd, "ERROR MOVED -\r\n");
      return;
    }
    if (!SendAll(fd, "READY I -\r\n")) {
      return;
    }
    while (const auto line = reader.Line()) {
      if (*line == "QUIT" || WaitWhileCut(id, session.who)) {
        return;
      }
      if (!Answer(id, session, *line, fd)) {
        return;
      }
    }
  }

  // Sends the answer to one QUERY. Returns false if the connection has to end.
  bool Answer(const std::string& id, Session& session, const std::string& line, int fd) {
    std::istringstream words(line);
    std::string word;
    std::string request;
    std::string verb;
    std::string after;
    words >> word >> request >> verb;
    if (verb == "AFTER") {
      words >> after >> verb;
    }
    std::string argument;
    words >> argument;
    const bool is_own = request == "-";
    bool is_known = true;
    if (verb == "PARSE") {
      std::string access;
      words >> access;
      session.prepared[argument] = access == "PUT";
    } else if (verb == "DISCARD") {
      session.prepared.clear();
    } else if (verb == "EXECUTE") {
      const auto prepared = session.prepared.find(argument);
      is_known = prepared != session.prepared.end();
      verb = is_known && prepared->second ? "PUT" : "FETCH";
      words >> argument;
    }
    if (!is_own) {
      SleepFor(kWork);
    }
    std::unique_lock lock(m_mutex);
    auto& server = m_servers[id];
    if (!server.up) {
      return false;
    }
    const auto ready = [&] {
      return std::string("READY ") + session.state + " " + PositionOf(server.log, Applied(server)) +
             "\r\n";
    };
    const auto refuse = [&](const std::string& code) {
      if (!is_own) {
        g_record.Add("server " + id + " refuses " + request + " " + verb + ": " + code);
      }
      session.state = session.state == 'I' ? 'I' : 'E';
      return SendAll(fd, "ERROR " + code + " -\r\n" + ready());
    };
    if (!is_known) {
      return refuse("NOSTMT");
    }
    const bool leads = m_primary == id;
    if (!after.empty()) {
      const auto dot = after.find('.');
      const std::pair needed(std::stoull(after.substr(0, dot)), std::stoull(after.substr(dot + 1)));
      const auto applied = Applied(server);
      const std::pair<unsigned long long, unsigned long long> held(
          applied == 0 ? 0 : server.log[applied - 1].term, applied);
      if (held < needed) {
        return refuse("LAGGING");
      }
    }
    const bool ends = verb == "COMMIT" || verb == "ROLLBACK";
    if (session.state == 'E' && verb != "ROLLBACK") {
      return refuse("MALFORMED");
    }
    const bool needs_lead =
        verb == "PUT" || (verb == "BEGIN" && argument.empty()) ||
        (session.state == 'T' && session.plain && !is_own && !(verb == "COMMIT" && !session.wrote));
    if (needs_lead && !leads) {
      return refuse("READONLY");
    }
    if (!is_own) {
      g_record.Add("server " + id + " runs " + request + " " + verb);
    }
    std::string rows;
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
      rows = Control(server, verb, argument);
    } else if (verb == "BEGIN") {
      session.state = 'T';
      session.plain = argument.empty();
      session.wrote = false;
    } else if (verb == "PUT" && session.state == 'T') {
      session.wrote = true;
    } else if (verb == "PUT" || (verb == "COMMIT" && session.wrote)) {
      server.log.push_back({m_term, Clock::now()});
      const auto number = server.log.size();
      m_replicated.wait(lock,
                        [&] { return !server.up || m_primary != id || IsReplicated(number, id); });
      if (!server.up || m_primary != id) {
        return false;
      }
    }
    session.state = ends ? 'I' : session.state;
    const auto signature = is_own ? std::string("-") : "m." + std::to_string(++m_signatures);
    const auto tail = rows + "COMPLETE " + signature + "\r\n" + ready();
    lock.unlock();
    if (verb == "FETCH") {
      if (!SendRows(fd, argument)) {
        return false;
      }
    }
    return SendAll(fd, tail);
  }

  bool SendRows(int fd, const std::string& item) {
    if (item != "big") {
      return SendAll(fd, "DATAROW value\r\n");
    }
    constexpr std::size_t kChunk = 50'000;
    std::size_t unpaced = 0;
    for (std::size_t i = 0; i < m_big_rows; ++i) {
      const auto row = "DATAROW " + m_big_row + "\r\n";
      for (std::size_t sent = 0; sent < row.size(); sent += kChunk) {
        const auto chunk = std::string_view(row).substr(sent, kChunk);
        if (!SendAll(fd, chunk)) {
          return false;
        }
        unpaced += chunk.size();
        if (unpaced >= kChunk) {
          unpaced -= kChunk;
          SleepFor(m_per_50_kb);
        }
      }
    }
    return true;
  }

  std::string Control(Server& server, const std::string& verb, const std::string& argument) {
    const auto term = argument.empty() ? 0 : std::stoull(argument);
    if (verb == "PAUSE" && m_primary != server.id && term > m_term) {
      server.paused_at = std::max<std::uint64_t>(server.paused_at, term);
    } else if (verb == "RESUME") {
      server.paused_at = 0;
    } else if (verb == "STEPDOWN" && m_primary == server.id && term > m_term) {
      m_primary.clear();
      m_replicated.notify_all();
    }
    return "DATAROW " + std::string(m_primary == server.id ? "primary " : "replica ") +
           std::to_string(m_term) + " " + PositionOf(server.log, server.log.size()) + " " +
           std::to_string(server.paused_at) + " 0 0 1\r\n";
  }

  bool IsReplicated(std::size_t number, const std::string& primary) const {
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& item) {
      return item.first != primary && item.second.up && item.second.log.size() >= number;
    });
  }

  Store& m_store;
  const std::string m_service;
  std::uint16_t m_orders_port = 0;
  std::mutex m_mutex;
  std::condition_variable m_replicated;
  std::map<std::string, Server> m_servers;
  std::string m_primary;
  std::uint64_t m_term = 1;
  std::uint64_t m_fence = 0;
  std::uint64_t m_signatures = 0;
  std::set<std::string> m_cut;
  std::string m_cut_server;
  std::size_t m_big_rows = 1;
  std::string m_big_row = "x";
  milliseconds m_per_50_kb{0};
};

}  // namespace review
