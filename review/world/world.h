// Stand-ins for the users' side, for the cases of the review: the platform's store and promotion
// service, a database group and its servers, consumers, and the processes of the gateway. They
// follow PROTOCOL.md. Everything runs on one thread and on loopback addresses.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace review {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// Suspends the calling coroutine.
asio::awaitable<void> Sleep(Millis span);
// Starts a coroutine; an exception ends the program.
void Spawn(asio::io_context& io, std::function<asio::awaitable<void>()> start);
// A port of 127.0.0.1 that is free now.
std::uint16_t FreePort();

// The file record.txt: one line an event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}
  void Line(const std::string& text);
  // Milliseconds since the start.
  std::int64_t Now() const;

 private:
  std::ofstream m_file;
  Clock::time_point m_start = Clock::now();
};

struct HttpCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpAnswer {
  int status = 200;
  std::string body;
};

using HttpHandler = std::function<asio::awaitable<HttpAnswer>(HttpCall)>;

// Listens on a free port of 127.0.0.1 and answers calls; connections stay open.
class HttpListener {
 public:
  HttpListener(asio::io_context& io, HttpHandler handler);
  std::string address() const;

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Tcp::socket> socket);

  asio::io_context& m_io;
  HttpHandler m_handler;
  Tcp::acceptor m_acceptor;
};

// The platform's store: tables with rows, transactions under a condition, and the feed.
class Store {
 public:
  explicit Store(asio::io_context& io);
  std::string address() const { return m_http.address(); }
  // Writes of the operator and of the servers; `value` is not encoded yet.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Drop(const std::string& table, const std::string& key);
  // The number of rows of a table.
  std::size_t Count(const std::string& table);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
  };

  asio::awaitable<HttpAnswer> Handle(HttpCall call);
  asio::awaitable<HttpAnswer> Feed(HttpCall call);
  HttpAnswer Transact(const std::string& body);
  std::string Rows(const HttpCall& call, std::uint64_t after, bool all, bool& any);

  Clock::time_point m_start = Clock::now();
  std::uint64_t m_version = 0;
  // Rows by table, part and key.
  std::map<std::string, std::map<std::pair<std::string, std::string>, Row>> m_tables;
  HttpListener m_http;
};

struct Position {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
};

std::string ToText(Position position);

// A commit in a server's log.
struct LogEntry {
  Position position;
  std::string id;
};

class Group;

// One database server.
class Server {
 public:
  Server(asio::io_context& io, Group& group, std::string id, std::string zone);

  const std::string& id() const { return m_id; }
  // What the server writes to the store.
  std::string Entry(std::uint64_t sequence) const;
  Position received() const { return log.empty() ? Position{1, 0} : log.back().position; }

  bool primary = false;
  std::uint64_t term = 1;
  std::uint64_t paused_at = 0;
  std::string state = "ready";
  std::vector<LogEntry> log;

 private:
  // A connection and what the server keeps for it.
  struct Connection;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  asio::awaitable<std::string> Answer(Connection& connection, std::string id, std::string text);
  asio::awaitable<std::string> RunStatement(Connection& connection,
                                            std::string id,
                                            std::string word,
                                            std::string text);
  std::string Control(const std::string& word, const std::string& argument);
  std::string Ready(const Connection& connection) const;
  std::string StatusRow() const;

  asio::io_context& m_io;
  Group& m_group;
  const std::string m_id;
  const std::string m_zone;
  const std::int64_t m_born;
  Tcp::acceptor m_acceptor;
};

// What a server saw of a consumer's statement.
struct Run {
  std::string server;
  std::string text;
  // The shape of an executed prepared statement.
  std::string shape;
  std::int64_t started = 0;
  // When the answer was written; nothing while the server is at work.
  std::optional<std::int64_t> answered;
};

// A database group: its servers, their replication, and the promotions ordered by the system.
class Group {
 public:
  Group(asio::io_context& io, Record& record, Store& store, std::string name);

  const std::string& name() const { return m_name; }
  Server& Add(const std::string& id, const std::string& zone);
  Server* Find(const std::string& id);
  Record& record() { return m_record; }

  // Appends a commit to the primary's log and waits until one replica has received it. Returns
  // whether it did.
  asio::awaitable<bool> Commit(Server& primary, std::string id);
  // POST /promote.
  asio::awaitable<HttpAnswer> Promote(HttpCall call);

  // Work on one statement.
  Millis work{20};
  // Time that a commit takes to a replica.
  Millis lag{5};
  Millis promote_time{300};
  // Rows of a read, and the length of each.
  std::size_t rows = 1;
  std::size_t row_bytes = 0;
  // Statements that carry a consumer's id, by id.
  std::map<std::string, Run> runs;

 private:
  asio::awaitable<void> Heartbeat(Server& server);
  asio::awaitable<void> Replicate(Server& primary, Server& replica, Position position);

  asio::io_context& m_io;
  Record& m_record;
  Store& m_store;
  const std::string m_name;
  std::uint64_t m_term = 1;
  std::uint64_t m_fence = 0;
  std::vector<std::unique_ptr<Server>> m_servers;
};

// A consumer's session with a gateway.
class Session {
 public:
  enum class Outcome { kComplete, kError, kBroken };
  struct Answer {
    Outcome outcome = Outcome::kBroken;
    // The MAC, or the code and text of an error.
    std::string text;
    std::vector<std::string> rows;
    char state = '-';
  };

  explicit Session(asio::io_context& io) : m_socket(io) {}
  // Reads at most so many bytes at a time, with a pause after each; call it before Connect.
  void LimitReading(std::size_t bytes, Millis pause);
  asio::awaitable<bool> Connect(std::uint16_t port, std::string database);
  asio::awaitable<Answer> Query(std::string id, std::string text);
  void Close();

 private:
  asio::awaitable<std::optional<std::string>> ReadLine();

  Tcp::socket m_socket;
  std::string m_buffer;
  std::size_t m_read_bytes = 4096;
  Millis m_read_pause{0};
};

// A process of the gateway, started with the command of the deploy file.
class Gateway {
 public:
  // `template_values` replace the placeholders of deploy/gateway.conf. The working directory is the
  // repository; `folder` is the case's temporary folder.
  Gateway(const std::string& folder,
          const std::string& name,
          std::map<std::string, std::string> template_values);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Signal(int signal) const;
  // Whether the process has ended.
  bool HasEnded();
  // Asks the ready probe once, on a new connection; returns whether it answers 200.
  asio::awaitable<bool> IsReady() const;
  // Waits until the ready probe answers 200; returns false after 20 s.
  asio::awaitable<bool> WaitUntilReady() const;
  std::uint16_t sessions_port() const { return m_sessions_port; }
  std::uint16_t ready_port() const { return m_ready_port; }
  pid_t pid() const { return m_pid; }

 private:
  std::uint16_t m_sessions_port;
  std::uint16_t m_ready_port;
  pid_t m_pid = -1;
  bool m_ended = false;
};

}  // namespace review
