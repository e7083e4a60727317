// Callers that send and read on many connections at once, from one thread.
#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "http/address.h"

namespace cardamom {

// Not thread safe. The destructor closes the connections. Connections that the process under test
// refuses or closes are left out by the later calls.
class Crowd {
 public:
  // Opens `count` connections. Each may be refused.
  Crowd(const Address& address, std::size_t count);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends `text` on every connection, in turns of at most `piece_bytes`, until everything is sent
  // or no connection has taken a byte for a while.
  void Send(const std::string& text, std::size_t piece_bytes);
  // Reads and drops what arrives on every connection until nothing has arrived for a while.
  void Drain();

 private:
  std::vector<int> m_sockets;
};

// One caller of the session address that waits for its replies.
class Caller {
 public:
  explicit Caller(const Address& address);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Sends `line` and reads up to the line that begins with READY. Returns
  // the reply, or nothing if the connection ends or `timeout` passes.
  std::string Ask(const std::string& line, Millis timeout);

 private:
  int m_socket;
  std::string m_input;
};

}  // namespace cardamom
