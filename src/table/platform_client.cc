#include "table/platform_client.h"

#include <set>
#include <utility>

#include "http/store_era.h"

namespace cardamom {
namespace {

constexpr std::size_t kMaxConnections = 8;
// Depth of nesting up to which a list is read, so that an entry with deep nesting hides no other.
constexpr std::size_t kMaxListDepth = 1000;
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

Outcome<VmList> DecodeVmList(std::string_view text) {
  boost::system::error_code ec;
  boost::json::parse_options options;
  options.max_depth = kMaxListDepth;
  const auto json = boost::json::parse(text, ec, {}, options);
  const auto* object = ec ? nullptr : json.if_object();
  const auto* entries = object == nullptr ? nullptr : object->if_contains("vms");
  if (entries == nullptr || !entries->is_array()) {
    return Error{ResultCode::kBadJson, ec ? ec.message() : "vms: must be an array"};
  }
  VmList list;
  std::set<VmId> ids;
  for (const auto& entry : entries->get_array()) {
    try {
      auto vm = boost::json::value_to<VmEntry>(entry);
      if (!vm.id.value().empty() && ids.insert(vm.id).second) {
        list.vms.push_back(std::move(vm));
      }
    } catch (const std::exception&) {
      // Another writer's malformed entry must not hide the other VMs.
    }
  }
  if (list.vms.empty() && !entries->get_array().empty()) {
    return Error{ResultCode::kBadField, "vms: no entry is a VM"};
  }
  return list;
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
  auto list = DecodeVmList(response->body);
  if (!list) {
    co_return Error{ResultCode::kPlatformUnavailable, list.error().detail, Ran::kUnknown};
  }
  if (const auto tag = response->Header("ETag")) {
    tagged.etag = *tag;
  }
  tagged.list = std::move(*list);
  co_return tagged;
}

}  // namespace cardamom
