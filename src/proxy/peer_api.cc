#include "proxy/peer_api.h"

#include <utility>

#include <openssl/crypto.h>

#include "proxy/json_responses.h"

namespace cardamom {
namespace {

constexpr std::string_view kPeerPrefix = "/peer";
constexpr Millis kMaxObservationAge{1000};
constexpr std::string_view kReachPrefix = "/peer/v1/reach/";

bool HasPeerKey(const HttpRequest& request, const std::string& key) {
  const auto given = request.Header(kPeerKeyHeader);
  return given && given->size() == key.size() &&
         CRYPTO_memcmp(given->data(), key.data(), key.size()) == 0;
}

}  // namespace

asio::awaitable<HttpResponse> PeerApi::Handle(HttpRequest request) {
  if (!HasPeerKey(request, m_context.settings.peer_key)) {
    co_return ProblemResponse({ResultCode::kForbiddenPeer, "the peer key does not match"});
  }
  if (request.target == "/peer/v1/revision") {
    co_return JsonResponse(m_config.RevisionStatus());
  }
  if (request.target == "/peer/v1/config") {
    co_return JsonResponse(m_config.snapshot());
  }
  if (request.target.starts_with(kReachPrefix)) {
    co_return JsonResponse(
        PrimaryReachability(GroupId(request.target.substr(kReachPrefix.size()))));
  }
  if (request.target.starts_with(kPeerPrefix)) {
    request.target = request.target.substr(kPeerPrefix.size());
    co_return co_await m_caller_api.Handle(std::move(request), true);
  }
  co_return ProblemResponse({ResultCode::kNoRoute, request.target});
}

ReachAnswer PeerApi::PrimaryReachability(const GroupId& id) const {
  ReachAnswer answer;
  const auto group = m_groups.Find(id);
  if (group == nullptr) {
    return answer;
  }
  // Makes this proxy watch the group closely, so that its next answer is current.
  group->RecordUse();
  group->WithView([&](const GroupView& view) {
    answer.term = view.term();
    const auto primary = view.primary();
    const auto* server = primary ? view.Find(*primary) : nullptr;
    // An old observation is evidence neither for nor against the primary.
    answer.known =
        server != nullptr &&
        (server->failing_since || Clock::now() - server->response_received_at < kMaxObservationAge);
    if (server != nullptr && server->failing_since) {
      answer.failing_ms =
          std::max<std::int64_t>(1, ToMillis(Clock::now() - *server->failing_since).count());
    }
    return 0;
  });
  return answer;
}

}  // namespace cardamom
