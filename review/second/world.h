// A small deployment for the script cases of the second review: the platform's store and promotion
// service, one database of three servers, and gateways started by the commands of the deploy file.
// The stand-ins follow the users' pages; where a page is silent, they behave like sound ones.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Writes record.txt. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Add(const std::string& line);

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  const Clock::time_point m_start = Clock::now();
};

// Returns `text`, or its first bytes and its size if it is long.
std::string Shorten(const std::string& text);

// A listening socket on 127.0.0.1 whose connections are served by threads of their own.
class Listener {
 public:
  using Serve = std::function<void(int socket)>;

  Listener();
  // Starts to accept.
  void Start(Serve serve);
  int port() const { return m_port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  int m_socket = -1;
  int m_port = 0;
};

// Reads lines and blocks of bytes from a socket, and writes to it. Not thread safe.
class Stream {
 public:
  explicit Stream(int socket) : m_socket(socket) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // A line without its end, or nothing if the connection has ended.
  std::optional<std::string> ReadLine();
  std::optional<std::string> ReadBytes(std::size_t count);
  bool Write(const std::string& text);

 private:
  bool Fill();

  const int m_socket;
  std::string m_buffer;
  std::size_t m_consumed = 0;
};

// Connects to a port of 127.0.0.1. Returns -1 if that fails.
int ConnectTo(int port);

// The platform's store of rows, and its promotion service at the same address.
class Platform {
 public:
  explicit Platform(Record& record) : m_record(record) {}
  void Start();
  std::string address() const { return m_listener.address(); }
  void Put(const std::string& table, const std::string& key, const std::string& value);
  // Called with the id of the server that an accepted order names. Returns whether it runs.
  void SetPromote(std::function<bool(const std::string& id)> promote);

 private:
  struct Row {
    std::string value_base64;
    std::uint64_t version = 0;
    bool gone = false;
  };
  void Serve(int socket);
  // Returns the status, and the body in `answer`.
  int Answer(const std::string& method,
             const std::string& target,
             const std::string& body,
             std::uint64_t token,
             std::string& answer);
  int Transact(const std::string& body, std::string& answer);
  std::string Rows(const std::string& table, std::uint64_t after, bool with_gone);

  Record& m_record;
  Listener m_listener;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::uint64_t m_version = 0;
  std::map<std::string, std::uint64_t> m_tokens;
  std::function<bool(const std::string& id)> m_promote;
  const Clock::time_point m_start = Clock::now();
};

// What a server saw when it ran a statement of a caller.
struct Run {
  std::string server;
  std::string id;
  std::string text;
  // The session values of the connection at that moment.
  std::map<std::string, std::string> values;
};

// One database: a primary and two replicas, which apply commits 20 ms later.
class Database {
 public:
  Database(Platform& platform, Record& record, std::string service);
  void Start();
  // The runs so far whose ids are in `ids`.
  std::vector<Run> RunsOf(const std::vector<std::string>& ids);
  const std::string& service() const { return m_service; }

 private:
  struct Commit {
    std::map<std::string, std::string> writes;
    Clock::time_point at;
  };
  struct Server {
    std::string id;
    Listener listener;
    std::uint64_t paused_at = 0;
    // While paused: the length of the log.
    std::size_t held = 0;
    int connections = 0;
    int sequence = 0;
  };
  struct Session;
  void Serve(Server& server, int socket);
  std::string Execute(Server& server, Session& session, const std::string& line);
  std::string Read(Server& server, Session& session, const std::string& item);
  bool Holds(const Server& server, const std::string& position) const;
  std::size_t Received(const Server& server) const;
  std::size_t Applied(const Server& server) const;
  std::string PositionOf(std::size_t index) const;
  std::string StatusRow(const Server& server) const;
  void Register(Server& server);
  bool Promote(const std::string& id);

  Platform& m_platform;
  Record& m_record;
  const std::string m_service;
  std::mutex m_mutex;
  std::deque<Server> m_servers;
  std::string m_primary;
  std::uint64_t m_term = 1;
  std::vector<Commit> m_log;
  std::vector<Run> m_runs;
  std::uint64_t m_macs = 0;
  const std::int64_t m_born;
};

// A gateway process. The memory limit is kept as the platform does: a process that exceeds it is
// killed, and started again after a short delay.
class Gateway {
 public:
  Gateway(const std::string& name,
          const std::string& directory,
          const std::string& platform,
          int memory_mb,
          Record& record);
  bool Start();
  bool IsReady() const;
  // Restarts the process if it exceeds its memory or has ended.
  void Supervise();
  void Stop();
  int session_port() const { return m_session_port; }
  int ends() const { return m_ends; }
  long peak_kb() const { return m_peak_kb; }

 private:
  void Render(const std::string& directory, const std::string& platform);

  const std::string m_name;
  const int m_memory_mb;
  Record& m_record;
  std::string m_settings;
  int m_session_port = 0;
  int m_ready_port = 0;
  std::vector<int> m_other_ports;
  pid_t m_pid = -1;
  int m_ends = 0;
  long m_peak_kb = 0;
  std::optional<Clock::time_point> m_restart_at;
};

// A caller's session.
class Caller {
 public:
  explicit Caller(Record& record) : m_record(record) {}
  // Whether the session could be opened.
  bool Open(int port, const std::string& database);
  struct Reply {
    // Nothing if the connection broke.
    std::optional<std::string> result;
    std::string state;
    bool ok() const { return result && result->rfind("COMPLETE ", 0) == 0; }
  };
  Reply Ask(const std::string& id, const std::string& text);

 private:
  Reply ReadReply();

  Record& m_record;
  std::unique_ptr<Stream> m_stream;
};

// An id that no other statement of this run has.
std::string NewId();

}  // namespace review
