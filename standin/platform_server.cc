#include "standin/platform_server.h"

#include <algorithm>
#include <utility>

#include "http/store_era.h"
#include "standin/json_answers.h"

namespace cardamom {
namespace {

constexpr Millis kPartitionedRequestHold{10'000};
constexpr std::string_view kObjectPrefix = "/v1/objects/";

Error MakeUnavailableError() {
  return {ResultCode::kPlatformUnavailable, "outage"};
}

}  // namespace

Outcome<std::unique_ptr<PlatformServer>> PlatformServer::Create(asio::io_context& context,
                                                                const Address& listen) {
  std::unique_ptr<PlatformServer> server(new PlatformServer());
  HttpServerOptions http;
  http.listen_address = listen;
  http.max_body_bytes = 64U << 20;
  auto* raw = server.get();
  auto listening = HttpServer::Create(
      context, http,
      {[raw](HttpRequest request) { return raw->Handle(std::move(request)); }, {}, {}});
  if (!listening) {
    return listening.error();
  }
  server->m_http = std::move(*listening);
  return server;
}

asio::awaitable<HttpResponse> PlatformServer::Handle(HttpRequest request) {
  if (request.target.starts_with("/admin/")) {
    co_return HandleAdmin(request);
  }
  PlatformFaults faults;
  {
    const std::lock_guard lock(m_mutex);
    faults = m_faults;
  }
  const auto from = request.Header("Cardamom-From");
  if (from && std::find(faults.cut.begin(), faults.cut.end(), *from) != faults.cut.end()) {
    co_await Sleep(kPartitionedRequestHold);
    HttpResponse dropped;
    dropped.close_without_response = true;
    co_return dropped;
  }
  if (faults.delay_ms > 0) {
    co_await Sleep(Millis(faults.delay_ms));
  }
  const bool is_vm_list_request = request.target == "/v1/vms";
  if (is_vm_list_request ? faults.list_outage : faults.outage) {
    co_return ErrorAnswer(MakeUnavailableError());
  }
  const std::lock_guard lock(m_mutex);
  auto response = Route(request);
  response.headers.push_back({kStoreEraHeader, std::to_string(m_era)});
  if (request.target == "/v1/table/transact" && m_faults.lose_answers > 0) {
    --m_faults.lose_answers;
    response.close_without_response = true;
  }
  co_return response;
}

HttpResponse PlatformServer::Route(const HttpRequest& request) {
  if (request.target == "/v1/table/transact") {
    return HandleTransact(request);
  }
  if (request.target == "/v1/table/read") {
    return HandleRead(request);
  }
  if (request.target == "/v1/vms") {
    return HandleVms(request);
  }
  if (request.target.starts_with(kObjectPrefix)) {
    return HandleObject(request);
  }
  return ErrorAnswer({ResultCode::kNoRoute, request.target});
}

HttpResponse PlatformServer::HandleAdmin(const HttpRequest& request) {
  const std::lock_guard lock(m_mutex);
  if (request.target == "/admin/faults") {
    const auto faults = DecodeJson<PlatformFaults>(request.body);
    if (!faults) {
      return ErrorAnswer(faults.error());
    }
    m_faults = *faults;
    return JsonAnswer(m_faults);
  }
  if (request.target == "/admin/vms") {
    auto list = DecodeJson<VmList>(request.body);
    if (!list) {
      return ErrorAnswer(list.error());
    }
    m_vm_lists.push_back({Clock::now(), std::move(*list)});
    return JsonAnswer(m_vm_lists.back().list);
  }
  if (request.target == "/admin/copy" || request.target == "/admin/restore") {
    return HandleCopy(request);
  }
  HttpResponse response;
  response.body = boost::json::serialize(
      boost::json::value{{"reads", m_reads}, {"writes", m_writes}, {"rows", m_rows.size()}});
  return response;
}

HttpResponse PlatformServer::HandleCopy(const HttpRequest& request) {
  if (request.target == "/admin/copy") {
    m_copy = {m_rows, m_last_version};
  } else {
    m_rows = m_copy.rows;
    m_last_version = m_copy.last_version;
    ++m_era;
  }
  return HttpResponse{};
}

HttpResponse PlatformServer::HandleTransact(const HttpRequest& request) {
  auto message = DecodeJson<TransactRequest>(request.body);
  if (!message) {
    return ErrorAnswer(message.error());
  }
  ++m_writes;
  const auto version_of = [this](const std::string& key) {
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
  };
  TransactAnswer answer;
  answer.applied = std::all_of(
      message->expect.begin(), message->expect.end(),
      [&](const RowVersion& expected) { return version_of(expected.key) == expected.version; });
  if (answer.applied) {
    ++m_last_version;
    for (auto& put : message->puts) {
      m_rows[put.key] = PlatformRow{put.key, m_last_version, put.value};
    }
    for (const auto& key : message->deletes) {
      m_rows.erase(key);
    }
  }
  for (const auto& expected : message->expect) {
    const auto it = m_rows.find(expected.key);
    answer.rows.push_back(it == m_rows.end() ? PlatformRow{expected.key, 0, {}} : it->second);
  }
  return JsonAnswer(answer, answer.applied ? 200 : 409);
}

HttpResponse PlatformServer::HandleRead(const HttpRequest& request) {
  const auto message = DecodeJson<TableReadRequest>(request.body);
  if (!message) {
    return ErrorAnswer(message.error());
  }
  ++m_reads;
  TableReadAnswer answer;
  for (const auto& key : message->keys) {
    const auto it = m_rows.find(key);
    answer.rows.push_back(it == m_rows.end() ? PlatformRow{key, 0, {}} : it->second);
  }
  for (const auto& prefix : message->prefixes) {
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix);
         ++it) {
      answer.rows.push_back(it->second);
    }
  }
  return JsonAnswer(answer);
}

HttpResponse PlatformServer::HandleVms(const HttpRequest& request) {
  ++m_reads;
  const auto visible_before = Clock::now() - Millis(m_faults.list_lag_ms);
  while (m_vm_lists.size() > 1 && m_vm_lists[1].set_at <= visible_before) {
    m_vm_lists.pop_front();
    ++m_vm_list_version;
  }
  const auto tag =
      "\"" + std::to_string(m_vm_list_version) + (m_vm_lists.empty() ? "e" : "") + "\"";
  HttpResponse response;
  if (request.Header("If-None-Match") == tag) {
    response.status = 304;
  } else {
    response = JsonAnswer(m_vm_lists.empty() ? VmList{} : m_vm_lists.front().list);
  }
  response.headers.push_back({"ETag", tag});
  return response;
}

HttpResponse PlatformServer::HandleObject(const HttpRequest& request) {
  const auto name = request.target.substr(kObjectPrefix.size());
  if (request.method == "PUT") {
    m_objects[name] = request.body;
    return HttpResponse{};
  }
  const auto it = m_objects.find(name);
  HttpResponse response;
  response.status = it == m_objects.end() ? 404 : 200;
  response.body = it == m_objects.end() ? "" : it->second;
  return response;
}

}  // namespace cardamom
