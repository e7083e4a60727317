#include "table/platform_client.h"

#include <utility>

#include "http/store_era.h"

namespace cardamom {
namespace {

constexpr std::size_t kMaxConnections = 8;
constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
constexpr int kStatusConflict = 409;

HttpRequest MakeRequest(const char* method, const char* target, std::string body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = std::move(body);
  return request;
}

template <typename T>
Outcome<T> DecodeResponse(const Outcome<HttpResponse>& response) {
  if (!response) {
    return response.error();
  }
  auto answer = DecodeJson<T>(response->body);
  if (!answer) {
    return Error{ResultCode::kPlatformUnavailable, answer.error().detail, Ran::kUnknown};
  }
  return answer;
}

// As DecodeResponse, with the era that the response reports.
template <typename T>
Outcome<T> DecodeTableResponse(const Outcome<HttpResponse>& response) {
  auto answer = DecodeResponse<T>(response);
  if (!answer) {
    return answer;
  }
  const auto era = EraOf(*response);
  if (!era) {
    return Error{ResultCode::kPlatformUnavailable, "Store-Era is not a number", Ran::kUnknown};
  }
  answer->era = *era;
  return answer;
}

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context,
                               const Address& address,
                               std::string sender)
    : m_sender(std::move(sender)),
      m_pool(std::make_shared<ConnectionPool>(context, address, kMaxConnections)) {}

asio::awaitable<Outcome<HttpResponse>> PlatformClient::Send(HttpRequest request,
                                                            TimePoint deadline) {
  request.headers.push_back({"Cardamom-From", m_sender});
  auto response = co_await m_pool->Send(std::move(request), deadline);
  if (!response) {
    co_return Error{ResultCode::kPlatformUnavailable, response.error().detail,
                    response.error().ran};
  }
  const auto status = response->status;
  if (status != kStatusOk && status != kStatusNotModified && status != kStatusConflict) {
    co_return Error{ResultCode::kPlatformUnavailable, "status " + std::to_string(response->status),
                    Ran::kUnknown};
  }
  co_return response;
}

asio::awaitable<Outcome<TransactAnswer>> PlatformClient::Transact(TransactRequest request,
                                                                  TimePoint deadline) {
  auto message = MakeRequest("POST", "/v1/table/transact", EncodeJson(request));
  co_return DecodeTableResponse<TransactAnswer>(co_await Send(std::move(message), deadline));
}

asio::awaitable<Outcome<TableReadAnswer>> PlatformClient::Read(TableReadRequest request,
                                                               TimePoint deadline) {
  auto message = MakeRequest("POST", "/v1/table/read", EncodeJson(request));
  co_return DecodeTableResponse<TableReadAnswer>(co_await Send(std::move(message), deadline));
}

asio::awaitable<Outcome<PlatformClient::TaggedVmList>> PlatformClient::ListVms(
    std::string known_etag,
    TimePoint deadline) {
  auto message = MakeRequest("GET", "/v1/vms", "");
  if (!known_etag.empty()) {
    message.headers.push_back({"If-None-Match", known_etag});
  }
  const auto response = co_await Send(std::move(message), deadline);
  if (!response) {
    co_return response.error();
  }
  TaggedVmList tagged;
  if (response->status == kStatusNotModified) {
    tagged.etag = known_etag;
    co_return tagged;
  }
  auto list = cardamom::DecodeResponse<VmList>(response);
  if (!list) {
    co_return list.error();
  }
  if (const auto tag = response->Header("ETag")) {
    tagged.etag = *tag;
  }
  tagged.list = std::move(*list);
  co_return tagged;
}

}  // namespace cardamom
