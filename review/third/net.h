// The record of a case, and sockets, lines and HTTP on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kBacklog = 512;

inline const Clock::time_point kStart = Clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count();
}

inline void SleepFor(milliseconds time) {
  std::this_thread::sleep_for(time);
}

// The record of the case, one line an event.
class Record {
 public:
  void Open(const std::string& path) { m_file.open(path, std::ios::trunc); }
  void Add(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    m_file << NowMs() << " ms " << line << std::endl;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

inline Record g_record;

inline int Listen(std::uint16_t& port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  name.sin_port = htons(port);
  socklen_t size = sizeof(name);
  auto* generic = reinterpret_cast<sockaddr*>(&name);
  if (bind(listener, generic, size) != 0 || listen(listener, kBacklog) != 0 ||
      getsockname(listener, generic, &size) != 0) {
    std::cerr << "cannot listen on port " << port << "\n";
    std::_Exit(kCouldNotRun);
  }
  port = ntohs(name.sin_port);
  return listener;
}

inline int ConnectTo(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  name.sin_port = htons(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, std::string_view text) {
  while (!text.empty()) {
    const auto count = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

// Buffered reading from a socket that it does not own.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // The next line without its end, or nothing at the end of the connection or at the deadline.
  std::optional<std::string> Line(std::optional<Clock::time_point> deadline = std::nullopt) {
    for (;;) {
      const auto end = m_input.find('\n', m_searched);
      if (end != std::string::npos) {
        std::string line = m_input.substr(0, end);
        m_input.erase(0, end + 1);
        m_searched = 0;
        if (!line.empty() && line.back() == '\r') {
          line.pop_back();
        }
        return line;
      }
      m_searched = m_input.size();
      if (!More(deadline)) {
        return std::nullopt;
      }
    }
  }

  std::optional<std::string> Bytes(std::size_t count) {
    while (m_input.size() < count) {
      if (!More(std::nullopt)) {
        return std::nullopt;
      }
    }
    std::string bytes = m_input.substr(0, count);
    m_input.erase(0, count);
    m_searched = 0;
    return bytes;
  }

 private:
  bool More(std::optional<Clock::time_point> deadline) {
    if (deadline) {
      const auto left = std::chrono::ceil<milliseconds>(*deadline - Clock::now()).count();
      pollfd state{m_fd, POLLIN, 0};
      if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    static thread_local std::array<char, 256 << 10> chunk;
    const auto count = recv(m_fd, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      return false;
    }
    m_input.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
  }

  int m_fd;
  std::string m_input;
  std::size_t m_searched = 0;
};

// Accepts connections for the life of the process, each served by a thread.
inline void ServeOn(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, serve] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }).detach();
}

struct HttpAnswer {
  int status = 200;
  std::string body = "{}";
};

struct HttpQuestion {
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

inline void ServeHttp(int fd, const std::function<HttpAnswer(const HttpQuestion&)>& answer) {
  Reader reader(fd);
  while (const auto first = reader.Line()) {
    HttpQuestion question;
    std::istringstream words(*first);
    std::string method;
    words >> method >> question.target;
    for (auto line = reader.Line(); line && !line->empty(); line = reader.Line()) {
      const auto colon = line->find(':');
      const auto value = line->find_first_not_of(' ', colon + 1);
      question.headers[Lower(line->substr(0, colon))] =
          value == std::string::npos ? "" : line->substr(value);
    }
    const auto length = question.headers.find("content-length");
    if (length != question.headers.end()) {
      auto body = reader.Bytes(std::stoul(length->second));
      if (!body) {
        return;
      }
      question.body = std::move(*body);
    }
    const auto reply = answer(question);
    const auto head = "HTTP/1.1 " + std::to_string(reply.status) +
                      " -\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(reply.body.size()) + "\r\n\r\n";
    if (!SendAll(fd, head + reply.body)) {
      return;
    }
  }
}

}  // namespace review
