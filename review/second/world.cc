#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <memory>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t kShown = 60;
constexpr std::chrono::milliseconds kLag{20};
constexpr std::chrono::milliseconds kStoreTime{3};
constexpr std::chrono::milliseconds kWork{11};
constexpr std::chrono::milliseconds kBeat{1200};
constexpr std::chrono::milliseconds kPromoteTime{300};
constexpr std::chrono::milliseconds kRestartDelay{300};

const char* const kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& text) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const unsigned char c : text) {
    bits = (bits << 8U) | c;
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kAlphabet[(bits >> static_cast<unsigned>(count)) & 63U];
    }
  }
  if (count > 0) {
    out += kAlphabet[(bits << static_cast<unsigned>(6 - count)) & 63U];
  }
  while (out.size() % 4 != 0) {
    out += '=';
  }
  return out;
}

std::string Field(std::string& rest) {
  const auto blank = rest.find(' ');
  auto field = rest.substr(0, blank);
  rest = blank == std::string::npos ? std::string() : rest.substr(blank + 1);
  return field;
}

// The value of a parameter of a request target.
std::string Parameter(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto start = at + name.size() + 1;
  return target.substr(start, target.find('&', start) - start);
}

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int FreePort() {
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(probe, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    ::close(probe);
    return 0;
  }
  ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(probe);
  return ntohs(address.sin_port);
}

}  // namespace

void Record::Add(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  const std::chrono::duration<double> elapsed = Clock::now() - m_start;
  m_file << elapsed.count() << " s  " << line << std::endl;
}

std::string Shorten(const std::string& text) {
  return text.size() <= kShown
             ? text
             : text.substr(0, kShown) + "... (" + std::to_string(text.size()) + " bytes)";
}

Listener::Listener() {
  m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    return;
  }
  ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::listen(m_socket, 256);
  m_port = ntohs(address.sin_port);
}

void Listener::Start(Serve serve) {
  std::thread([listener = m_socket, serve = std::move(serve)] {
    for (;;) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([serve, socket] { serve(socket); }).detach();
      }
    }
  }).detach();
}

Stream::~Stream() {
  ::close(m_socket);
}

bool Stream::Fill() {
  std::array<char, 65536> chunk{};
  const auto count = ::recv(m_socket, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    return false;
  }
  m_buffer.append(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Stream::ReadLine() {
  std::size_t searched = m_consumed;
  for (;;) {
    const auto end = m_buffer.find('\n', searched);
    if (end != std::string::npos) {
      auto line = m_buffer.substr(m_consumed, end - m_consumed);
      m_consumed = end + 1;
      if (m_consumed == m_buffer.size()) {
        m_buffer.clear();
        m_consumed = 0;
      }
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      return line;
    }
    searched = m_buffer.size();
    if (!Fill()) {
      return std::nullopt;
    }
  }
}

std::optional<std::string> Stream::ReadBytes(std::size_t count) {
  while (m_buffer.size() - m_consumed < count) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  auto bytes = m_buffer.substr(m_consumed, count);
  m_consumed += count;
  return bytes;
}

bool Stream::Write(const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const auto count = ::send(m_socket, text.data() + written, text.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

int ConnectTo(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  timeval limit{10, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  return socket;
}

void Platform::Start() {
  m_listener.Start([this](int socket) { Serve(socket); });
}

void Platform::SetPromote(std::function<bool(const std::string& id)> promote) {
  m_promote = std::move(promote);
}

void Platform::Put(const std::string& table, const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {ToBase64(value), ++m_version, false};
  }
  m_changed.notify_all();
}

std::string Platform::Rows(const std::string& table, std::uint64_t after, bool with_gone) {
  json::array rows;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version <= after || (row.gone && !with_gone)) {
      continue;
    }
    json::object entry{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.gone) {
      entry["is_gone"] = true;
    } else {
      entry["value"] = row.value_base64;
    }
    rows.push_back(std::move(entry));
  }
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count() + 1000;
  return json::serialize(json::object{
      {"rows", std::move(rows)}, {"has_more", false}, {"ver", m_version}, {"now_ms", now}});
}

int Platform::Transact(const std::string& body, std::string& answer) {
  const auto parsed = json::parse(body);
  const auto& request = parsed.as_object();
  const auto text = [](const json::object& entry, const char* name) {
    return std::string(entry.at(name).as_string());
  };
  for (const auto& entry : request.at("expected_rev").as_array()) {
    const auto& expected = entry.as_object();
    const auto& table = m_tables[text(expected, "table")];
    const auto row = table.find(text(expected, "key"));
    const auto version = row == table.end() || row->second.gone ? 0 : row->second.version;
    if (version != expected.at("ver").to_number<std::uint64_t>()) {
      answer = Rows(text(expected, "table"), 0, false);
      return 412;
    }
  }
  ++m_version;
  for (const auto& entry : request.at("puts").as_array()) {
    const auto& put = entry.as_object();
    m_tables[text(put, "table")][text(put, "key")] = {text(put, "value"), m_version, false};
  }
  for (const auto& entry : request.at("deletes").as_array()) {
    const auto& gone = entry.as_object();
    m_tables[text(gone, "table")][text(gone, "key")] = {"", m_version, true};
  }
  m_changed.notify_all();
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start).count() + 1000;
  answer = json::serialize(json::object{{"ver", m_version}, {"now_ms", now}});
  return 200;
}

int Platform::Answer(const std::string& method,
                     const std::string& target,
                     const std::string& body,
                     std::uint64_t token,
                     std::string& answer) {
  std::unique_lock lock(m_mutex);
  if (method == "POST" && target == "/promote") {
    const auto order = json::parse(body);
    const std::string service(order.as_object().at("service").as_string());
    const std::string id(order.as_object().at("id").as_string());
    auto& seen = m_tokens[service];
    const bool is_stale = token < seen;
    seen = std::max(seen, token);
    lock.unlock();
    const bool accepted = !is_stale && m_promote && m_promote(id);
    m_record.Add("promote " + id + " token " + std::to_string(token) +
                 (accepted ? " accepted" : " refused"));
    answer = "{}";
    return accepted ? 200 : 409;
  }
  if (method == "POST") {
    return Transact(body, answer);
  }
  const auto table = Parameter(target, "table");
  if (target.find("rows-feed") == std::string::npos) {
    answer = Rows(table, 0, false);
    return 200;
  }
  const auto after = ToNumber(Parameter(target, "after"));
  const std::chrono::milliseconds wait(ToNumber(Parameter(target, "wait_ms")));
  m_changed.wait_for(lock, wait, [&] {
    return std::any_of(m_tables[table].begin(), m_tables[table].end(),
                       [after](const auto& item) { return item.second.version > after; });
  });
  answer = Rows(table, after, true);
  return 200;
}

void Platform::Serve(int socket) {
  Stream stream(socket);
  for (;;) {
    auto line = stream.ReadLine();
    if (!line) {
      return;
    }
    auto rest = *line;
    const auto method = Field(rest);
    const auto target = Field(rest);
    std::size_t length = 0;
    std::uint64_t token = 0;
    for (;;) {
      line = stream.ReadLine();
      if (!line || line->empty()) {
        break;
      }
      auto name = line->substr(0, line->find(':'));
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      const auto value = line->substr(std::min(line->size(), name.size() + 2));
      length = name == "content-length" ? ToNumber(value) : length;
      token = name == "x-fencing-token" ? ToNumber(value) : token;
    }
    const auto body = stream.ReadBytes(length);
    if (!line || !body) {
      return;
    }
    std::string answer;
    const int status = Answer(method, target, *body, token, answer);
    std::this_thread::sleep_for(kStoreTime);
    const auto head =
        "HTTP/1.1 " + std::to_string(status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.size()) +
        "\r\n\r\n";
    if (!stream.Write(head + answer)) {
      return;
    }
  }
}

// The state that a server keeps for one connection.
struct Database::Session {
  std::map<std::string, std::string> values;
  // Access and shape by name.
  std::map<std::string, std::pair<std::string, std::string>> prepared;
  char state = 'I';
  bool read_only = false;
  std::map<std::string, std::string> writes;
};

Database::Database(Platform& platform, Record& record, std::string service)
    : m_platform(platform),
      m_record(record),
      m_service(std::move(service)),
      m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
  for (const char* id : {"i-a", "i-b", "i-c"}) {
    m_servers.emplace_back().id = id;
  }
  m_primary = m_servers.front().id;
}

void Database::Register(Server& server) {
  const json::object entry{
      {"service", m_service}, {"address", server.listener.address()},
      {"zone", "one"},        {"version", "v1"},
      {"slots", 16},          {"state", "ready"},
      {"cold_left_ms", 0},    {"db_role", server.id == m_primary ? "primary" : "replica"},
      {"born", m_born},       {"seq", ++server.sequence}};
  m_platform.Put("servers", server.id, json::serialize(entry));
}

void Database::Start() {
  m_platform.SetPromote([this](const std::string& id) { return Promote(id); });
  for (auto& server : m_servers) {
    server.listener.Start([this, &server](int socket) { Serve(server, socket); });
  }
  std::thread([this] {
    for (;;) {
      {
        const std::lock_guard lock(m_mutex);
        for (auto& server : m_servers) {
          Register(server);
        }
      }
      std::this_thread::sleep_for(kBeat);
    }
  }).detach();
}

bool Database::Promote(const std::string& id) {
  const auto named = std::find_if(m_servers.begin(), m_servers.end(),
                                  [&id](const Server& server) { return server.id == id; });
  if (named == m_servers.end()) {
    return false;
  }
  std::thread([this, id] {
    std::this_thread::sleep_for(kPromoteTime);
    const std::lock_guard lock(m_mutex);
    if (m_primary == id) {
      return;
    }
    m_primary = id;
    ++m_term;
    for (auto& server : m_servers) {
      server.paused_at = 0;
      Register(server);
    }
  }).detach();
  return true;
}

std::size_t Database::Received(const Server& server) const {
  return server.paused_at > m_term ? std::min(server.held, m_log.size()) : m_log.size();
}

std::size_t Database::Applied(const Server& server) const {
  auto applied = Received(server);
  const auto now = Clock::now();
  while (server.id != m_primary && applied > 0 && now - m_log[applied - 1].at < kLag) {
    --applied;
  }
  return applied;
}

std::string Database::PositionOf(std::size_t index) const {
  return std::to_string(m_term) + "." + std::to_string(index);
}

bool Database::Holds(const Server& server, const std::string& position) const {
  return Applied(server) >= ToNumber(position.substr(position.find('.') + 1));
}

std::string Database::StatusRow(const Server& server) const {
  return "DATAROW " + std::string(server.id == m_primary ? "primary" : "replica") + " " +
         std::to_string(m_term) + " " + PositionOf(Received(server)) + " " +
         std::to_string(server.paused_at) + " 20 0 " + std::to_string(server.connections) +
         "\r\nCOMPLETE -\r\n";
}

std::string Database::Read(Server& server, Session& session, const std::string& item) {
  std::string value = "none";
  for (std::size_t i = 0; i < Applied(server); ++i) {
    const auto found = m_log[i].writes.find(item);
    value = found == m_log[i].writes.end() ? value : found->second;
  }
  const auto own = session.writes.find(item);
  value = own == session.writes.end() ? value : own->second;
  return "DATAROW " + value + "\r\nCOMPLETE mac-" + std::to_string(++m_macs) + "\r\n";
}

std::string Database::Execute(Server& server, Session& session, const std::string& line) {
  auto rest = line;
  Field(rest);
  const auto id = Field(rest);
  auto text = rest;
  std::string after;
  if (text.rfind("AFTER ", 0) == 0) {
    Field(text);
    after = Field(text);
  }
  auto words = text;
  auto word = Field(words);
  const bool is_primary = server.id == m_primary;
  const auto error = [&session](const std::string& what) {
    session.state = session.state == 'I' ? 'I' : 'E';
    return "ERROR " + what + "\r\n";
  };
  if (id != "-") {
    m_runs.push_back({server.id, id, text, session.values});
    m_record.Add(server.id + " runs " + Shorten(id) + " " + Shorten(text));
  }
  if (word == "ROLLBACK") {
    session.state = 'I';
    session.writes.clear();
    return "COMPLETE -\r\n";
  }
  if (session.state == 'E') {
    return error("MALFORMED the transaction failed");
  }
  if (!after.empty() && !Holds(server, after)) {
    return error("LAGGING -");
  }
  if (word == "BEGIN") {
    if (words.empty() && !is_primary) {
      return error("READONLY -");
    }
    session.state = 'T';
    session.read_only = !words.empty();
    return "COMPLETE -\r\n";
  }
  if (word == "SET") {
    const auto name = Field(words);
    session.values[name] = words;
    return "COMPLETE -\r\n";
  }
  if (word == "PARSE") {
    const auto name = Field(words);
    const auto access = Field(words);
    session.prepared[name] = {access, words};
    return "COMPLETE -\r\n";
  }
  if (word == "DISCARD") {
    session.values.clear();
    session.prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
    if (word == "PAUSE" && ToNumber(words) > m_term && !is_primary) {
      server.held = Received(server);
      server.paused_at = ToNumber(words);
    } else if (word == "RESUME") {
      server.paused_at = 0;
    } else if (word == "STEPDOWN" && ToNumber(words) > m_term && is_primary) {
      m_primary.clear();
    }
    return StatusRow(server);
  }
  if (word == "EXECUTE") {
    const auto prepared = session.prepared.find(Field(words));
    if (prepared == session.prepared.end()) {
      return error("NOSTMT -");
    }
    word = prepared->second.first;
  }
  if (word == "FETCH") {
    return Read(server, session, Field(words));
  }
  if (word == "PUT") {
    if (!is_primary || session.read_only) {
      return error("READONLY -");
    }
    const auto item = Field(words);
    session.writes[item] = words.size() > kShown ? words.substr(0, kShown) : words;
  }
  if (word == "COMMIT" || (word == "PUT" && session.state == 'I')) {
    if (!session.writes.empty()) {
      if (!is_primary) {
        return error("READONLY -");
      }
      m_log.push_back({std::exchange(session.writes, {}), Clock::now()});
    }
    session.state = 'I';
  }
  return "COMPLETE mac-" + std::to_string(++m_macs) + "\r\n";
}

void Database::Serve(Server& server, int socket) {
  Stream stream(socket);
  const auto greeting = stream.ReadLine();
  if (!greeting) {
    return;
  }
  auto rest = *greeting;
  Field(rest);
  const auto service = Field(rest);
  Field(rest);
  if (service != m_service || (!rest.empty() && rest != server.id)) {
    stream.Write("ERROR MOVED -\r\n");
    return;
  }
  {
    const std::lock_guard lock(m_mutex);
    ++server.connections;
  }
  Session session;
  bool open = stream.Write("READY I " + PositionOf(0) + "\r\n");
  while (open) {
    const auto line = stream.ReadLine();
    if (!line || *line == "QUIT") {
      break;
    }
    std::string answer;
    {
      const std::lock_guard lock(m_mutex);
      answer = Execute(server, session, *line);
      answer +=
          "READY " + std::string(1, session.state) + " " + PositionOf(Applied(server)) + "\r\n";
    }
    if (line->rfind("QUERY - ", 0) != 0) {
      std::this_thread::sleep_for(kWork);
    }
    open = stream.Write(answer);
  }
  const std::lock_guard lock(m_mutex);
  --server.connections;
}

std::vector<Run> Database::RunsOf(const std::vector<std::string>& ids) {
  const std::lock_guard lock(m_mutex);
  std::vector<Run> runs;
  for (const auto& run : m_runs) {
    if (std::find(ids.begin(), ids.end(), run.id) != ids.end()) {
      runs.push_back(run);
    }
  }
  return runs;
}

Gateway::Gateway(const std::string& name,
                 const std::string& directory,
                 const std::string& platform,
                 int memory_mb,
                 Record& record)
    : m_name(name), m_memory_mb(memory_mb), m_record(record) {
  Render(directory, platform);
}

void Gateway::Render(const std::string& directory, const std::string& platform) {
  m_session_port = FreePort();
  m_ready_port = FreePort();
  const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  const auto peers = local(FreePort());
  const std::map<std::string, std::string> fields = {
      {"node", m_name},
      {"zone", "one"},
      {"region", "north"},
      {"listen.frontend", local(m_session_port)},
      {"listen.readiness", local(m_ready_port)},
      {"listen.control", peers},
      {"ip", "127.0.0.1"},
      {"port_range.0", std::to_string(FreePort())},
      {"seeds", peers},
      {"limits.cpu_share", "1"},
      {"platform.address", platform},
      {"cloud.address", platform},
      {"limits.max_fds", "1024"},
      {"limits.memory_mb", std::to_string(m_memory_mb)},
      {"bounds.config_apply_ms", "3000"},
      {"bounds.drain_ms", "7000"},
      {"bounds.grace_s", "6"},
  };
  std::istringstream lines(ReadFile("deploy/gateway.conf"));
  std::string rendered;
  std::string line;
  bool skipped = false;
  while (std::getline(lines, line)) {
    if (line.rfind("{{#", 0) == 0 || line.rfind("{{/", 0) == 0) {
      // The sections are for bounds that this deployment does not have.
      skipped = line[2] == '#';
      continue;
    }
    for (const auto& [name, value] : fields) {
      const auto placeholder = "{{" + name + "}}";
      const auto at = line.find(placeholder);
      if (at != std::string::npos) {
        line.replace(at, placeholder.size(), value);
      }
    }
    rendered += skipped ? "" : line + "\n";
  }
  m_settings = directory + "/" + m_name + ".conf";
  std::ofstream(m_settings) << rendered;
}

bool Gateway::Start() {
  std::array<char*, 5> arguments{};
  std::string program = "target/cardamomd";
  std::string role = "gateway";
  std::string option = "--settings-file";
  arguments = {program.data(), role.data(), option.data(), m_settings.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const auto log = m_settings + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int failure =
      posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  m_record.Add(m_name + " started, process " + std::to_string(m_pid));
  return failure == 0;
}

bool Gateway::IsReady() const {
  const int socket = ConnectTo(m_ready_port);
  if (socket < 0) {
    return false;
  }
  Stream stream(socket);
  stream.Write("GET /cardamomhub/ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n");
  const auto line = stream.ReadLine();
  return line && line->find(" 200") != std::string::npos;
}

void Gateway::Supervise() {
  if (m_restart_at) {
    if (Clock::now() >= *m_restart_at) {
      m_restart_at.reset();
      Start();
    }
    return;
  }
  std::istringstream status(ReadFile("/proc/" + std::to_string(m_pid) + "/status"));
  long resident_kb = 0;
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      resident_kb = std::strtol(line.c_str() + std::strlen("VmRSS:"), nullptr, 10);
    }
  }
  m_peak_kb = std::max(m_peak_kb, resident_kb);
  constexpr long kKbPerMb = 1024;
  const bool exceeds = resident_kb > m_memory_mb * kKbPerMb;
  if (exceeds) {
    ::kill(m_pid, SIGKILL);
  }
  int result = 0;
  if (exceeds || ::waitpid(m_pid, &result, WNOHANG) == m_pid) {
    if (exceeds) {
      ::waitpid(m_pid, &result, 0);
    }
    ++m_ends;
    m_record.Add(m_name + (exceeds ? " killed: it uses " + std::to_string(resident_kb) + " KB, " +
                                         std::to_string(m_memory_mb) + " MB are allowed"
                                   : " ended by itself"));
    m_restart_at = Clock::now() + kRestartDelay;
  }
}

void Gateway::Stop() {
  if (m_pid > 0 && !m_restart_at) {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
  m_pid = -1;
}

bool Caller::Open(int port, const std::string& database) {
  m_stream.reset();
  const int socket = ConnectTo(port);
  if (socket < 0) {
    return false;
  }
  m_stream = std::make_unique<Stream>(socket);
  const bool sent = m_stream->Write("CONNECT " + database + " user\r\n");
  const auto line = sent ? m_stream->ReadLine() : std::nullopt;
  return line && line->rfind("READY", 0) == 0;
}

Caller::Reply Caller::Ask(const std::string& id, const std::string& text) {
  Reply reply;
  if (m_stream && m_stream->Write("QUERY " + id + " " + text + "\r\n")) {
    reply = ReadReply();
  }
  m_record.Add("sent " + Shorten(id) + " " + Shorten(text) +
               "; answered: " + Shorten(reply.result.value_or("(the connection broke)")));
  return reply;
}

Caller::Reply Caller::ReadReply() {
  Reply reply;
  std::optional<std::string> result;
  for (;;) {
    const auto line = m_stream->ReadLine();
    if (!line) {
      return reply;
    }
    if (line->rfind("READY ", 0) == 0) {
      reply.result = result;
      reply.state = line->substr(std::strlen("READY "), 1);
      return reply;
    }
    if (line->rfind("DATAROW ", 0) != 0) {
      result = *line;
    }
  }
}

std::string NewId() {
  static std::atomic<std::uint64_t> count{0};
  return "id" + std::to_string(++count);
}

}  // namespace review
