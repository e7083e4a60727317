// Socket options of long-lived TCP connections.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cardamom {

// Makes a connection whose peer does not answer fail within about 3 s, and disables Nagle's
// algorithm so that small writes are sent at once. Options that the system does not support are
// ignored. Thread safe.
inline void SetLivenessOptions(int socket) {
  const auto set = [socket](int level, int option, int value) {
    (void)::setsockopt(socket, level, option, &value, sizeof(value));
  };
  constexpr int kKeepaliveIntervalSeconds = 1;
  constexpr int kMaxKeepaliveProbes = 2;
  constexpr int kUserTimeoutMs = 3000;
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kMaxKeepaliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

}  // namespace cardamom
