#include "world.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace review {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Millis kHeartbeat{1200};
constexpr Millis kPoll{10};
// A commit that no replica receives is not acknowledged.
constexpr Millis kCommitLimit{20'000};
constexpr const char* kHost = "127.0.0.1";
constexpr std::size_t kPageRows = 500;

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kAlphabet[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return out;
}

std::string DecodePercent(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

HttpCall ParseTarget(const std::string& target) {
  HttpCall call;
  const auto mark = target.find('?');
  call.path = target.substr(0, mark);
  std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const auto equals = part.find('=');
    if (equals != std::string::npos) {
      call.query[part.substr(0, equals)] = DecodePercent(part.substr(equals + 1));
    }
  }
  return call;
}

std::string ValueOr(const std::map<std::string, std::string>& map,
                    const std::string& key,
                    const std::string& fallback) {
  const auto it = map.find(key);
  return it == map.end() ? fallback : it->second;
}

// Removes the first word of `text` and returns it.
std::string TakeWord(std::string& text) {
  const auto blank = text.find(' ');
  auto word = text.substr(0, blank);
  text = blank == std::string::npos ? "" : text.substr(blank + 1);
  return word;
}

Position ParsePosition(const std::string& text) {
  const auto dot = text.find('.');
  return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

Tcp::acceptor Listen(asio::io_context& io) {
  return {io, Tcp::endpoint(asio::ip::make_address(kHost), 0)};
}

// Reads at most `bytes` at a time and pauses after each piece.
asio::awaitable<std::optional<std::string>> ReadLineFrom(Tcp::socket& socket,
                                                         std::string& buffer,
                                                         std::size_t bytes = 4096,
                                                         Millis pause = Millis(0)) {
  std::size_t searched = 0;
  for (;;) {
    const auto end = buffer.find("\r\n", searched);
    if (end != std::string::npos) {
      auto line = buffer.substr(0, end);
      buffer.erase(0, end + 2);
      co_return line;
    }
    searched = buffer.empty() ? 0 : buffer.size() - 1;
    std::vector<char> chunk(bytes);
    const auto [error, count] = co_await socket.async_read_some(asio::buffer(chunk), kAwait);
    if (error) {
      co_return std::nullopt;
    }
    buffer.append(chunk.data(), count);
    if (pause > Millis(0)) {
      co_await Sleep(pause);
    }
  }
}

asio::awaitable<bool> WriteTo(Tcp::socket& socket, std::string text) {
  const auto [error, count] = co_await asio::async_write(socket, asio::buffer(text), kAwait);
  co_return !error;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

asio::awaitable<void> Sleep(Millis span) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(span);
  co_await timer.async_wait(kAwait);
}

void Spawn(asio::io_context& io, std::function<asio::awaitable<void>()> start) {
  asio::co_spawn(io, std::move(start), [](const std::exception_ptr& failure) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  });
}

std::uint16_t FreePort() {
  // Below the range from which the kernel takes the ports of outgoing connections.
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  static int next = static_cast<int>(getpid()) * 97 % kCount;
  asio::io_context io;
  for (int i = 0; i < kCount; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirst + next);
    next = (next + 1) % kCount;
    Tcp::acceptor acceptor(io, Tcp::v4());
    boost::system::error_code error;
    acceptor.bind(Tcp::endpoint(asio::ip::make_address(kHost), port), error);
    if (!error) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
}

void Record::Line(const std::string& text) {
  m_file << Now() << " " << text << std::endl;
}

std::string ToText(Position position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

// HTTP --------------------------------------------------------------------------------------------

HttpListener::HttpListener(asio::io_context& io, HttpHandler handler)
    : m_io(io), m_handler(std::move(handler)), m_acceptor(Listen(io)) {
  Spawn(m_io, [this] { return Accept(); });
}

std::string HttpListener::address() const {
  return std::string(kHost) + ":" + std::to_string(m_acceptor.local_endpoint().port());
}

asio::awaitable<void> HttpListener::Accept() {
  for (;;) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    const auto shared = std::make_shared<Tcp::socket>(std::move(socket));
    Spawn(m_io, [this, shared] { return Serve(shared); });
  }
}

asio::awaitable<void> HttpListener::Serve(std::shared_ptr<Tcp::socket> socket) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    const auto [read_error, read] = co_await http::async_read(*socket, buffer, request, kAwait);
    if (read_error) {
      co_return;
    }
    auto call = ParseTarget(std::string(request.target()));
    call.method = std::string(request.method_string());
    for (const auto& field : request) {
      call.headers[std::string(field.name_string())] = std::string(field.value());
    }
    call.body = std::move(request.body());
    const auto answer = co_await m_handler(std::move(call));
    http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = answer.body;
    response.prepare_payload();
    const auto [write_error, written] = co_await http::async_write(*socket, response, kAwait);
    if (write_error) {
      co_return;
    }
  }
}

// Store -------------------------------------------------------------------------------------------

Store::Store(asio::io_context& io)
    : m_http(io, [this](HttpCall call) { return Handle(std::move(call)); }) {}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  m_tables[table][{"", key}] = Row{EncodeBase64(value), ++m_version, false};
}

void Store::Drop(const std::string& table, const std::string& key) {
  m_tables[table][{"", key}] = Row{"", ++m_version, true};
}

std::size_t Store::Count(const std::string& table) {
  const auto& rows = m_tables[table];
  return static_cast<std::size_t>(
      std::count_if(rows.begin(), rows.end(), [](const auto& row) { return !row.second.gone; }));
}

std::string Store::Rows(const HttpCall& call, std::uint64_t after, bool all, bool& any) {
  const auto table = ValueOr(call.query, "table", "");
  const auto part = ValueOr(call.query, "part", "");
  const auto from = ValueOr(call.query, "from", "");
  const auto to = ValueOr(call.query, "to", "");
  json::array rows;
  std::vector<std::pair<std::uint64_t, json::object>> found;
  bool more = false;
  for (const auto& [name, row] : m_tables[table]) {
    const auto& [row_part, key] = name;
    const bool in_range = row_part == part && key >= from && (to.empty() || key < to);
    if (all ? row.gone || !in_range : row.version <= after) {
      continue;
    }
    if (all && found.size() >= kPageRows) {
      more = true;
      break;
    }
    json::object object{{"table", table}, {"part", row_part}, {"key", key}, {"ver", row.version}};
    if (row.gone) {
      object["is_gone"] = true;
    } else {
      object["value"] = row.value;
    }
    found.emplace_back(row.version, std::move(object));
  }
  if (!all) {
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
  }
  for (auto& [version, object] : found) {
    rows.push_back(std::move(object));
  }
  any = !rows.empty();
  const auto now = std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
  json::object answer{{"rows", std::move(rows)}, {"ver", m_version}, {"now_ms", now}};
  if (all) {
    answer["has_more"] = more;
  }
  return json::serialize(answer);
}

asio::awaitable<HttpAnswer> Store::Feed(HttpCall call) {
  const auto after = std::stoull(ValueOr(call.query, "after", "0"));
  const auto until = Clock::now() + Millis(std::stoll(ValueOr(call.query, "wait_ms", "0")));
  for (;;) {
    bool any = false;
    HttpAnswer answer;
    answer.body = Rows(call, after, false, any);
    if (any || Clock::now() >= until) {
      co_return answer;
    }
    co_await Sleep(kPoll);
  }
}

HttpAnswer Store::Transact(const std::string& body) {
  const auto value = json::parse(body);
  const auto& object = value.as_object();
  const auto name_of = [](const json::object& row) {
    return std::pair(std::string(row.at("part").as_string()),
                     std::string(row.at("key").as_string()));
  };
  for (const auto& entry : object.at("expected_rev").as_array()) {
    const auto& row = entry.as_object();
    const auto& table = m_tables[std::string(row.at("table").as_string())];
    const auto it = table.find(name_of(row));
    const auto version = it == table.end() || it->second.gone ? 0 : it->second.version;
    if (version != row.at("ver").to_number<std::uint64_t>()) {
      return {412, json::serialize(json::object{{"rows", json::array()}, {"ver", m_version}})};
    }
  }
  ++m_version;
  for (const auto& entry : object.at("puts").as_array()) {
    const auto& row = entry.as_object();
    m_tables[std::string(row.at("table").as_string())][name_of(row)] =
        Row{std::string(row.at("value").as_string()), m_version, false};
  }
  for (const auto& entry : object.at("deletes").as_array()) {
    const auto& row = entry.as_object();
    m_tables[std::string(row.at("table").as_string())][name_of(row)] = Row{"", m_version, true};
  }
  return {200, json::serialize(json::object{{"ver", m_version}})};
}

asio::awaitable<HttpAnswer> Store::Handle(HttpCall call) {
  co_await Sleep(Millis(4));
  if (call.path == "/cardamomhub/rows-feed") {
    co_return co_await Feed(std::move(call));
  }
  HttpAnswer answer;
  if (call.path == "/cardamomhub/rows-get") {
    bool any = false;
    answer.body = Rows(call, 0, true, any);
  } else if (call.path == "/cardamomhub/rows-tx") {
    answer = Transact(call.body);
  } else {
    answer.status = 404;
  }
  co_return answer;
}

// Servers -----------------------------------------------------------------------------------------

struct Server::Connection {
  explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}

  Tcp::socket socket;
  std::string buffer;
  bool in_transaction = false;
  // The transaction failed, and only its end is accepted.
  bool failed = false;
  // A transaction that may write.
  bool plain = false;
  std::string write;
  std::map<std::string, std::string> prepared;
};

Server::Server(asio::io_context& io, Group& group, std::string id, std::string zone)
    : m_io(io),
      m_group(group),
      m_id(std::move(id)),
      m_zone(std::move(zone)),
      m_born(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_acceptor(Listen(io)) {
  Spawn(m_io, [this] { return Accept(); });
}

std::string Server::Entry(std::uint64_t sequence) const {
  const auto address =
      std::string(kHost) + ":" + std::to_string(m_acceptor.local_endpoint().port());
  return json::serialize(json::object{{"service", m_group.name()},
                                      {"address", address},
                                      {"zone", m_zone},
                                      {"version", "v1"},
                                      {"slots", 5},
                                      {"state", state},
                                      {"cold_left_ms", 0},
                                      {"db_role", primary ? "primary" : "replica"},
                                      {"seq", sequence},
                                      {"born", m_born}});
}

asio::awaitable<void> Server::Accept() {
  for (;;) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    const auto connection = std::make_shared<Connection>(std::move(socket));
    Spawn(m_io, [this, connection] { return Serve(connection); });
  }
}

std::string Server::Ready(const Connection& connection) const {
  const char* letter = connection.failed ? "E" : connection.in_transaction ? "T" : "I";
  return std::string("READY ") + letter + " " + ToText(received()) + "\r\n";
}

asio::awaitable<void> Server::Serve(std::shared_ptr<Connection> connection) {
  auto hello = co_await ReadLineFrom(connection->socket, connection->buffer);
  if (!hello || TakeWord(*hello) != "CONNECT") {
    co_return;
  }
  const auto service = TakeWord(*hello);
  TakeWord(*hello);
  if (service != m_group.name() || (!hello->empty() && *hello != m_id)) {
    co_await WriteTo(connection->socket, "ERROR MOVED " + m_id + "\r\n");
    co_return;
  }
  auto greeting = Ready(*connection);
  co_await WriteTo(connection->socket, std::move(greeting));
  for (;;) {
    auto line = co_await ReadLineFrom(connection->socket, connection->buffer);
    if (!line || TakeWord(*line) != "QUERY") {
      co_return;
    }
    const auto id = TakeWord(*line);
    auto answer = co_await Answer(*connection, id, *line);
    answer += Ready(*connection);
    if (!co_await WriteTo(connection->socket, std::move(answer))) {
      co_return;
    }
    if (id != "-") {
      m_group.runs[id].answered = m_group.record().Now();
    }
  }
}

std::string Server::StatusRow() const {
  return "DATAROW " + std::string(primary ? "primary" : "replica") + " " + std::to_string(term) +
         " " + ToText(received()) + " " + std::to_string(paused_at) + " 0 0 0\r\nCOMPLETE -\r\n";
}

std::string Server::Control(const std::string& word, const std::string& argument) {
  const std::uint64_t wanted = argument.empty() ? 0 : std::stoull(argument);
  if (word == "PAUSE" && !primary && wanted > term) {
    paused_at = std::max(paused_at, wanted);
  } else if (word == "RESUME") {
    paused_at = 0;
  } else if (word == "STEPDOWN" && primary && wanted > term) {
    primary = false;
  }
  return StatusRow();
}

asio::awaitable<std::string> Server::Answer(Connection& connection,
                                            std::string id,
                                            std::string text) {
  auto rest = text;
  auto word = TakeWord(rest);
  if (word == "AFTER") {
    const auto needed = ParsePosition(TakeWord(rest));
    text = rest;
    word = TakeWord(rest);
    if (received() < needed) {
      co_return "ERROR LAGGING " + m_id + "\r\n";
    }
  }
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
    co_return Control(word, rest);
  }
  if (connection.failed && word != "ROLLBACK" && word != "COMMIT") {
    co_return "ERROR MALFORMED -\r\n";
  }
  const bool lost_lead = connection.in_transaction && connection.plain && !primary;
  const bool harmless = word == "ROLLBACK" || (word == "COMMIT" && connection.write.empty());
  if ((word == "BEGIN" && rest.empty() && !primary) || (lost_lead && !harmless)) {
    connection.failed = connection.in_transaction;
    co_return "ERROR READONLY " + m_id + "\r\n";
  }
  if (word == "BEGIN") {
    connection.in_transaction = true;
    connection.plain = rest.empty();
    co_return "COMPLETE -\r\n";
  }
  if (word == "ROLLBACK" || (word == "COMMIT" && connection.failed)) {
    connection.in_transaction = connection.failed = false;
    connection.write.clear();
    co_return "COMPLETE -\r\n";
  }
  if (word == "PARSE") {
    const auto name = TakeWord(rest);
    connection.prepared[name] = rest;
    co_return "COMPLETE -\r\n";
  }
  if (word == "DISCARD") {
    connection.prepared.clear();
  }
  if (word == "SET" || word == "DISCARD" || word == "CLOSE") {
    co_return "COMPLETE -\r\n";
  }
  std::string shape;
  if (word == "EXECUTE") {
    const auto name = TakeWord(rest);
    const auto prepared = connection.prepared.find(name);
    if (prepared == connection.prepared.end()) {
      co_return "ERROR NOSTMT -\r\n";
    }
    shape = prepared->second;
    word = TakeWord(shape);
  }
  const auto run_id = id;
  auto answer = co_await RunStatement(connection, std::move(id), std::move(word), std::move(text));
  m_group.runs[run_id].shape = shape;
  co_return answer;
}

asio::awaitable<std::string> Server::RunStatement(Connection& connection,
                                                  std::string id,
                                                  std::string word,
                                                  std::string text) {
  if (word == "PUT" && !primary) {
    co_return "ERROR READONLY " + m_id + "\r\n";
  }
  m_group.runs[id] = Run{m_id, text, "", m_group.record().Now(), std::nullopt};
  m_group.record().Line("server " + m_id + " runs " + id + " " + text);
  co_await Sleep(m_group.work);
  const auto complete = "COMPLETE mac-" + m_id + "-" + id + "\r\n";
  if (word == "FETCH") {
    std::string answer;
    for (std::size_t i = 0; i < m_group.rows; ++i) {
      answer += "DATAROW row-" + id + std::string(m_group.row_bytes, 'x') + "\r\n";
    }
    co_return answer + complete;
  }
  const bool commits = word == "COMMIT" || !connection.in_transaction;
  if (word == "PUT") {
    connection.write = id;
  }
  if (!commits) {
    co_return complete;
  }
  const auto write = std::exchange(connection.write, {});
  connection.in_transaction = false;
  if (!write.empty() && !co_await m_group.Commit(*this, write)) {
    co_return "ERROR TIMEOUT -\r\n";
  }
  co_return complete;
}

// Group -------------------------------------------------------------------------------------------

Group::Group(asio::io_context& io, Record& record, Store& store, std::string name)
    : m_io(io), m_record(record), m_store(store), m_name(std::move(name)) {}

Server& Group::Add(const std::string& id, const std::string& zone) {
  m_servers.push_back(std::make_unique<Server>(m_io, *this, id, zone));
  auto& server = *m_servers.back();
  server.primary = m_servers.size() == 1;
  Spawn(m_io, [this, &server] { return Heartbeat(server); });
  return server;
}

Server* Group::Find(const std::string& id) {
  for (const auto& server : m_servers) {
    if (server->id() == id) {
      return server.get();
    }
  }
  return nullptr;
}

asio::awaitable<void> Group::Heartbeat(Server& server) {
  for (std::uint64_t sequence = 1;; ++sequence) {
    m_store.Put("servers", server.id(), server.Entry(sequence));
    co_await Sleep(kHeartbeat);
  }
}

asio::awaitable<void> Group::Replicate(Server& primary, Server& replica, Position position) {
  co_await Sleep(lag);
  while (primary.primary && replica.received() < position) {
    if (replica.paused_at <= replica.term) {
      replica.log = primary.log;
      replica.term = primary.term;
    } else {
      co_await Sleep(kPoll);
    }
  }
}

asio::awaitable<bool> Group::Commit(Server& primary, std::string id) {
  if (!primary.primary) {
    co_return false;
  }
  const Position position{primary.term, primary.received().number + 1};
  m_record.Line("commit " + ToText(position) + " of " + id);
  primary.log.push_back({position, std::move(id)});
  for (const auto& server : m_servers) {
    if (server.get() != &primary) {
      Spawn(m_io, [this, &primary, replica = server.get(), position] {
        return Replicate(primary, *replica, position);
      });
    }
  }
  const auto limit = Clock::now() + kCommitLimit;
  while (primary.primary && Clock::now() < limit) {
    for (const auto& server : m_servers) {
      if (server.get() != &primary && server->received() >= position) {
        co_return true;
      }
    }
    co_await Sleep(Millis(1));
  }
  co_return false;
}

asio::awaitable<HttpAnswer> Group::Promote(HttpCall call) {
  co_await Sleep(Millis(4));
  const auto value = json::parse(call.body);
  const std::string id(value.as_object().at("id").as_string());
  const auto fence = std::stoull(ValueOr(call.headers, "X-Fencing-Token", "0"));
  m_record.Line("promote " + id + " fence " + std::to_string(fence));
  auto* server = Find(id);
  if (fence < m_fence) {
    co_return HttpAnswer{409, "{}"};
  }
  m_fence = fence;
  if (server == nullptr) {
    co_return HttpAnswer{409, "{}"};
  }
  if (!server->primary) {
    Spawn(m_io, [this, server]() -> asio::awaitable<void> {
      co_await Sleep(promote_time);
      ++m_term;
      for (const auto& other : m_servers) {
        other->primary = other.get() == server;
        other->term = m_term;
        other->paused_at = 0;
      }
    });
  }
  co_return HttpAnswer{200, "{}"};
}

// Consumers ---------------------------------------------------------------------------------------

asio::awaitable<std::optional<std::string>> Session::ReadLine() {
  co_return co_await ReadLineFrom(m_socket, m_buffer, m_read_bytes, m_read_pause);
}

void Session::LimitReading(std::size_t bytes, Millis pause) {
  m_read_bytes = bytes;
  m_read_pause = pause;
  m_socket.open(Tcp::v4());
  m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)));
  // The segments of an Ethernet link; with those of loopback, 64 KiB, the kernel of the sender
  // would take megabytes at once.
  constexpr int kSegment = 1448;
  setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &kSegment, sizeof(kSegment));
}

asio::awaitable<bool> Session::Connect(std::uint16_t port, std::string database) {
  const Tcp::endpoint endpoint(asio::ip::make_address(kHost), port);
  const auto [error] = co_await m_socket.async_connect(endpoint, kAwait);
  if (error || !co_await WriteTo(m_socket, "CONNECT " + database + " consumer\r\n")) {
    co_return false;
  }
  const auto line = co_await ReadLine();
  co_return line && line->starts_with("READY");
}

asio::awaitable<Session::Answer> Session::Query(std::string id, std::string text) {
  Answer answer;
  if (!co_await WriteTo(m_socket, "QUERY " + id + " " + text + "\r\n")) {
    co_return answer;
  }
  auto outcome = Outcome::kBroken;
  for (;;) {
    auto line = co_await ReadLine();
    if (!line) {
      co_return answer;
    }
    const auto word = TakeWord(*line);
    if (word == "DATAROW") {
      answer.rows.push_back(*line);
    } else if (word == "COMPLETE" || word == "ERROR") {
      outcome = word == "COMPLETE" ? Outcome::kComplete : Outcome::kError;
      answer.text = *line;
    } else if (word == "READY") {
      answer.outcome = outcome;
      answer.state = line->front();
      co_return answer;
    }
  }
}

void Session::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

// Gateways ----------------------------------------------------------------------------------------

Gateway::Gateway(const std::string& folder,
                 const std::string& name,
                 std::map<std::string, std::string> template_values)
    : m_sessions_port(FreePort()), m_ready_port(FreePort()) {
  const auto address = [](std::uint16_t port) {
    return std::string(kHost) + ":" + std::to_string(port);
  };
  template_values.emplace("node", name);
  template_values.emplace("listen.frontend", address(m_sessions_port));
  template_values.emplace("listen.readiness", address(m_ready_port));
  template_values.emplace("ip", kHost);
  template_values.emplace("port_range.0", std::to_string(FreePort()));
  auto text = ReadFile("deploy/gateway.conf");
  for (auto start = text.find("{{"); start != std::string::npos; start = text.find("{{")) {
    const auto end = text.find("}}", start);
    const auto key = text.substr(start + 2, end - start - 2);
    text.replace(start, end + 2 - start, ValueOr(template_values, key, ""));
  }
  const auto path = folder + "/" + name + ".conf";
  const auto log_path = folder + "/" + name + ".log";
  std::ofstream(path) << text;
  m_pid = fork();
  if (m_pid == 0) {
    // The gateway ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int descriptor = 3; descriptor < 1024; ++descriptor) {
      close(descriptor);
    }
    execl("target/cardamomd", "target/cardamomd", "gateway", "--settings-file", path.c_str(),
          nullptr);
    _exit(127);
  }
}

Gateway::~Gateway() {
  if (!HasEnded()) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void Gateway::Signal(int signal) const {
  kill(m_pid, signal);
}

bool Gateway::HasEnded() {
  m_ended = m_ended || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
  return m_ended;
}

asio::awaitable<bool> Gateway::IsReady() const {
  Tcp::socket socket(co_await asio::this_coro::executor);
  const Tcp::endpoint endpoint(asio::ip::make_address(kHost), m_ready_port);
  const auto [error] = co_await socket.async_connect(endpoint, kAwait);
  if (error) {
    co_return false;
  }
  http::request<http::empty_body> request(http::verb::get, "/cardamomhub/ready", 11);
  request.set(http::field::host, kHost);
  co_await http::async_write(socket, request, kAwait);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  const auto [failed, count] = co_await http::async_read(socket, buffer, response, kAwait);
  co_return !failed && response.result_int() == 200;
}

asio::awaitable<bool> Gateway::WaitUntilReady() const {
  const auto limit = Clock::now() + Millis(20'000);
  while (Clock::now() < limit) {
    const bool ready = co_await IsReady();
    if (ready) {
      co_return true;
    }
    co_await Sleep(Millis(100));
  }
  co_return false;
}

}  // namespace review
