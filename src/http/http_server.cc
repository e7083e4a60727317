#include "http/http_server.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <restinio/all.hpp>

#include "http/charged_socket.h"

namespace cardamom {
namespace {

// Calls the hooks when a connection is accepted or closed.
class ConnectionListener {
 public:
  explicit ConnectionListener(HttpServer::Hooks& hooks) : m_hooks(hooks) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    const auto id = notice.connection_id();
    if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
      if (m_hooks.on_accept) {
        m_hooks.on_accept(id);
      }
    } else if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      if (m_hooks.on_close) {
        m_hooks.on_close(id);
      }
    }
  }

 private:
  HttpServer::Hooks& m_hooks;
};

struct ServerTraits : public restinio::default_traits_t {
  using connection_state_listener_t = ConnectionListener;
  using stream_socket_t = ChargedSocket;
  // Name required by RESTinio.
  static constexpr bool use_connection_count_limiter = true;  // NOLINT
};

HttpRequest ToRequest(const restinio::request_t& restinio_request) {
  HttpRequest request;
  request.method = restinio_request.header().method().c_str();
  request.target = restinio_request.header().request_target();
  request.body = restinio_request.body();
  request.connection_id = restinio_request.connection_id();
  restinio_request.header().for_each_field([&request](const auto& field) {
    request.headers.push_back({field.name(), field.value()});
  });
  return request;
}

void SendResponse(const restinio::request_handle_t& request, HttpResponse response) {
  if (response.close_without_response) {
    // The body of the announced length is never sent, so the client detects a broken connection.
    request->create_response<restinio::user_controlled_output_t>()
        .set_content_length(1)
        .connection_close()
        .done();
    return;
  }
  auto builder = request->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, "-"});
  builder.append_header(restinio::http_field::content_type, response.content_type);
  for (auto& header : response.headers) {
    builder.append_header(header.name, header.value);
  }
  builder.set_body(std::move(response.body));
  if (request->header().should_keep_alive()) {
    builder.connection_keep_alive();
  } else {
    builder.connection_close();
  }
  builder.done([held = std::move(response.held_until_sent)](const auto& /*failure*/) {});
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(boost::asio::io_context& context, const HttpServerOptions& options, Hooks hooks)
      : m_context(context), m_hooks(std::move(hooks)), m_address(options.listen_address) {
    boost::asio::use_service<ChargeService>(m_context).set_account(options.account);
    restinio::incoming_http_msg_limits_t limits;
    limits.max_body_size(options.max_body_bytes)
        .max_field_value_size(options.max_header_bytes)
        .max_url_size(options.max_header_bytes);
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(options.listen_address.host)
        .port(options.listen_address.port)
        .incoming_http_msg_limits(limits)
        .max_parallel_connections(options.max_connections)
        .max_pipelined_requests(options.account == nullptr ? options.max_pipelined_requests : 1)
        .handle_request_timeout(options.request_timeout)
        .read_next_http_message_timelimit(options.idle_timeout)
        .write_http_response_timelimit(options.request_timeout)
        .buffer_size(4096)
        .connection_state_listener(std::make_shared<ConnectionListener>(m_hooks))
        .socket_options_setter(
            [](auto& socket) { socket.set_option(boost::asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([this](boost::asio::ip::tcp::acceptor& acceptor) {
          m_address.port = acceptor.local_endpoint().port();
        })
        .request_handler([this](auto request) { return Dispatch(std::move(request)); });
    m_server = std::make_unique<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(m_context), std::move(settings));
    m_server->open_sync();
  }

  ~Impl() {
    try {
      m_server->close_sync();
    } catch (const std::exception&) {
      // The acceptor is closed already.
    }
  }

  const Address& address() const { return m_address; }

 private:
  restinio::request_handling_status_t Dispatch(restinio::request_handle_t request) {
    boost::asio::co_spawn(boost::asio::make_strand(m_context), Serve(std::move(request)),
                          [](const std::exception_ptr& /*failure*/) {});
    return restinio::request_accepted();
  }

  boost::asio::awaitable<void> Serve(restinio::request_handle_t request) {
    HttpResponse response;
    try {
      response = co_await m_hooks.handler(ToRequest(*request));
    } catch (const std::exception& failure) {
      response.status = 500;
      response.content_type = "text/plain";
      response.body = failure.what();
    }
    SendResponse(request, std::move(response));
  }

  boost::asio::io_context& m_context;
  Hooks m_hooks;
  Address m_address;
  std::unique_ptr<restinio::http_server_t<ServerTraits>> m_server;
};

Outcome<std::unique_ptr<HttpServer>> HttpServer::Create(boost::asio::io_context& context,
                                                        const HttpServerOptions& options,
                                                        Hooks hooks) {
  try {
    return std::unique_ptr<HttpServer>(
        new HttpServer(std::make_unique<Impl>(context, options, std::move(hooks))));
  } catch (const std::exception& failure) {
    return Error{ResultCode::kListenFailed,
                 options.listen_address.ToString() + ": " + failure.what()};
  }
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer() = default;

const Address& HttpServer::address() const {
  return m_impl->address();
}

}  // namespace cardamom
