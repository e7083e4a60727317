// HTTP from programs that have nothing else to do meanwhile.
#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "http/http_connection.h"

namespace cardamom {

// Keeps one connection open between requests. Not thread safe.
class BlockingClient {
 public:
  explicit BlockingClient(Address peer) : m_peer(std::move(peer)) {}

  // Errors: as HttpConnection.
  Outcome<HttpResponse> Send(HttpRequest request, Millis timeout);

 private:
  boost::asio::io_context m_context;
  Address m_peer;
  std::unique_ptr<HttpConnection> m_connection;
};

}  // namespace cardamom
