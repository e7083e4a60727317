#include "endpoint/endpoint_client.h"

#include <algorithm>
#include <utility>

namespace cardamom {
namespace {

// Long polls, probes and fence requests may run at the same time.
constexpr std::size_t kMaxControlConnections = 8;
constexpr int kStatusOk = 200;

HttpRequest MakePost(const char* target, const std::string& sender, std::string body) {
  return {"POST", target, {{"Cardamom-From", sender}}, std::move(body)};
}

bool IsResultCode(int code) {
  const auto codes = AllResultCodes();
  return std::any_of(codes.begin(), codes.end(), [code](const ResultCodeInfo& info) {
    return static_cast<int>(info.code) == code;
  });
}

// Decodes the error in a refusal. A server that refuses a request has not executed it.
Error DecodeRefusal(const HttpResponse& response) {
  const auto refusal = DecodeJson<ServerError>(response.body);
  if (!refusal || !IsResultCode(refusal->code) || refusal->code == 0) {
    return {ResultCode::kBadAnswer, "status " + std::to_string(response.status), Ran::kUnknown};
  }
  return {static_cast<ResultCode>(refusal->code), refusal->detail, Ran::kNo};
}

template <typename T>
Outcome<T> DecodeResponse(const Outcome<HttpResponse>& response) {
  if (!response) {
    return response.error();
  }
  if (response->status != kStatusOk) {
    return DecodeRefusal(*response);
  }
  auto answer = DecodeJson<T>(response->body);
  if (!answer) {
    return Error{ResultCode::kBadAnswer, answer.error().detail, Ran::kUnknown};
  }
  return answer;
}

// Sends one request over a pooled connection and reads the answer as a T.
template <typename T>
asio::awaitable<Outcome<T>> Call(std::shared_ptr<ConnectionPool> pool,
                                 HttpRequest message,
                                 TimePoint deadline) {
  co_return DecodeResponse<T>(co_await pool->Send(std::move(message), deadline));
}

asio::awaitable<Outcome<void>> Handshake(std::string sender,
                                         HttpConnection& connection,
                                         TimePoint deadline) {
  auto message = MakePost("/v1/hello", sender, "");
  const auto hello =
      DecodeResponse<ServerState>(co_await connection.Send(std::move(message), deadline));
  if (!hello) {
    co_return hello.error();
  }
  co_return Outcome<void>();
}

}  // namespace

EndpointClient::EndpointClient(asio::io_context& context,
                               const Address& address,
                               std::string sender,
                               std::size_t max_connections)
    : m_sender(std::move(sender)),
      m_work_pool(std::make_shared<ConnectionPool>(context, address, max_connections)),
      m_control_pool(std::make_shared<ConnectionPool>(context, address, kMaxControlConnections)) {
  m_work_pool->set_connect_hook([name = m_sender](HttpConnection& connection, TimePoint deadline) {
    return Handshake(name, connection, deadline);
  });
}

asio::awaitable<Outcome<ServerState>> EndpointClient::GetState(StateRequest request,
                                                               TimePoint deadline) {
  return Call<ServerState>(m_control_pool, MakePost("/v1/state", m_sender, EncodeJson(request)),
                           deadline);
}

asio::awaitable<Outcome<ReadAnswer>> EndpointClient::Read(ReadRequest request, TimePoint deadline) {
  return Call<ReadAnswer>(m_work_pool, MakePost("/v1/read", m_sender, EncodeJson(request)),
                          deadline);
}

asio::awaitable<Outcome<WriteAnswer>> EndpointClient::Write(WriteRequest request,
                                                            TimePoint deadline) {
  return Call<WriteAnswer>(m_work_pool, MakePost("/v1/write", m_sender, EncodeJson(request)),
                           deadline);
}

asio::awaitable<Outcome<KeyAnswer>> EndpointClient::LookUpKey(KeyRequest request,
                                                              TimePoint deadline) {
  return Call<KeyAnswer>(m_work_pool, MakePost("/v1/key", m_sender, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<ServerState>> EndpointClient::Fence(FenceRequest request,
                                                            TimePoint deadline) {
  return Call<ServerState>(m_control_pool, MakePost("/v1/fence", m_sender, EncodeJson(request)),
                           deadline);
}

asio::awaitable<Outcome<ServerState>> EndpointClient::Promote(PromoteRequest request,
                                                              TimePoint deadline) {
  return Call<ServerState>(m_control_pool, MakePost("/v1/promote", m_sender, EncodeJson(request)),
                           deadline);
}

asio::awaitable<Outcome<ServerState>> EndpointClient::Follow(FollowRequest request,
                                                             TimePoint deadline) {
  return Call<ServerState>(m_control_pool, MakePost("/v1/follow", m_sender, EncodeJson(request)),
                           deadline);
}

asio::awaitable<Outcome<std::unique_ptr<EndpointClient::Transaction>>> EndpointClient::Begin(
    TransactionRequest request,
    TimePoint deadline) {
  auto lease = co_await m_work_pool->Acquire(deadline);
  if (!lease) {
    co_return lease.error();
  }
  auto message = MakePost("/v1/begin", m_sender, EncodeJson(request));
  auto begun = cardamom::DecodeResponse<ServerState>(
      co_await lease->connection().Send(std::move(message), deadline));
  if (!begun) {
    // No statement of the caller has been sent yet, so none has run, even if the begin was
    // executed.
    lease->Discard();
    co_return Error{begun.error().code, begun.error().detail, Ran::kNo};
  }
  co_return std::make_unique<Transaction>(std::move(*lease), m_sender);
}

EndpointClient::Transaction::Transaction(ConnectionPool::Lease lease, std::string sender)
    : m_lease(std::move(lease)), m_sender(std::move(sender)) {}

EndpointClient::Transaction::Transaction(Transaction&& other) noexcept = default;

EndpointClient::Transaction::~Transaction() {
  if (!m_ended) {
    m_lease.Discard();
  }
}

asio::awaitable<Outcome<StatementResult>> EndpointClient::Transaction::Execute(
    TransactionRequest request,
    TimePoint deadline) {
  auto message = MakePost("/v1/execute", m_sender, EncodeJson(request));
  co_return cardamom::DecodeResponse<StatementResult>(
      co_await m_lease.connection().Send(std::move(message), deadline));
}

asio::awaitable<Outcome<WriteAnswer>> EndpointClient::Transaction::Commit(WriteRequest request,
                                                                          TimePoint deadline) {
  auto message = MakePost("/v1/commit", m_sender, EncodeJson(request));
  auto answer = cardamom::DecodeResponse<WriteAnswer>(
      co_await m_lease.connection().Send(std::move(message), deadline));
  m_ended = answer.has_value();
  co_return answer;
}

asio::awaitable<Outcome<StatementResult>> EndpointClient::Transaction::Rollback(
    TimePoint deadline) {
  auto message = MakePost("/v1/rollback", m_sender, "{}");
  auto answer = cardamom::DecodeResponse<StatementResult>(
      co_await m_lease.connection().Send(std::move(message), deadline));
  m_ended = answer.has_value();
  co_return answer;
}

}  // namespace cardamom
