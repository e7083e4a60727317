#include "platform/platform_client.h"

#include <utility>

namespace cardamom {
namespace {

constexpr std::size_t kConnections = 8;
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

HttpRequest MakeRequest(const char* method, const char* target, std::string body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = std::move(body);
  return request;
}

template <typename T>
Outcome<T> Read(const Outcome<HttpResponse>& response) {
  if (!response) {
    return response.error();
  }
  auto answer = Decode<T>(response->body);
  if (!answer) {
    return Error{ResultCode::kPlatformUnavailable, answer.error().detail, Ran::kUnknown};
  }
  return answer;
}

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context, const Address& address, std::string from)
    : m_from(std::move(from)),
      m_pool(std::make_shared<ConnectionPool>(context, address, kConnections)) {}

asio::awaitable<Outcome<HttpResponse>> PlatformClient::Send(HttpRequest request,
                                                            TimePoint deadline) {
  request.headers.push_back({"Cardamom-From", m_from});
  auto response = co_await m_pool->Send(std::move(request), deadline);
  if (!response) {
    co_return Error{ResultCode::kPlatformUnavailable, response.error().detail,
                    response.error().ran};
  }
  if (response->status != kStatusOk && response->status != kStatusConflict) {
    co_return Error{ResultCode::kPlatformUnavailable, "status " + std::to_string(response->status),
                    Ran::kUnknown};
  }
  co_return response;
}

asio::awaitable<Outcome<TransactAnswer>> PlatformClient::Transact(TransactRequest request,
                                                                  TimePoint deadline) {
  auto message = MakeRequest("POST", "/v1/table/transact", Encode(request));
  co_return cardamom::Read<TransactAnswer>(co_await Send(std::move(message), deadline));
}

asio::awaitable<Outcome<TableReadAnswer>> PlatformClient::Read(TableReadRequest request,
                                                               TimePoint deadline) {
  auto message = MakeRequest("POST", "/v1/table/read", Encode(request));
  co_return cardamom::Read<TableReadAnswer>(co_await Send(std::move(message), deadline));
}

asio::awaitable<Outcome<VmList>> PlatformClient::Vms(TimePoint deadline) {
  auto message = MakeRequest("GET", "/v1/vms", "");
  co_return cardamom::Read<VmList>(co_await Send(std::move(message), deadline));
}

}  // namespace cardamom
