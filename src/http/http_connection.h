// One client connection; Boost.Beast stays behind this header.
#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cardamom/error.h"
#include "core/clock.h"
#include "http/address.h"
#include "http/http_message.h"

namespace cardamom {

// Sends one request at a time. Its operations run on a strand of its own; use it from one coroutine
// at a time.
class HttpConnection {
 public:
  HttpConnection(boost::asio::io_context& context, Address peer);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Connects. Errors: kTransport and kConnectionRefused with Ran::kNo.
  boost::asio::awaitable<Outcome<void>> Connect(TimePoint deadline);

  // Sends `request` and reads the whole answer. Errors: kTransport with Ran::kNo while not
  // connected, and Ran::kUnknown as soon as bytes may have left. After an error the connection is
  // unusable.
  boost::asio::awaitable<Outcome<HttpResponse>> Send(HttpRequest request, TimePoint deadline);

  // Whether the last operation left the connection fit for another request.
  bool IsUsable() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cardamom
