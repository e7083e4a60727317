#include "http/http_connection.h"

#include <atomic>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/socket_options.h"

namespace cardamom {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::as_tuple;
using boost::asio::use_awaitable;

constexpr std::size_t kMaxResponseBytes = 64U << 20;

Error TransportError(const boost::system::error_code& ec, Ran ran) {
  return Error{ResultCode::kTransport, ec.message(), ran};
}

}  // namespace

class HttpConnection::Impl : public std::enable_shared_from_this<HttpConnection::Impl> {
 public:
  Impl(boost::asio::io_context& context, Address peer)
      : m_peer(std::move(peer)), m_stream(boost::asio::make_strand(context)) {}

  auto executor() { return m_stream.get_executor(); }
  bool usable() const { return m_usable; }

  boost::asio::awaitable<Outcome<void>> Connect(TimePoint deadline) {
    const auto self = shared_from_this();
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(m_peer.host, error);
    if (error) {
      co_return TransportError(error, Ran::kNo);
    }
    m_stream.expires_at(deadline);
    const auto [ec] = co_await m_stream.async_connect(
        boost::asio::ip::tcp::endpoint(host, m_peer.port), as_tuple(use_awaitable));
    if (ec == boost::asio::error::connection_refused) {
      co_return Error{ResultCode::kConnectionRefused, ec.message(), Ran::kNo};
    }
    if (ec) {
      co_return TransportError(ec, Ran::kNo);
    }
    SetLivenessOptions(m_stream.socket().native_handle());
    // With a linger time of zero, closing resets the connection and discards data that was not
    // delivered: an abandoned request must not run later. The socket option also covers the close
    // by the stream itself at a timeout.
    m_stream.socket().set_option(boost::asio::socket_base::linger(true, 0), error);
    m_usable = true;
    co_return Outcome<void>();
  }

  boost::asio::awaitable<Outcome<HttpResponse>> Send(HttpRequest request, TimePoint deadline) {
    const auto self = shared_from_this();
    if (!m_usable) {
      co_return Error{ResultCode::kTransport, "not connected", Ran::kNo};
    }
    m_usable = false;
    if (HasUnreadInput()) {
      Close();
      co_return Error{ResultCode::kUnmatchedAnswer, "a response to no request", Ran::kNo};
    }
    http::request<http::string_body> beast_request;
    beast_request.method_string(request.method);
    beast_request.target(request.target);
    beast_request.set(http::field::host, m_peer.ToString());
    for (const auto& header : request.headers) {
      beast_request.set(header.name, header.value);
    }
    beast_request.body() = std::move(request.body);
    beast_request.prepare_payload();

    m_stream.expires_at(deadline);
    const auto [write_error, written] =
        co_await http::async_write(m_stream, beast_request, as_tuple(use_awaitable));
    if (write_error) {
      Close();
      co_return TransportError(write_error, Ran::kUnknown);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxResponseBytes);
    const auto [read_error, received] =
        co_await http::async_read(m_stream, m_buffer, parser, as_tuple(use_awaitable));
    if (read_error) {
      Close();
      co_return TransportError(read_error, Ran::kUnknown);
    }
    m_stream.expires_never();
    auto beast_response = parser.release();
    m_usable = beast_response.keep_alive();
    HttpResponse response;
    response.status = static_cast<int>(beast_response.result_int());
    for (const auto& field : beast_response) {
      response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(beast_response.body());
    co_return response;
  }

  // Whether bytes have arrived behind the last response. They could be taken for the response to
  // the next request.
  bool HasUnreadInput() {
    boost::system::error_code ec;
    return m_buffer.size() > 0 || (m_stream.socket().available(ec) > 0 && !ec);
  }

  void Close() {
    beast::error_code ignored;
    m_stream.socket().close(ignored);
  }

 private:
  Address m_peer;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::atomic<bool> m_usable = false;
};

HttpConnection::HttpConnection(boost::asio::io_context& context, Address peer)
    : m_impl(std::make_shared<Impl>(context, std::move(peer))) {}

HttpConnection::~HttpConnection() = default;

boost::asio::awaitable<Outcome<void>> HttpConnection::Connect(TimePoint deadline) {
  co_return co_await boost::asio::co_spawn(m_impl->executor(), m_impl->Connect(deadline),
                                           use_awaitable);
}

boost::asio::awaitable<Outcome<HttpResponse>> HttpConnection::Send(HttpRequest request,
                                                                   TimePoint deadline) {
  co_return co_await boost::asio::co_spawn(
      m_impl->executor(), m_impl->Send(std::move(request), deadline), use_awaitable);
}

bool HttpConnection::IsUsable() const {
  return m_impl->usable();
}

}  // namespace cardamom
