#include "bench/cluster/session.h"

#include <utility>

namespace cardamom {
namespace {

// The proxy responds within the deadline; the client waits this much longer for its response.
constexpr Millis kReplyMargin{3000};

}  // namespace

CallerReply Session::Send(const Address& proxy, HttpRequest request, const std::string& key) {
  if (!m_token.empty()) {
    request.headers.push_back({"Cardamom-Session", m_token});
  }
  if (!key.empty()) {
    request.headers.push_back({"Idempotency-Key", key});
  }
  request.headers.push_back({"Cardamom-Deadline-Ms", std::to_string(m_deadline.count())});
  auto& client = m_clients[proxy.ToString()];
  if (client == nullptr) {
    client = std::make_unique<BlockingClient>(proxy);
  }
  const auto response = client->Send(std::move(request), m_deadline + kReplyMargin);
  CallerReply reply;
  if (!response) {
    client.reset();
    reply.problem.ran = ToString(response.error().ran);
    reply.problem.detail = response.error().detail;
    reply.status = response.error().ran == Ran::kNo ? 503 : 0;
    return reply;
  }
  reply.status = response->status;
  reply.body = response->body;
  if (const auto token = response->Header("Cardamom-Session")) {
    m_token = *token;
  }
  if (reply.ok()) {
    if (auto result = DecodeJson<CallerResult>(reply.body)) {
      reply.result = std::move(*result);
    }
  } else if (auto problem = DecodeJson<ProblemDetails>(reply.body)) {
    reply.problem = std::move(*problem);
  }
  return reply;
}

CallerReply Session::Post(const Address& proxy,
                          const std::string& target,
                          const std::string& body,
                          const std::string& key) {
  return Send(proxy, HttpRequest{"POST", target, {}, body}, key);
}

CallerReply Session::Get(const Address& proxy, const std::string& target) {
  return Send(proxy, HttpRequest{"GET", target, {}, ""}, "");
}

CallerReply Session::Read(const Address& proxy,
                          const std::string& sql,
                          boost::json::array params,
                          std::optional<std::int64_t> max_age_ms) {
  return Post(proxy, "/v1/groups/" + m_group + "/read",
              EncodeJson(CallerStatement{sql, std::move(params), max_age_ms}));
}

CallerReply Session::Write(const Address& proxy,
                           const std::string& sql,
                           boost::json::array params,
                           const std::string& key) {
  return Post(proxy, "/v1/groups/" + m_group + "/write",
              EncodeJson(CallerStatement{sql, std::move(params), std::nullopt}), key);
}

std::string Session::Begin(const Address& proxy) {
  const auto reply = Post(proxy, "/v1/groups/" + m_group + "/transactions", "{}");
  if (!reply.ok()) {
    return {};
  }
  const auto created = DecodeJson<TransactionCreated>(reply.body);
  return created ? created->transaction.value() : "";
}

}  // namespace cardamom
