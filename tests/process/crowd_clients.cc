#include "crowd_clients.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cardamom {
namespace {

constexpr Millis kQuietTime{1500};
constexpr Millis kPollInterval{20};

int Connect(const Address& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
  if (socket >= 0 && connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

// Whether the last call on a non-blocking socket can be tried again later.
bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

Crowd::Crowd(const Address& address, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    if (const int socket = Connect(address); socket >= 0) {
      m_sockets.push_back(socket);
    }
  }
}

Crowd::~Crowd() {
  for (const int socket : m_sockets) {
    close(socket);
  }
}

void Crowd::Send(const std::string& text, std::size_t piece_bytes) {
  std::vector<std::size_t> sent(m_sockets.size(), 0);
  for (auto progress_at = Clock::now(); Clock::now() - progress_at < kQuietTime;) {
    bool all_sent = true;
    bool any_sent = false;
    for (std::size_t i = 0; i < m_sockets.size(); ++i) {
      if (sent[i] == text.size()) {
        continue;
      }
      const auto size = std::min(piece_bytes, text.size() - sent[i]);
      const auto count =
          send(m_sockets[i], text.data() + sent[i], size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && !WouldBlock()) {
        sent[i] = text.size();
        continue;
      }
      all_sent = false;
      if (count > 0) {
        sent[i] += static_cast<std::size_t>(count);
        any_sent = true;
      }
    }
    if (all_sent) {
      return;
    }
    if (any_sent) {
      progress_at = Clock::now();
    } else {
      poll(nullptr, 0, static_cast<int>(kPollInterval.count()));
    }
  }
}

void Crowd::Drain() {
  std::array<char, 64 << 10> chunk;
  for (auto progress_at = Clock::now(); Clock::now() - progress_at < kQuietTime;) {
    bool any_read = false;
    for (const int socket : m_sockets) {
      any_read |= recv(socket, chunk.data(), chunk.size(), MSG_DONTWAIT) > 0;
    }
    if (any_read) {
      progress_at = Clock::now();
    } else {
      poll(nullptr, 0, static_cast<int>(kPollInterval.count()));
    }
  }
}

Caller::Caller(const Address& address) : m_socket(Connect(address)) {}

Caller::~Caller() {
  if (m_socket >= 0) {
    close(m_socket);
  }
}

std::string Caller::Ask(const std::string& line, Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  const auto text = line + "\r\n";
  std::size_t sent = 0;
  std::array<char, 64 << 10> chunk;
  m_input.clear();
  // Start of the line that is not complete yet.
  std::size_t line_start = 0;
  while (m_socket >= 0 && Clock::now() < deadline) {
    pollfd state{m_socket, static_cast<short>(sent < text.size() ? POLLIN | POLLOUT : POLLIN), 0};
    poll(&state, 1, static_cast<int>(kPollInterval.count()));
    if (sent < text.size()) {
      const auto count =
          send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    const auto count = recv(m_socket, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && !WouldBlock())) {
      return {};
    }
    m_input.append(chunk.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    for (auto end = m_input.find('\n', line_start); end != std::string::npos;
         end = m_input.find('\n', line_start)) {
      const bool is_last = m_input.compare(line_start, 6, "READY ") == 0;
      line_start = end + 1;
      if (is_last) {
        return m_input;
      }
    }
  }
  return {};
}

}  // namespace cardamom
