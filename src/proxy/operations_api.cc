#include "proxy/operations_api.h"

#include <algorithm>
#include <utility>

#include "core/random_id.h"
#include "proxy/json_responses.h"

namespace cardamom {
namespace {

constexpr Millis kRecordChangeTimeout{5000};

std::optional<RecordAction> ParseAction(const std::string& name) {
  if (name == "submit") {
    return RecordAction::kSubmit;
  }
  if (name == "replace") {
    return RecordAction::kReplace;
  }
  if (name == "withdraw") {
    return RecordAction::kWithdraw;
  }
  return std::nullopt;
}

HttpResponse PlainTextResponse(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  response.body = std::move(text);
  return response;
}

EndpointStatusEntry StatusOf(const EndpointRuntime& endpoint, const GroupView& view) {
  EndpointStatusEntry status;
  status.endpoint = endpoint.spec.id;
  status.leaving = endpoint.leaving;
  status.primary = view.primary() == endpoint.spec.id;
  const auto& voters = view.voters();
  status.voter = std::find(voters.begin(), voters.end(), endpoint.spec.id) != voters.end();
  if (const auto* server = view.Find(endpoint.spec.id)) {
    status.reachable = server->reachable;
    status.lineage = server->state.lineage;
    status.held = server->state.held;
    status.applied = server->state.applied;
  }
  return status;
}

}  // namespace

OperationsApi::OperationsApi(ProxyContext& context,
                             GroupRegistry& groups,
                             ConfigFollower& config,
                             Membership& membership,
                             CallerApi& callers,
                             RecordService& records)
    : m_context(context),
      m_groups(groups),
      m_config(config),
      m_membership(membership),
      m_caller_api(callers),
      m_record_service(records) {}

bool OperationsApi::IsReady() const {
  return !m_not_ready && m_config.IsReady();
}

asio::awaitable<HttpResponse> OperationsApi::Handle(HttpRequest request) {
  const auto& target = request.target;
  if (target == "/v1/records" && request.method == "POST") {
    co_return co_await ChangeRecord(request);
  }
  if (target == "/v1/records") {
    co_return JsonResponse(m_config.snapshot());
  }
  if (target == "/v1/status") {
    co_return JsonResponse(Status());
  }
  if (target == "/v1/events") {
    co_return JsonResponse(EventList{m_context.events.Snapshot()});
  }
  if (target == "/readyz") {
    const bool ready = IsReady();
    co_return PlainTextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }
  if (target == "/livez") {
    co_return PlainTextResponse(200, "live\n");
  }
  if (target == "/metrics") {
    m_context.metrics.SetGauge("in_progress", static_cast<double>(m_caller_api.active_count()));
    co_return PlainTextResponse(200, m_context.metrics.Format());
  }
  co_return ProblemResponse({ResultCode::kNoRoute, request.method + " " + target});
}

asio::awaitable<HttpResponse> OperationsApi::ChangeRecord(const HttpRequest& request) {
  auto message = DecodeJson<RecordChangeMessage>(request.body);
  if (!message) {
    co_return ProblemResponse(message.error());
  }
  const auto action = ParseAction(message->action);
  if (!action) {
    co_return ProblemResponse(
        {ResultCode::kBadField, "action: must be submit, replace or withdraw"});
  }
  RecordChange change{*action, message->group, message->change_id, message->expected,
                      std::move(message->record)};
  if (change.change_id.empty()) {
    change.change_id = RandomId();
  }
  const auto revision =
      co_await m_record_service.Apply(std::move(change), Clock::now() + kRecordChangeTimeout);
  if (!revision) {
    co_return ProblemResponse(revision.error());
  }
  co_return JsonResponse(RecordChangeAnswer{*revision});
}

ProxyStatus OperationsApi::Status() const {
  ProxyStatus status;
  status.vm = m_membership.self().id;
  status.instance = m_context.instance_id;
  status.ready = IsReady();
  status.revision = m_config.RevisionStatus().revision;
  status.in_progress = m_caller_api.active_count();
  status.vms = m_membership.vms();
  for (const auto& group : m_groups.All()) {
    GroupStatus entry;
    entry.group = group->id();
    entry.steward_rank = m_membership.CoordinatorRank(group->id());
    const auto endpoints = group->AllEndpoints();
    group->WithView([&](const GroupView& view) {
      entry.term = view.term();
      entry.primary = view.primary().value_or(EndpointId());
      entry.committed = view.committed();
      for (const auto& endpoint : endpoints) {
        entry.endpoints.push_back(StatusOf(*endpoint, view));
      }
      return 0;
    });
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      entry.endpoints[i].outstanding = endpoints[i]->admission->outstanding();
      entry.endpoints[i].limit = endpoints[i]->admission->limit();
      entry.endpoints[i].connections = endpoints[i]->client->work_pool().open_connections();
    }
    status.groups.push_back(std::move(entry));
  }
  return status;
}

}  // namespace cardamom
