#include "stutter_socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include <netinet/tcp.h>

namespace cardamom::stutter {
namespace {

void DisableNagle(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

int ListenOnLoopback(Address& address) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(name);
  auto* generic_name = reinterpret_cast<sockaddr*>(&name);
  constexpr int kBacklog = 256;
  if (bind(listener, generic_name, size) != 0 || listen(listener, kBacklog) != 0 ||
      getsockname(listener, generic_name, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  address = {"127.0.0.1", ntohs(name.sin_port)};
  return listener;
}

LineSocket::LineSocket(const Address& peer)
    : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(peer.port);
  inet_pton(AF_INET, peer.host.c_str(), &name.sin_addr);
  m_closed = connect(m_descriptor, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0;
  DisableNagle(m_descriptor);
}

LineSocket::~LineSocket() {
  close(m_descriptor);
}

bool LineSocket::Send(const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto count = send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      m_closed = true;
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::optional<std::string> LineSocket::ReadLine(Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  std::array<char, 16 << 10> chunk;
  while (!m_closed) {
    const auto end = m_input.find("\r\n");
    if (end != std::string::npos) {
      auto line = m_input.substr(0, end);
      m_input.erase(0, end + 2);
      return line;
    }
    const auto left = std::max(ToMillis(deadline - Clock::now()), Millis(0));
    pollfd state{m_descriptor, POLLIN, 0};
    if (poll(&state, 1, static_cast<int>(left.count())) <= 0) {
      return std::nullopt;
    }
    const auto count = recv(m_descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      m_closed = true;
      return std::nullopt;
    }
    m_input.append(chunk.data(), static_cast<std::size_t>(count));
  }
  return std::nullopt;
}

void LineSocket::Shutdown() {
  shutdown(m_descriptor, SHUT_RDWR);
}

}  // namespace cardamom::stutter
