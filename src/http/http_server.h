// HTTP server. RESTinio is used in the .cc file only.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cardamom/error.h"
#include "core/clock.h"
#include "http/address.h"
#include "http/http_message.h"
#include "limits/memory_account.h"

namespace cardamom {

struct HttpServerOptions {
  // With port 0 the kernel chooses the port.
  Address listen_address;
  std::size_t max_body_bytes = 1 << 20;
  // Maximum size of the request target and, separately, of each header value.
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_pipelined_requests = 4;
  // Maximum time to handle a request and, counted separately, to write its response.
  Millis request_timeout{60'000};
  // Maximum time from accepting a connection or completing a response until the next request is
  // read completely.
  Millis idle_timeout{300'000};
  // Connections over this number wait in the listen backlog of the operating system.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  // Charged with the input of requests; see ChargedSocket. Then one request is read at a time on a
  // connection. Servers of one context have the same account. May be null.
  MemoryAccount* account = nullptr;
};

// Must outlive the requests in progress. Not thread safe except where noted.
class HttpServer {
 public:
  // Handles one request. Each call runs on its own strand; calls may run concurrently. An exception
  // becomes a response with status 500 and the message of the exception.
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
  // Called from any thread. Must not throw.
  using ConnectionHook = std::function<void(std::uint64_t connection_id)>;

  struct Hooks {
    Handler handler;
    // May be empty, as may on_close.
    ConnectionHook on_accept;
    ConnectionHook on_close;
  };

  // Creates a server that already listens. `context` must outlive it. Errors: kListenFailed.
  static Outcome<std::unique_ptr<HttpServer>> Create(boost::asio::io_context& context,
                                                     const HttpServerOptions& options,
                                                     Hooks hooks);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The listening address, with the port chosen by the kernel. Thread safe.
  const Address& address() const;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace cardamom
