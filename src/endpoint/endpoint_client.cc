#include "endpoint/endpoint_client.h"

#include <algorithm>
#include <utility>

namespace cardamom {
namespace {

// Long polls, probes and fence requests may run at the same time.
constexpr std::size_t kControlConnections = 8;
constexpr int kStatusOk = 200;

HttpRequest Post(const char* target, const std::string& from, std::string body) {
  return {"POST", target, {{"Cardamom-From", from}}, std::move(body)};
}

bool IsKnownCode(int code) {
  const auto codes = AllResultCodes();
  return std::any_of(codes.begin(), codes.end(), [code](const ResultCodeInfo& info) {
    return static_cast<int>(info.code) == code;
  });
}

// Decodes the error in a refusal. A server that refuses a request has not executed it.
Error RefusalOf(const HttpResponse& response) {
  const auto refusal = DecodeJson<ServerError>(response.body);
  if (!refusal || !IsKnownCode(refusal->code) || refusal->code == 0) {
    return {ResultCode::kBadAnswer, "status " + std::to_string(response.status), Ran::kUnknown};
  }
  return {static_cast<ResultCode>(refusal->code), refusal->detail, Ran::kNo};
}

template <typename T>
Outcome<T> Read(const Outcome<HttpResponse>& response) {
  if (!response) {
    return response.error();
  }
  if (response->status != kStatusOk) {
    return RefusalOf(*response);
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
  co_return Read<T>(co_await pool->Send(std::move(message), deadline));
}

asio::awaitable<Outcome<void>> Login(std::string from,
                                     HttpConnection& connection,
                                     TimePoint deadline) {
  auto message = Post("/v1/hello", from, "");
  const auto hello = Read<ServerState>(co_await connection.Send(std::move(message), deadline));
  if (!hello) {
    co_return hello.error();
  }
  co_return Outcome<void>();
}

}  // namespace

EndpointClient::EndpointClient(asio::io_context& context,
                               const Address& address,
                               std::string from,
                               std::size_t max_connections)
    : m_from(std::move(from)),
      m_work(std::make_shared<ConnectionPool>(context, address, max_connections)),
      m_control(std::make_shared<ConnectionPool>(context, address, kControlConnections)) {
  m_work->set_connect_hook([name = m_from](HttpConnection& connection, TimePoint deadline) {
    return Login(name, connection, deadline);
  });
}

asio::awaitable<Outcome<ServerState>> EndpointClient::State(StateRequest request,
                                                            TimePoint deadline) {
  return Call<ServerState>(m_control, Post("/v1/state", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<ReadAnswer>> EndpointClient::Read(ReadRequest request, TimePoint deadline) {
  return Call<ReadAnswer>(m_work, Post("/v1/read", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<WriteAnswer>> EndpointClient::Write(WriteRequest request,
                                                            TimePoint deadline) {
  return Call<WriteAnswer>(m_work, Post("/v1/write", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<KeyAnswer>> EndpointClient::Key(KeyRequest request, TimePoint deadline) {
  return Call<KeyAnswer>(m_work, Post("/v1/key", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<ServerState>> EndpointClient::Fence(FenceRequest request,
                                                            TimePoint deadline) {
  return Call<ServerState>(m_control, Post("/v1/fence", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<ServerState>> EndpointClient::Promote(PromoteRequest request,
                                                              TimePoint deadline) {
  return Call<ServerState>(m_control, Post("/v1/promote", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<ServerState>> EndpointClient::Follow(FollowRequest request,
                                                             TimePoint deadline) {
  return Call<ServerState>(m_control, Post("/v1/follow", m_from, EncodeJson(request)), deadline);
}

asio::awaitable<Outcome<std::unique_ptr<EndpointClient::Transaction>>> EndpointClient::Begin(
    TransactionRequest request,
    TimePoint deadline) {
  auto lease = co_await m_work->Acquire(deadline);
  if (!lease) {
    co_return lease.error();
  }
  auto message = Post("/v1/begin", m_from, EncodeJson(request));
  auto begun =
      cardamom::Read<ServerState>(co_await lease->connection().Send(std::move(message), deadline));
  if (!begun) {
    // No statement of the caller has been sent yet, so none has run, even if the begin was
    // executed.
    lease->Discard();
    co_return Error{begun.error().code, begun.error().detail, Ran::kNo};
  }
  co_return std::make_unique<Transaction>(std::move(*lease), m_from);
}

EndpointClient::Transaction::Transaction(ConnectionPool::Lease lease, std::string from)
    : m_lease(std::move(lease)), m_from(std::move(from)) {}

EndpointClient::Transaction::Transaction(Transaction&& other) noexcept = default;

EndpointClient::Transaction::~Transaction() {
  if (!m_ended) {
    m_lease.Discard();
  }
}

asio::awaitable<Outcome<StatementResult>> EndpointClient::Transaction::Execute(
    TransactionRequest request,
    TimePoint deadline) {
  auto message = Post("/v1/execute", m_from, EncodeJson(request));
  co_return cardamom::Read<StatementResult>(
      co_await m_lease.connection().Send(std::move(message), deadline));
}

asio::awaitable<Outcome<WriteAnswer>> EndpointClient::Transaction::Commit(WriteRequest request,
                                                                          TimePoint deadline) {
  auto message = Post("/v1/commit", m_from, EncodeJson(request));
  auto answer =
      cardamom::Read<WriteAnswer>(co_await m_lease.connection().Send(std::move(message), deadline));
  m_ended = answer.has_value();
  co_return answer;
}

asio::awaitable<Outcome<StatementResult>> EndpointClient::Transaction::Rollback(
    TimePoint deadline) {
  auto message = Post("/v1/rollback", m_from, "{}");
  auto answer = cardamom::Read<StatementResult>(
      co_await m_lease.connection().Send(std::move(message), deadline));
  m_ended = answer.has_value();
  co_return answer;
}

}  // namespace cardamom
