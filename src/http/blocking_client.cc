#include "http/blocking_client.h"

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace cardamom {

Outcome<HttpResponse> BlockingClient::Send(HttpRequest request, Millis timeout) {
  std::optional<Outcome<HttpResponse>> result;
  boost::asio::co_spawn(
      m_context,
      [&]() -> boost::asio::awaitable<void> {
        const auto deadline = Clock::now() + timeout;
        if (m_connection == nullptr || !m_connection->IsUsable()) {
          m_connection = std::make_unique<HttpConnection>(m_context, m_peer);
          const auto connected = co_await m_connection->Connect(deadline);
          if (!connected) {
            result = Outcome<HttpResponse>(connected.error());
            co_return;
          }
        }
        result = co_await m_connection->Send(std::move(request), deadline);
      },
      [&](const std::exception_ptr& failure) {
        if (failure) {
          result = Outcome<HttpResponse>(Error{ResultCode::kTransport, "failed", Ran::kUnknown});
        }
      });
  m_context.restart();
  m_context.run();
  return *result;
}

}  // namespace cardamom
