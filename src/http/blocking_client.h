// Synchronous HTTP client for programs that do nothing else while they wait.
#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "http/http_connection.h"

namespace cardamom {

// Reuses one connection for successive requests. Not thread safe.
class BlockingClient {
 public:
  explicit BlockingClient(Address peer) : m_peer(std::move(peer)) {}

  // Sends `request` and blocks until the response is read or `timeout`, which includes connecting,
  // has passed. Errors: as HttpConnection::Connect and HttpConnection::Send.
  Outcome<HttpResponse> Send(HttpRequest request, Millis timeout);

 private:
  boost::asio::io_context m_context;
  Address m_peer;
  std::unique_ptr<HttpConnection> m_connection;
};

}  // namespace cardamom
