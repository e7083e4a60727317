#include "standin/endpoint_server.h"

#include <algorithm>
#include <utility>

#include "async/spawn.h"
#include "core/random_id.h"
#include "standin/json_answers.h"

namespace cardamom {
namespace {

constexpr Millis kMaxWait{5000};
constexpr Millis kPullTimeout{1000};
constexpr Millis kPullRetryDelay{20};
constexpr Millis kPartitionedRequestHold{10'000};
constexpr std::uint32_t kMaxPullEntries = 512;

// Control requests run no statements; their connections do not count towards the connection limit.
bool IsControlTarget(std::string_view target) {
  return target == "/v1/state" || target == "/v1/fence" || target == "/v1/promote" ||
         target == "/v1/follow" || target == "/v1/log";
}

TimePoint DeadlineFrom(std::uint32_t wait_ms) {
  return Clock::now() + std::min(Millis(wait_ms), kMaxWait);
}

}  // namespace

Outcome<std::unique_ptr<EndpointServer>> EndpointServer::Create(
    asio::io_context& context,
    const EndpointServerOptions& options) {
  std::unique_ptr<EndpointServer> server(new EndpointServer(context, options));
  HttpServerOptions http;
  http.listen_address = options.listen_address;
  http.max_body_bytes = 16U << 20;
  auto* raw = server.get();
  auto listening = HttpServer::Create(
      context, http,
      {[raw](HttpRequest request) { return raw->Handle(std::move(request)); },
       [](std::uint64_t /*id*/) {}, [raw](std::uint64_t id) { raw->OnClose(id); }});
  if (!listening) {
    return listening.error();
  }
  server->m_http = std::move(*listening);
  return server;
}

EndpointServer::EndpointServer(asio::io_context& context, const EndpointServerOptions& options)
    : m_context(context),
      m_options(options),
      m_instance(RandomId()),
      m_replication(options.endpoint) {}

bool EndpointServer::IsSenderPartitioned(const HttpRequest& request) const {
  const auto from = request.Header("Cardamom-From");
  const std::lock_guard lock(m_mutex);
  return from && std::find(m_faults.cut.begin(), m_faults.cut.end(), *from) != m_faults.cut.end();
}

asio::awaitable<HttpResponse> EndpointServer::Handle(HttpRequest request) {
  if (request.target.starts_with("/admin/")) {
    co_return request.target == "/admin/faults" ? HandleFaults(request) : HandleStatistics();
  }
  if (IsSenderPartitioned(request)) {
    // A request that arrives during a partition is dropped even if the partition ends before the
    // hold time has passed.
    co_await Sleep(kPartitionedRequestHold);
    HttpResponse dropped;
    dropped.close_without_response = true;
    co_return dropped;
  }
  if (!IsControlTarget(request.target) && !co_await AdmitConnection(request.connection_id)) {
    co_return ErrorAnswer({ResultCode::kOverloaded, "too many connections"});
  }
  auto response = co_await Route(request);
  Millis delay;
  {
    const std::lock_guard lock(m_mutex);
    delay = Millis(m_faults.answer_delay_ms);
  }
  if (delay > Millis(0)) {
    co_await Sleep(delay);
  }
  if (IsSenderPartitioned(request)) {
    response.close_without_response = true;
  }
  co_return response;
}

asio::awaitable<HttpResponse> EndpointServer::Route(const HttpRequest& request) {
  const auto& target = request.target;
  if (target == "/v1/read") {
    co_return co_await HandleRead(request);
  }
  if (target == "/v1/write") {
    co_return co_await HandleWrite(request);
  }
  if (target == "/v1/state") {
    co_return co_await HandleState(request);
  }
  if (target == "/v1/key") {
    co_return co_await HandleKey(request);
  }
  if (target == "/v1/begin") {
    co_return co_await HandleBegin(request);
  }
  if (target == "/v1/execute") {
    co_return co_await HandleExecute(request);
  }
  if (target == "/v1/commit") {
    co_return co_await HandleCommit(request);
  }
  if (target == "/v1/rollback") {
    co_return HandleRollback(request);
  }
  if (target == "/v1/fence") {
    co_return HandleFence(request);
  }
  if (target == "/v1/promote") {
    co_return HandlePromote(request);
  }
  if (target == "/v1/follow") {
    co_return HandleFollow(request);
  }
  if (target == "/v1/log") {
    co_return co_await HandleLog(request);
  }
  if (target == "/v1/hello") {
    const std::lock_guard lock(m_mutex);
    co_return JsonAnswer(CurrentState());
  }
  co_return ErrorAnswer({ResultCode::kNoRoute, target});
}

asio::awaitable<bool> EndpointServer::AdmitConnection(std::uint64_t connection_id) {
  {
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    if (m_connections.contains(connection_id)) {
      co_return true;
    }
    if (m_connections.size() >= m_options.max_connections) {
      ++m_refused_connections;
      co_return false;
    }
    m_connections.insert(connection_id);
    m_peak_connections = std::max(m_peak_connections, m_connections.size());
  }
  co_await Sleep(m_options.connect_delay);
  co_return true;
}

void EndpointServer::OnClose(std::uint64_t connection_id) {
  bool rolled_back = false;
  {
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection_id);
    if (OwnsTransaction(connection_id)) {
      m_replication.RollbackTransaction();
      m_writer_connection_id = 0;
      m_writer_busy = false;
      rolled_back = true;
    }
  }
  if (rolled_back) {
    m_capacity_freed.NotifyAll();
  }
}

bool EndpointServer::OwnsTransaction(std::uint64_t connection_id) const {
  return m_writer_connection_id == connection_id && m_replication.InTransaction();
}

asio::awaitable<bool> EndpointServer::AcquireSlot(TimePoint deadline) {
  const auto try_acquire = [this] {
    const std::lock_guard lock(m_mutex);
    if (m_busy_slots >= m_options.slots) {
      return false;
    }
    ++m_busy_slots;
    return true;
  };
  if (try_acquire()) {
    co_return true;
  }
  {
    const std::lock_guard lock(m_mutex);
    ++m_slot_waiters;
    m_peak_slot_waiters = std::max(m_peak_slot_waiters, m_slot_waiters);
  }
  const bool taken = co_await m_capacity_freed.WaitUntil(try_acquire, deadline);
  const std::lock_guard lock(m_mutex);
  --m_slot_waiters;
  co_return taken;
}

void EndpointServer::ReleaseSlot() {
  {
    const std::lock_guard lock(m_mutex);
    --m_busy_slots;
  }
  m_capacity_freed.NotifyAll();
}

asio::awaitable<bool> EndpointServer::AcquireWriter(std::uint64_t connection_id,
                                                    TimePoint deadline) {
  co_return co_await m_capacity_freed.WaitUntil(
      [this, connection_id] {
        const std::lock_guard lock(m_mutex);
        if (m_writer_busy) {
          return false;
        }
        m_writer_busy = true;
        m_writer_connection_id = connection_id;
        return true;
      },
      deadline);
}

void EndpointServer::ReleaseWriter() {
  {
    const std::lock_guard lock(m_mutex);
    m_writer_busy = false;
    m_writer_connection_id = 0;
  }
  m_capacity_freed.NotifyAll();
}

asio::awaitable<void> EndpointServer::SimulateServiceTime() {
  if (m_options.service_time.count() > 0) {
    co_await Sleep(m_options.service_time);
  }
}

HttpResponse EndpointServer::ApplyLostAnswerFault(HttpResponse response) {
  const std::lock_guard lock(m_mutex);
  if (m_faults.lose_answers > 0) {
    --m_faults.lose_answers;
    response.close_without_response = true;
  }
  return response;
}

TimePoint EndpointServer::ContactDeadline(Millis limit) const {
  const std::lock_guard lock(m_mutex);
  if (limit == Millis(0) || m_replication.State().is_primary) {
    return TimePoint::max();
  }
  return m_last_primary_contact + limit;
}

ServerState EndpointServer::CurrentState() const {
  auto state = m_replication.State();
  state.instance = m_instance;
  state.connections = static_cast<std::uint32_t>(m_connections.size());
  state.primary_contact_age_ms =
      static_cast<std::uint64_t>(ToMillis(Clock::now() - m_last_primary_contact).count());
  return state;
}

std::optional<HttpResponse> EndpointServer::RefuseUnlessPrimary(Term term) const {
  if (m_replication.IsPrimaryOf(term)) {
    return std::nullopt;
  }
  return ErrorAnswer({ResultCode::kNotPrimary, "not primary of the term"},
                     m_replication.fenced_term());
}

asio::awaitable<HttpResponse> EndpointServer::HandleState(const HttpRequest& request) {
  const auto message = DecodeJson<StateRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  const auto has_changed = [&] {
    const std::lock_guard lock(m_mutex);
    const auto state = m_replication.State();
    return state.held != message->seen_held || state.applied != message->seen_applied ||
           state.fenced != message->seen_fenced;
  };
  const auto deadline = DeadlineFrom(message->wait_ms);
  for (;;) {
    const auto next = std::min(deadline, ContactDeadline(Millis(message->contact_limit_ms)));
    if (message->wait_ms == 0 || co_await m_state_changed.WaitUntil(has_changed, next)) {
      break;
    }
    const auto now = Clock::now();
    if (now >= deadline || now >= ContactDeadline(Millis(message->contact_limit_ms))) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  co_return JsonAnswer(CurrentState());
}

asio::awaitable<HttpResponse> EndpointServer::HandleRead(const HttpRequest& request) {
  const auto message = DecodeJson<ReadRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  const auto satisfied = [&] {
    const std::lock_guard lock(m_mutex);
    const auto applied = m_replication.AppliedPosition();
    return applied.term >= message->need.term && applied.index >= message->need.index;
  };
  const auto deadline = DeadlineFrom(message->wait_ms);
  if (!co_await m_state_changed.WaitUntil(satisfied, deadline)) {
    const std::lock_guard lock(m_mutex);
    co_return ErrorAnswer({ResultCode::kServerBehind, "the position is not applied"},
                          m_replication.fenced_term(), m_replication.AppliedPosition());
  }
  if (!co_await AcquireSlot(Clock::now() + kMaxWait)) {
    co_return ErrorAnswer({ResultCode::kOverloaded, "no slot"});
  }
  co_await SimulateServiceTime();
  ReleaseSlot();
  const std::lock_guard lock(m_mutex);
  if (message->as_primary_of != Term()) {
    if (auto refusal = RefuseUnlessPrimary(message->as_primary_of)) {
      co_return *refusal;
    }
  }
  const auto applied = m_replication.AppliedPosition();
  if (applied.term < message->need.term || applied.index < message->need.index) {
    // The log was truncated to follow a new lineage (the term of the primary whose log the server
    // follows) while the read waited for a slot.
    co_return ErrorAnswer({ResultCode::kServerBehind, "the position is not applied"},
                          m_replication.fenced_term(), applied);
  }
  auto result = m_replication.Read(message->statement);
  if (!result) {
    co_return ErrorAnswer(result.error());
  }
  ++m_reads;
  co_return JsonAnswer(ReadAnswer{std::move(*result), applied, m_options.endpoint});
}

asio::awaitable<HttpResponse> EndpointServer::HandleWrite(const HttpRequest& request) {
  const auto message = DecodeJson<WriteRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  const auto deadline = DeadlineFrom(message->wait_ms == 0 ? 1000 : message->wait_ms);
  if (!co_await AcquireSlot(deadline)) {
    co_return ErrorAnswer({ResultCode::kOverloaded, "no slot"});
  }
  co_await SimulateServiceTime();
  if (!co_await AcquireWriter(request.connection_id, deadline)) {
    ReleaseSlot();
    co_return ErrorAnswer({ResultCode::kOverloaded, "the writer is busy"});
  }
  HttpResponse response;
  {
    const std::lock_guard lock(m_mutex);
    if (auto refusal = RefuseUnlessPrimary(message->term)) {
      response = *refusal;
    } else {
      const auto answer = m_replication.Write(*message);
      response = answer ? JsonAnswer(*answer) : ErrorAnswer(answer.error());
      ++m_writes;
    }
  }
  ReleaseWriter();
  ReleaseSlot();
  m_state_changed.NotifyAll();
  co_return ApplyLostAnswerFault(std::move(response));
}

asio::awaitable<HttpResponse> EndpointServer::HandleKey(const HttpRequest& request) {
  const auto message = DecodeJson<KeyRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  const std::lock_guard lock(m_mutex);
  if (auto refusal = RefuseUnlessPrimary(message->term)) {
    co_return *refusal;
  }
  auto found = m_replication.FindKey(message->key).value_or(KeyAnswer{});
  found.position = m_replication.AppliedPosition();
  co_return JsonAnswer(found);
}

asio::awaitable<HttpResponse> EndpointServer::HandleBegin(const HttpRequest& request) {
  const auto message = DecodeJson<TransactionRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  const auto deadline = DeadlineFrom(message->wait_ms);
  if (!co_await AcquireWriter(request.connection_id, deadline)) {
    co_return ErrorAnswer({ResultCode::kOverloaded, "the writer is busy"});
  }
  std::optional<HttpResponse> refusal;
  ServerState state;
  {
    const std::lock_guard lock(m_mutex);
    refusal = RefuseUnlessPrimary(message->term);
    if (!refusal && !m_connections.contains(request.connection_id)) {
      refusal = ErrorAnswer({ResultCode::kTransport, "the connection closed"});
    }
    if (!refusal) {
      m_replication.BeginTransaction();
      state = CurrentState();
    }
  }
  if (refusal) {
    ReleaseWriter();
    co_return *refusal;
  }
  co_return JsonAnswer(state);
}

asio::awaitable<HttpResponse> EndpointServer::HandleExecute(const HttpRequest& request) {
  const auto message = DecodeJson<TransactionRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  if (!co_await AcquireSlot(DeadlineFrom(message->wait_ms))) {
    co_return ErrorAnswer({ResultCode::kOverloaded, "no slot"});
  }
  co_await SimulateServiceTime();
  ReleaseSlot();
  const std::lock_guard lock(m_mutex);
  if (!OwnsTransaction(request.connection_id)) {
    co_return ErrorAnswer({ResultCode::kTransactionAborted, "no open transaction"});
  }
  const auto result = m_replication.ExecuteInTransaction(message->statement);
  co_return result ? JsonAnswer(*result) : ErrorAnswer(result.error());
}

asio::awaitable<HttpResponse> EndpointServer::HandleCommit(const HttpRequest& request) {
  const auto message = DecodeJson<WriteRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  HttpResponse response;
  {
    const std::lock_guard lock(m_mutex);
    if (!OwnsTransaction(request.connection_id)) {
      co_return ErrorAnswer({ResultCode::kTransactionAborted, "no open transaction"});
    }
    const auto answer = m_replication.CommitTransaction(*message);
    response = answer ? JsonAnswer(*answer) : ErrorAnswer(answer.error());
    ++m_writes;
  }
  ReleaseWriter();
  m_state_changed.NotifyAll();
  co_return ApplyLostAnswerFault(std::move(response));
}

HttpResponse EndpointServer::HandleRollback(const HttpRequest& request) {
  {
    const std::lock_guard lock(m_mutex);
    if (!OwnsTransaction(request.connection_id)) {
      return ErrorAnswer({ResultCode::kTransactionAborted, "no open transaction"});
    }
    m_replication.RollbackTransaction();
  }
  ReleaseWriter();
  return JsonAnswer(StatementResult{});
}

HttpResponse EndpointServer::HandleFence(const HttpRequest& request) {
  const auto message = DecodeJson<FenceRequest>(request.body);
  if (!message) {
    return ErrorAnswer(message.error());
  }
  HttpResponse response;
  {
    const std::lock_guard lock(m_mutex);
    const bool had_transaction = m_replication.InTransaction();
    const auto fenced = m_replication.Fence(message->term);
    if (had_transaction && !m_replication.InTransaction()) {
      m_writer_busy = false;
      m_writer_connection_id = 0;
    }
    if (fenced) {
      ++m_pull_generation;
    }
    response = fenced ? JsonAnswer(CurrentState())
                      : ErrorAnswer(fenced.error(), m_replication.fenced_term());
  }
  m_capacity_freed.NotifyAll();
  m_state_changed.NotifyAll();
  return response;
}

HttpResponse EndpointServer::HandlePromote(const HttpRequest& request) {
  const auto message = DecodeJson<PromoteRequest>(request.body);
  if (!message) {
    return ErrorAnswer(message.error());
  }
  HttpResponse response;
  {
    const std::lock_guard lock(m_mutex);
    const auto promoted = m_replication.Promote(*message);
    if (promoted) {
      ++m_pull_generation;
    }
    response = promoted ? JsonAnswer(CurrentState())
                        : ErrorAnswer(promoted.error(), m_replication.fenced_term());
  }
  m_state_changed.NotifyAll();
  return response;
}

HttpResponse EndpointServer::HandleFollow(const HttpRequest& request) {
  const auto message = DecodeJson<FollowRequest>(request.body);
  if (!message) {
    return ErrorAnswer(message.error());
  }
  const std::lock_guard lock(m_mutex);
  const bool had_transaction = m_replication.InTransaction();
  const bool already_following = m_replication.fenced_term() == message->term &&
                                 m_replication.primary_address() == message->address &&
                                 !message->address.empty();
  const auto followed = m_replication.Follow(*message);
  if (!followed) {
    return ErrorAnswer(followed.error(), m_replication.fenced_term());
  }
  if (had_transaction) {
    m_writer_busy = false;
    m_writer_connection_id = 0;
  }
  if (!already_following || message->copy_until) {
    StartPull(*message);
  }
  return JsonAnswer(CurrentState());
}

asio::awaitable<HttpResponse> EndpointServer::HandleLog(const HttpRequest& request) {
  const auto message = DecodeJson<LogRequest>(request.body);
  if (!message) {
    co_return ErrorAnswer(message.error());
  }
  const auto ready = [&] {
    const std::lock_guard lock(m_mutex);
    return m_replication.LastEntry().index != message->after.index ||
           !m_replication.IsPrimaryOf(message->term);
  };
  co_await m_state_changed.WaitUntil(ready, DeadlineFrom(message->wait_ms));
  const std::lock_guard lock(m_mutex);
  const auto answer = m_replication.ReadLog(*message);
  co_return answer ? JsonAnswer(*answer) : ErrorAnswer(answer.error(), m_replication.fenced_term());
}

HttpResponse EndpointServer::HandleFaults(const HttpRequest& request) {
  const auto message = DecodeJson<EndpointFaults>(request.body);
  if (!message) {
    return ErrorAnswer(message.error());
  }
  const std::lock_guard lock(m_mutex);
  m_faults = *message;
  return JsonAnswer(m_faults);
}

HttpResponse EndpointServer::HandleStatistics() {
  const std::lock_guard lock(m_mutex);
  HttpResponse response;
  response.body =
      boost::json::serialize(boost::json::value{{"requests", m_requests},
                                                {"reads", m_reads},
                                                {"writes", m_writes},
                                                {"connections", m_connections.size()},
                                                {"peak_connections", m_peak_connections},
                                                {"refused_connections", m_refused_connections},
                                                {"peak_waiting", m_peak_slot_waiters}});
  return response;
}

void EndpointServer::StartPull(const FollowRequest& request) {
  const auto generation = ++m_pull_generation;
  Spawn(m_context, [this, request, generation] { return PullLoop(request, generation); });
}

asio::awaitable<void> EndpointServer::PullLoop(FollowRequest request, std::uint64_t generation) {
  const auto peer = Address::Parse(request.address);
  if (!peer) {
    co_return;
  }
  const auto source = std::make_shared<ConnectionPool>(m_context, *peer, 1);
  while (co_await PullOnce(request, generation, *source)) {
  }
}

asio::awaitable<bool> EndpointServer::PullOnce(const FollowRequest& request,
                                               std::uint64_t generation,
                                               ConnectionPool& source) {
  LogRequest pull{m_options.endpoint,
                  request.term,
                  {},
                  kMaxPullEntries,
                  static_cast<std::uint32_t>(m_options.max_pull_wait.count())};
  bool frozen = false;
  {
    const std::lock_guard lock(m_mutex);
    if (generation != m_pull_generation ||
        (request.copy_until && m_replication.LastEntry() == *request.copy_until)) {
      co_return false;
    }
    pull.after = m_replication.NextPullPosition();
    frozen = m_faults.replication_frozen;
  }
  if (frozen) {
    co_await Sleep(kPullRetryDelay);
    co_return true;
  }
  HttpRequest message{
      "POST", "/v1/log", {{"Cardamom-From", m_options.endpoint.value()}}, EncodeJson(pull)};
  const auto response = co_await source.Send(std::move(message), Clock::now() + kPullTimeout);
  if (!response || response->status != 200) {
    co_await Sleep(kPullRetryDelay);
    co_return true;
  }
  const auto answer = DecodeJson<LogAnswer>(response->body);
  if (!answer) {
    co_return false;
  }
  Millis lag;
  LogIndex held;
  bool changed = false;
  {
    const std::lock_guard lock(m_mutex);
    if (generation != m_pull_generation || m_faults.replication_frozen) {
      co_return generation == m_pull_generation;
    }
    m_last_primary_contact = Clock::now();
    changed = m_replication.AppendPulledEntries(request.term, pull.after, *answer,
                                                request.copy_until.has_value());
    held = m_replication.LastEntry().index;
    lag = Millis(m_faults.apply_lag_ms);
    if (changed && lag == Millis(0)) {
      m_replication.ApplyUpTo(held);
    }
  }
  if (changed) {
    m_state_changed.NotifyAll();
    if (lag > Millis(0)) {
      Spawn(m_context, [this, held, lag] { return ApplyLater(held, lag); });
    }
  }
  co_return true;
}

asio::awaitable<void> EndpointServer::ApplyLater(LogIndex index, Millis lag) {
  co_await Sleep(lag);
  {
    const std::lock_guard lock(m_mutex);
    m_replication.ApplyUpTo(index);
  }
  m_state_changed.NotifyAll();
}

}  // namespace cardamom
