#include "proxy/caller_api.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include <boost/leaf/handle_errors.hpp>

#include "core/random_id.h"
#include "proxy/json_responses.h"

namespace cardamom {
namespace {

constexpr std::string_view kSessionHeader = "Cardamom-Session";
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "Cardamom-Deadline-Ms";
constexpr std::size_t kMaxKeyLength = 200;
constexpr std::int64_t kMaxReadAgeMs = 3'600'000;

// Operations, by the path segment that names them.
constexpr const char* kRead = "read";
constexpr const char* kWrite = "write";
constexpr const char* kBegin = "transactions";
constexpr const char* kOutcomes = "outcomes";
constexpr const char* kStatements = "statements";
constexpr const char* kCommit = "commit";
constexpr const char* kRollback = "rollback";

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start <= path.size()) {
    const auto end = std::min(path.find('/', start), path.size());
    segments.emplace_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

Outcome<SessionToken> ParseToken(std::string_view text, const std::string& key) {
  return boost::leaf::try_handle_all(
      [&]() -> LeafResult<Outcome<SessionToken>> {
        BOOST_LEAF_AUTO(token, SessionToken::Parse(text, key));
        return Outcome<SessionToken>(token);
      },
      [](const Error& error) { return Outcome<SessionToken>(error); },
      [] {
        return Outcome<SessionToken>(Error{ResultCode::kBadToken, "unreadable"});
      });
}

Outcome<CallerStatement> ParseStatement(const HttpRequest& request) {
  auto statement = DecodeJson<CallerStatement>(request.body);
  if (!statement) {
    return statement;
  }
  if (statement->sql.empty()) {
    return Error{ResultCode::kBadField, "sql: is missing or empty"};
  }
  if (statement->max_age_ms &&
      (*statement->max_age_ms < 0 || *statement->max_age_ms > kMaxReadAgeMs)) {
    return Error{ResultCode::kBadField, "max_age_ms: must be from 0 to 3600000"};
  }
  for (const auto& param : statement->params) {
    if (param.is_object() || param.is_array()) {
      return Error{ResultCode::kBadField, "params: must be scalars"};
    }
  }
  return statement;
}

CallerResult ToResult(const StatementResult& in) {
  CallerResult out;
  out.columns = in.columns;
  out.rows = in.rows;
  out.affected = in.affected;
  return out;
}

}  // namespace

CallerApi::CallerApi(ProxyContext& context,
                     GroupRegistry& groups,
                     ConfigFollower& config,
                     Membership& membership,
                     PeerClient& peers)
    : m_context(context),
      m_groups(groups),
      m_config(config),
      m_membership(membership),
      m_peers(peers),
      m_read_service(context),
      m_write_service(context),
      m_transaction_service(context, m_write_service) {}

asio::awaitable<HttpResponse> CallerApi::Handle(HttpRequest request, bool forwarded) {
  auto in_progress = m_requests.Begin();
  auto response = co_await HandleCounted(request, forwarded);
  response.held_until_sent = std::move(in_progress);
  co_return response;
}

asio::awaitable<HttpResponse> CallerApi::HandleCounted(const HttpRequest& request, bool forwarded) {
  const auto start = Clock::now();
  if (request.body.size() > static_cast<std::size_t>(m_context.settings.max_body_bytes)) {
    co_return FinishRequest(Error{ResultCode::kBodyTooLarge, "the body exceeds max-body-bytes"}, {},
                            start);
  }
  const auto call = ParseRequest(request);
  if (!call) {
    co_return FinishRequest(call.error(), {}, start);
  }
  if (call->transaction == TransactionId()) {
    if (m_refusing) {
      co_return FinishRequest(Error{ResultCode::kStopping, "the proxy is stopping"}, *call, start);
    }
    if (!m_config.IsReady()) {
      co_return FinishRequest(Error{ResultCode::kNotReady, "the configuration is not confirmed"},
                              *call, start);
    }
  }
  auto response = co_await Dispatch(request, *call, forwarded);
  co_return response;
}

void CallerApi::RefuseTransactions() {
  m_refusing_transactions = true;
  m_transaction_service.CloseIdle(Millis(0));
}

Outcome<CallerApi::ParsedRequest> CallerApi::ParseRequest(const HttpRequest& request) const {
  const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
  const auto segments = SplitPath(path);
  const auto no_route = Error{ResultCode::kNoRoute, request.method + " " + std::string(path)};
  if (segments.size() < 4 || segments[0] != "v1") {
    return no_route;
  }
  ParsedRequest call;
  call.operation = segments[3];
  const auto& operation = call.operation;
  const bool post = request.method == "POST";
  if (segments[1] == "groups") {
    call.group = GroupId(segments[2]);
    const bool is_group_operation =
        segments.size() == 4 && post &&
        (operation == kRead || operation == kWrite || operation == kBegin);
    const bool lookup = segments.size() == 5 && request.method == "GET" && operation == kOutcomes;
    if (!is_group_operation && !lookup) {
      return no_route;
    }
    if (lookup) {
      call.key = IdempotencyKey(segments[4]);
    }
  } else if (segments[1] == "transactions" && segments.size() == 4 && post &&
             (operation == kStatements || operation == kCommit || operation == kRollback)) {
    call.transaction = TransactionId(segments[2]);
  } else {
    return no_route;
  }
  const auto headers = ParseHeaders(request, call);
  if (!headers) {
    return headers.error();
  }
  return call;
}

Outcome<void> CallerApi::ParseHeaders(const HttpRequest& request, ParsedRequest& call) const {
  auto deadline_ms = m_context.settings.default_deadline_ms;
  if (const auto text = request.Header(kDeadlineHeader)) {
    const auto [end, error] =
        std::from_chars(text->data(), text->data() + text->size(), deadline_ms);
    if (error != std::errc() || end != text->data() + text->size() ||
        deadline_ms > m_context.settings.max_deadline_ms) {
      return Error{ResultCode::kBadHeader,
                   "Cardamom-Deadline-Ms: must be a whole number up to "
                   "max-deadline-ms"};
    }
    if (deadline_ms <= 0) {
      return Error{ResultCode::kDeadlineExpired, "the deadline has passed"};
    }
  }
  call.deadline = std::min<TimePoint>(Clock::now() + Millis(deadline_ms), m_latest_deadline.load());
  if (const auto key = request.Header(kKeyHeader)) {
    if (key->empty() || key->size() > kMaxKeyLength) {
      return Error{ResultCode::kBadHeader, "Idempotency-Key: must have 1 to 200 characters"};
    }
    call.key = IdempotencyKey(std::string(*key));
  }
  if (const auto text = request.Header(kSessionHeader)) {
    auto token = ParseToken(*text, m_context.settings.token_key);
    if (!token) {
      return token.error();
    }
    call.session = std::move(*token);
  }
  return Outcome<void>();
}

asio::awaitable<HttpResponse> CallerApi::Dispatch(const HttpRequest& request,
                                                  ParsedRequest call,
                                                  bool forwarded) {
  const auto start = Clock::now();
  if (call.transaction == TransactionId()) {
    co_return co_await DispatchGroup(request, std::move(call), forwarded);
  }
  const auto owner = OwnerOf(call.transaction);
  if (!owner) {
    co_return FinishRequest(Error{ResultCode::kUnknownTransaction, "the id has another form"}, call,
                            start);
  }
  const bool is_owner = *owner == m_membership.self().id;
  if (m_refusing_transactions && call.operation != kRollback) {
    const auto code = is_owner ? ResultCode::kTransactionAborted : ResultCode::kStopping;
    co_return FinishRequest(Error{code, "the proxy is stopping", Ran::kNo}, call, start);
  }
  if (!is_owner && !forwarded) {
    co_return co_await ForwardToOwner(*owner, request, call);
  }
  const auto result = co_await RunTransactionRequest(call, request);
  co_return FinishRequest(result, call, start);
}

asio::awaitable<HttpResponse> CallerApi::DispatchGroup(const HttpRequest& request,
                                                       ParsedRequest call,
                                                       bool forwarded) {
  const auto start = Clock::now();
  const auto group = m_groups.Find(call.group);
  if (group == nullptr) {
    const auto record = m_groups.RecordOf(call.group);
    if (!record || forwarded) {
      co_return FinishRequest(Error{ResultCode::kUnknownGroup, call.group.value()}, call, start);
    }
    co_return co_await ForwardToHome(*record, request, call);
  }
  group->RecordUse();
  if (call.operation == kOutcomes) {
    const auto result = co_await LookUpOutcome(group, call);
    co_return FinishRequest(result, call, start);
  }
  if (call.operation == kBegin) {
    const auto result = co_await Begin(group, call);
    co_return FinishRequest(result, call, start);
  }
  auto statement = ParseStatement(request);
  if (!statement) {
    co_return FinishRequest(statement.error(), call, start);
  }
  if (call.operation == kRead) {
    const auto result = co_await Read(group, call, std::move(*statement));
    co_return FinishRequest(result, call, start);
  }
  if (call.key.value().empty()) {
    // A generated key makes the proxy's own retries idempotent; the response reports it to the
    // caller.
    call.key = IdempotencyKey(RandomId());
  }
  const auto result = co_await Write(group, call, std::move(*statement));
  co_return FinishRequest(result, call, start);
}

void CallerApi::AddSessionHeader(HttpResponse& response,
                                 ParsedRequest& call,
                                 const GroupId& group,
                                 Position position) const {
  call.session.Advance(group, position);
  response.headers.push_back(
      {std::string(kSessionHeader), call.session.Format(m_context.settings.token_key)});
}

asio::awaitable<Outcome<HttpResponse>> CallerApi::Read(std::shared_ptr<Group> group,
                                                       ParsedRequest call,
                                                       CallerStatement statement) {
  ReadCommand command;
  command.statement = {std::move(statement.sql), std::move(statement.params)};
  command.session_requirement = call.session.RequirementFor(call.group);
  if (statement.max_age_ms) {
    command.max_age = Millis(*statement.max_age_ms);
  }
  const auto read_result =
      co_await m_read_service.Read(std::move(group), std::move(command), call.deadline);
  if (!read_result) {
    co_return read_result.error();
  }
  auto result = ToResult(read_result->result);
  result.endpoint = read_result->endpoint.value();
  result.replica = read_result->from_replica;
  auto response = JsonResponse(result);
  AddSessionHeader(response, call, call.group, read_result->position);
  co_return response;
}

asio::awaitable<Outcome<HttpResponse>> CallerApi::Write(std::shared_ptr<Group> group,
                                                        ParsedRequest call,
                                                        CallerStatement statement) {
  WriteCommand command{{std::move(statement.sql), std::move(statement.params)}, call.key};
  const auto write_result =
      co_await m_write_service.Write(std::move(group), std::move(command), call.deadline);
  if (!write_result) {
    co_return write_result.error();
  }
  auto result = ToResult(write_result->result);
  result.replayed = write_result->replayed;
  result.key = call.key.value();
  auto response = JsonResponse(result);
  AddSessionHeader(response, call, call.group, write_result->position);
  co_return response;
}

asio::awaitable<Outcome<HttpResponse>> CallerApi::LookUpOutcome(std::shared_ptr<Group> group,
                                                                ParsedRequest call) {
  const auto answer =
      co_await m_write_service.LookUpOutcome(std::move(group), call.key, call.deadline);
  if (!answer) {
    co_return answer.error();
  }
  OutcomeAnswer outcome;
  outcome.state = "none";
  if (answer->found) {
    const bool aborted = answer->fingerprint == kAbortFingerprint;
    outcome.state = aborted ? "aborted" : "committed";
    if (!aborted) {
      outcome.result = ToResult(answer->result);
    }
  }
  auto response = JsonResponse(outcome);
  if (answer->found) {
    AddSessionHeader(response, call, call.group, answer->position);
  }
  co_return response;
}

asio::awaitable<Outcome<HttpResponse>> CallerApi::Begin(std::shared_ptr<Group> group,
                                                        ParsedRequest call) {
  const auto id = co_await m_transaction_service.Begin(std::move(group), call.deadline);
  if (!id) {
    co_return id.error();
  }
  co_return JsonResponse(TransactionCreated{*id});
}

asio::awaitable<Outcome<HttpResponse>> CallerApi::RunTransactionRequest(
    ParsedRequest call,
    const HttpRequest& request) {
  if (call.operation == kStatements) {
    auto statement = ParseStatement(request);
    if (!statement) {
      co_return statement.error();
    }
    SqlStatement sql_statement{std::move(statement->sql), std::move(statement->params)};
    const auto result = co_await m_transaction_service.Execute(
        call.transaction, std::move(sql_statement), call.deadline);
    if (!result) {
      co_return result.error();
    }
    co_return JsonResponse(ToResult(*result));
  }
  if (call.operation == kRollback) {
    const auto result = co_await m_transaction_service.Rollback(call.transaction, call.deadline);
    if (!result) {
      co_return result.error();
    }
    co_return JsonResponse(CallerResult{});
  }
  if (call.key.value().empty()) {
    call.key = IdempotencyKey(call.transaction.value());
  }
  const auto commit =
      co_await m_transaction_service.CommitAndConfirm(call.transaction, call.key, call.deadline);
  if (!commit) {
    co_return commit.error();
  }
  auto result = ToResult(commit->write_result.result);
  result.key = call.key.value();
  auto response = JsonResponse(result);
  AddSessionHeader(response, call, commit->group, commit->write_result.position);
  co_return response;
}

asio::awaitable<HttpResponse> CallerApi::Forward(const VmEntry& vm,
                                                 const HttpRequest& request,
                                                 const ParsedRequest& call) {
  HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = "/peer" + request.target;
  forwarded.body = request.body;
  for (const auto name : {kSessionHeader, kKeyHeader}) {
    if (const auto value = request.Header(name)) {
      forwarded.headers.push_back({std::string(name), std::string(*value)});
    }
  }
  const auto remaining_ms = ToMillis(call.deadline - Clock::now()).count();
  forwarded.headers.push_back(
      {std::string(kDeadlineHeader), std::to_string(std::max<std::int64_t>(1, remaining_ms))});
  const auto start = Clock::now();
  const auto answer = co_await m_peers.Send(vm, std::move(forwarded), call.deadline);
  if (!answer) {
    if (answer.error().ran == Ran::kNo) {
      co_return FinishRequest(Error{ResultCode::kOwnerUnreachable, answer.error().detail, Ran::kNo},
                              call, start);
    }
    const bool changes_data = call.operation == kWrite || call.operation == kCommit;
    co_return FinishRequest(
        Error{changes_data ? ResultCode::kOutcomeUnknown : ResultCode::kOwnerUnreachable,
              answer.error().detail, changes_data ? Ran::kUnknown : Ran::kNo},
        call, start);
  }
  HttpResponse response;
  response.status = answer->status;
  response.body = answer->body;
  if (const auto type = answer->Header("Content-Type")) {
    response.content_type = *type;
  }
  if (const auto session = answer->Header(kSessionHeader)) {
    response.headers.push_back({std::string(kSessionHeader), std::string(*session)});
  }
  co_return response;
}

asio::awaitable<HttpResponse> CallerApi::ForwardToHome(const GroupRecord& record,
                                                       const HttpRequest& request,
                                                       const ParsedRequest& call) {
  const auto homes = m_membership.HomesOf(record.group, record.home_proxies);
  HttpResponse response = ProblemResponse({ResultCode::kOwnerUnreachable, "no home is known"});
  const auto first = m_next_home++;
  for (std::size_t i = 0; i < homes.size(); ++i) {
    response = co_await Forward(homes[(first + i) % homes.size()], request, call);
    const auto problem = DecodeJson<ProblemDetails>(response.body);
    const bool home_cannot_serve =
        problem && problem->ran == "no" &&
        (problem->code == static_cast<int>(ResultCode::kOwnerUnreachable) ||
         problem->code == static_cast<int>(ResultCode::kUnknownGroup) ||
         problem->code == static_cast<int>(ResultCode::kStopping) ||
         problem->code == static_cast<int>(ResultCode::kNotReady));
    if (response.status == 200 || !home_cannot_serve) {
      break;
    }
  }
  co_return response;
}

asio::awaitable<HttpResponse> CallerApi::ForwardToOwner(const VmId& owner,
                                                        const HttpRequest& request,
                                                        const ParsedRequest& call) {
  const auto vm = m_membership.Find(owner);
  if (!vm) {
    // The owner's connection closed when its process ended, so the endpoint rolled the transaction
    // back. Only a commit that the owner had already sent may have taken effect; its outcome can be
    // looked up by its idempotency key.
    const bool commit = call.operation == kCommit;
    co_return FinishRequest(
        Error{commit ? ResultCode::kOutcomeUnknown : ResultCode::kTransactionAborted,
              "the owner of the transaction is gone", commit ? Ran::kUnknown : Ran::kNo},
        call, Clock::now());
  }
  co_return co_await Forward(*vm, request, call);
}

HttpResponse CallerApi::FinishRequest(const Outcome<HttpResponse>& result,
                                      const ParsedRequest& call,
                                      TimePoint start) {
  const auto code = result ? ResultCode::kOk : result.error().code;
  const auto* operation = call.operation.empty() ? "invalid" : call.operation.c_str();
  m_context.metrics.CountRequest(operation, code, Clock::now() - start);
  if (result) {
    return *result;
  }
  const auto& error = result.error();
  if (error.ran == Ran::kUnknown) {
    m_context.events.Emit(
        EventCode::kOutcomeUnknown,
        {.group = call.group, .request = call.key.value(), .detail = error.detail});
  } else if (error.ran == Ran::kNo) {
    m_context.events.Emit(EventCode::kRequestRefused,
                          {.group = call.group, .detail = std::string(InfoOf(code).name)});
  }
  std::optional<std::string> key;
  if (error.ran == Ran::kUnknown && !call.key.value().empty()) {
    key = call.key.value();
  }
  return ProblemResponse(error, std::move(key));
}

}  // namespace cardamom
