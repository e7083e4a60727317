// HTTP server; RESTinio stays behind this header.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cardamom/error.h"
#include "core/clock.h"
#include "http/address.h"
#include "http/http_message.h"

namespace cardamom {

struct HttpServerOptions {
  // Port 0 lets the kernel choose.
  Address listen;
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_pipelined_requests = 4;
  Millis request_timeout{60'000};
  Millis idle_timeout{300'000};
};

class HttpServer {
 public:
  // Runs on a strand of its own for each request.
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
  // Called from any thread.
  using ConnectionHook = std::function<void(std::uint64_t connection_id)>;

  struct Hooks {
    Handler handler;
    ConnectionHook on_accept;
    ConnectionHook on_close;
  };

  // Listens at once. Errors: kListenFailed. `context` must outlive the server.
  static Outcome<std::unique_ptr<HttpServer>> Create(boost::asio::io_context& context,
                                                     const HttpServerOptions& options,
                                                     Hooks hooks);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The address in use, with the port that the kernel chose. Thread safe.
  const Address& address() const;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace cardamom
