// Blocking sockets that carry lines which end with CR LF.
#pragma once

#include <optional>
#include <string>

#include "core/clock.h"
#include "http/address.h"

namespace cardamom::stutter {

// Listens on a free port of loopback. Returns the descriptor. Throws std::runtime_error.
int ListenOnLoopback(Address& address);

// Not thread safe, but for Shutdown.
class LineSocket {
 public:
  // Takes ownership of the descriptor.
  explicit LineSocket(int descriptor) : m_descriptor(descriptor) {}
  // Connects; the socket is closed if that fails.
  explicit LineSocket(const Address& peer);
  ~LineSocket();
  LineSocket(const LineSocket&) = delete;
  LineSocket& operator=(const LineSocket&) = delete;

  // Returns false if the connection has ended.
  bool Send(const std::string& text);
  // Returns a line without its end, or nothing after `timeout` or at the end of the connection.
  std::optional<std::string> ReadLine(Millis timeout);
  // Ends the connection, from any thread.
  void Shutdown();
  bool closed() const { return m_closed; }

 private:
  int m_descriptor;
  bool m_closed = false;
  std::string m_input;
};

}  // namespace cardamom::stutter
