#include "crowd_backend.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <mutex>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "async/notifier.h"
#include "core/base64.h"
#include "core/clock.h"

namespace cardamom {
namespace {

namespace json = boost::json;

constexpr Millis kFeedPollInterval{10};

// The value of a parameter of the query, or nothing.
std::string Parameter(const std::string& target, const std::string& name) {
  const auto start = target.find(name + "=");
  if (start == std::string::npos) {
    return {};
  }
  const auto value = start + name.size() + 1;
  return target.substr(value, target.find('&', value) - value);
}

std::uint64_t NumberOf(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

CrowdStore::CrowdStore() {
  HttpServerOptions options;
  options.listen_address = Address{"127.0.0.1", 0};
  auto server = HttpServer::Create(
      m_context, options,
      {[this](HttpRequest request) { return Handle(std::move(request)); }, {}, {}});
  if (!server) {
    throw std::runtime_error(server.error().detail);
  }
  m_server = std::move(*server);
  m_thread = std::thread([this] { m_context.run(); });
}

CrowdStore::~CrowdStore() {
  m_context.stop();
  m_thread.join();
}

void CrowdStore::Put(const std::string& table, const std::string& key, const std::string& value) {
  boost::asio::post(m_context, [this, table, key, encoded = EncodeBase64(value)] {
    m_tables[table][key] = {++m_version, encoded};
  });
}

boost::asio::awaitable<HttpResponse> CrowdStore::Handle(HttpRequest request) {
  const auto table = Parameter(request.target, "table");
  if (request.target.find("rows-tx") != std::string::npos) {
    co_return Apply(request.body);
  }
  if (request.target.find("rows-get") != std::string::npos) {
    co_return RowsAfter(table, 0);
  }
  const auto after = NumberOf(Parameter(request.target, "after"));
  const auto deadline = Clock::now() + Millis(NumberOf(Parameter(request.target, "wait_ms")));
  while (m_version <= after && Clock::now() < deadline) {
    co_await Sleep(kFeedPollInterval);
  }
  co_return RowsAfter(table, after);
}

HttpResponse CrowdStore::RowsAfter(const std::string& table, std::uint64_t after) const {
  json::array rows;
  if (const auto found = m_tables.find(table); found != m_tables.end()) {
    for (const auto& [key, row] : found->second) {
      if (row.version > after) {
        rows.push_back(
            json::object{{"key", key}, {"ver", row.version}, {"value", row.encoded_value}});
      }
    }
  }
  HttpResponse response;
  response.body =
      json::serialize(json::object{{"ver", m_version},
                                   {"now_ms", ToMillis(Clock::now().time_since_epoch()).count()},
                                   {"rows", rows}});
  return response;
}

HttpResponse CrowdStore::Apply(const std::string& body) {
  const auto value = json::parse(body);
  HttpResponse response;
  for (const auto& expected : value.at("expected_rev").as_array()) {
    const auto table = std::string(expected.at("table").as_string());
    const auto key = std::string(expected.at("key").as_string());
    if (m_tables[table][key].version != expected.at("ver").to_number<std::uint64_t>()) {
      response.status = 412;
      return response;
    }
  }
  for (const auto& put : value.at("puts").as_array()) {
    auto& row =
        m_tables[std::string(put.at("table").as_string())][std::string(put.at("key").as_string())];
    row = {++m_version, std::string(put.at("value").as_string())};
  }
  response.body = "{}";
  return response;
}

CrowdDatabase::CrowdDatabase() {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(name);
  auto* generic_name = reinterpret_cast<sockaddr*>(&name);
  constexpr int kBacklog = 256;
  if (bind(m_listener, generic_name, size) != 0 || listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, generic_name, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  m_address = {"127.0.0.1", ntohs(name.sin_port)};
  m_thread = std::thread([this] { Accept(); });
}

CrowdDatabase::~CrowdDatabase() {
  shutdown(m_listener, SHUT_RDWR);
  m_thread.join();
  close(m_listener);
  for (const int socket : m_sockets) {
    shutdown(socket, SHUT_RDWR);
  }
  for (auto& connection : m_connections) {
    connection.join();
  }
  for (const int socket : m_sockets) {
    close(socket);
  }
}

void CrowdDatabase::Accept() {
  for (;;) {
    const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    m_sockets.push_back(socket);
    m_connections.emplace_back([this, socket] { Serve(socket); });
  }
}

void CrowdDatabase::Serve(int socket) {
  std::string input;
  std::array<char, 64 << 10> chunk;
  char state = 'I';
  const auto answer = [this, socket, &state](const std::string& line) {
    std::istringstream fields(line);
    std::string word;
    std::string id;
    fields >> word >> id >> word;
    std::string text;
    if (line.rfind("CONNECT ", 0) != 0) {
      if (word == "AFTER") {
        std::string position;
        fields >> position >> word;
      }
      std::string item;
      fields >> item;
      unsigned count = 0;
      unsigned bytes = 0;
      if (word == "STATUS") {
        text = fmt::format("DATAROW primary 1 1.{} 0\r\n", m_index.load());
      } else if (word == "FETCH" && std::sscanf(item.c_str(), "rows-%u-%u", &count, &bytes) == 2) {
        for (unsigned i = 0; i < count; ++i) {
          text += "DATAROW " + std::string(bytes, 'r') + "\r\n";
        }
      } else if (word == "FETCH") {
        text = "DATAROW 1\r\n";
      } else if (word == "PUT") {
        ++m_index;
      }
      if (word.rfind("BEGIN", 0) == 0) {
        state = 'T';
      } else if (word.rfind("COMMIT", 0) == 0 || word.rfind("ROLLBACK", 0) == 0) {
        state = 'I';
      }
      text += id == "-" ? "COMPLETE -\r\n" : fmt::format("COMPLETE sig-{}\r\n", ++m_signatures);
    }
    text += fmt::format("READY {} 1.{}\r\n", state, m_index.load());
    return send(socket, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  };
  for (std::size_t searched = 0;;) {
    const auto end = input.find('\n', searched);
    if (end != std::string::npos) {
      if (!answer(input.substr(0, end))) {
        break;
      }
      input.erase(0, end + 1);
      searched = 0;
      continue;
    }
    searched = input.size();
    const auto count = recv(socket, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      break;
    }
    input.append(chunk.data(), static_cast<std::size_t>(count));
  }
  shutdown(socket, SHUT_RDWR);
}

}  // namespace cardamom
