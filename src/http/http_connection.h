// One HTTP client connection. Boost.Beast is used in the .cc file only.
#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cardamom/error.h"
#include "core/clock.h"
#include "http/address.h"
#include "http/http_message.h"

namespace cardamom {

// Sends one request at a time. Operations run on the connection's own strand. Not thread safe: at
// most one coroutine may use it at a time, except IsUsable.
class HttpConnection {
 public:
  // `context` must outlive this object.
  HttpConnection(boost::asio::io_context& context, Address peer);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Connects. Errors: kConnectionRefused and, for any other failure or after `deadline`,
  // kTransport; both with Ran::kNo.
  boost::asio::awaitable<Outcome<void>> Connect(TimePoint deadline);

  // Sends `request` and reads the whole response. Errors: kTransport, with Ran::kNo if the
  // connection is not usable, and with Ran::kUnknown once bytes of the request may have been sent.
  // After an error the connection is closed and not usable.
  boost::asio::awaitable<Outcome<HttpResponse>> Send(HttpRequest request, TimePoint deadline);

  // Whether the connection can take another request: connected, no request in progress, the last
  // one succeeded and the server keeps the connection open. Thread safe.
  bool IsUsable() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cardamom
