#include "fleet/peer_service.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"
#include "core/base64.h"
#include "core/random_id.h"
#include "fleet/local_or_remote_path.h"

namespace cardamom {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr Millis kMaxTableWait{30'000};
// Added to the idle limit, so that the proxy that serves the caller ends an idle transaction first.
constexpr Millis kIdleTimeoutMargin{700};

PeerReply NotTaken(std::string reason) {
  PeerReply reply;
  reply.taken = false;
  reply.error_text = std::move(reason);
  return reply;
}

}  // namespace

PeerService::PeerService(GatewayContext& context,
                         Directory& directory,
                         StatementRunner& runner,
                         std::vector<TableFollower*> tables,
                         IsFromStore is_from_store)
    : m_context(context),
      m_directory(directory),
      m_runner(runner),
      m_tables(std::move(tables)),
      m_is_from_store(std::move(is_from_store)) {}

asio::awaitable<HttpResponse> PeerService::Handle(HttpRequest request) {
  HttpResponse response;
  if (request.target == kPeerPingPath) {
    co_return response;
  }
  if (request.target == kPeerStorePath) {
    response.body = EncodeJson(PeerStoreReply{!m_directory.StoreUnavailableSince()});
    co_return response;
  }
  if (request.target == kPeerTablePath) {
    co_return co_await AnswerTable(std::move(request.body));
  }
  if (request.target != kPeerStatementPath) {
    response.status = kNotFound;
    co_return response;
  }
  auto message = DecodeStatement(request.body);
  if (!message) {
    response.status = kBadRequest;
    response.body = message.error().detail;
    co_return response;
  }
  response.held_until_sent = m_statements.Begin();
  const auto reply = co_await Run(std::move(*message));
  response.body = EncodeJson(reply);
  co_return response;
}

asio::awaitable<HttpResponse> PeerService::AnswerTable(std::string body) {
  HttpResponse response;
  const auto received_at = BootClock::now();
  const auto request = DecodeJson<PeerTableRequest>(body);
  const auto table_it = std::find_if(m_tables.begin(), m_tables.end(), [&](const auto* table) {
    return request && table->name() == request->table;
  });
  if (table_it == m_tables.end()) {
    response.status = kBadRequest;
    response.body = request ? "no such table" : request.error().detail;
    co_return response;
  }
  auto& table = **table_it;
  const auto wait = std::clamp(Millis(request->wait_ms), Millis(0), kMaxTableWait);
  const bool is_from_store = m_is_from_store(table.name());
  Outcome<TableSnapshot> snapshot =
      Error{ResultCode::kPlatformUnavailable, "this proxy does not follow the store", Ran::kNo};
  if (request->any_age) {
    snapshot = table.LatestSnapshot();
  } else if (is_from_store && request->after) {
    snapshot = co_await table.WaitForChanges(
        {request->era.value_or(table.position().era), *request->after}, wait,
        TellsConfirmation(table));
  } else if (is_from_store) {
    snapshot = table.Snapshot();
  }
  if (!snapshot) {
    response.status = kUnavailable;
    response.body = snapshot.error().detail;
    co_return response;
  }
  m_directory.ReplaceByConfigurationInForce(table.name(), snapshot->rows);
  PeerTableReply reply;
  reply.era = snapshot->position.era;
  reply.version = snapshot->position.version;
  reply.history_gone = snapshot->history_gone;
  if (TellsConfirmation(table) && !snapshot->history_gone) {
    if (const auto confirmed_at = m_directory.RowsConfirmedAt(table)) {
      // Counted from the arrival, so that the wait for changes does not make the peer's bound
      // worse.
      const auto age = received_at - *confirmed_at;
      reply.confirmed_age_us = std::chrono::ceil<std::chrono::microseconds>(age).count();
    }
  }
  for (const auto& row : snapshot->rows) {
    reply.rows.push_back({row.key, row.version, row.gone, EncodeBase64(row.value)});
  }
  response.body = EncodeJson(reply);
  co_return response;
}

bool PeerService::TellsConfirmation(const TableFollower& table) const {
  // Leases rest on the members. Without organisations nothing depends on the configuration's age.
  const bool is_configuration = table.name() == m_directory.configuration_follower().name();
  return table.name() == Fleet::kTableName || (is_configuration && m_directory.HasOrganisations());
}

asio::awaitable<PeerReply> PeerService::Run(PeerStatement message) {
  const auto in = FromMessage(message, Clock::now(), BootClock::now());
  if (!in) {
    co_return NotTaken(in.error().detail);
  }
  switch (in->operation) {
    case PeerOperation::kRead:
    case PeerOperation::kWrite:
    case PeerOperation::kFirstInTransaction:
      co_return co_await RunOutsideTransaction(*in, message);
    case PeerOperation::kNextInTransaction:
    case PeerOperation::kCommit:
    case PeerOperation::kRollback:
      break;
  }
  co_return co_await RunInTransaction(*in, message);
}

asio::awaitable<PeerReply> PeerService::RunOutsideTransaction(const ReceivedStatement& in,
                                                              const PeerStatement& message) {
  if (m_refusing) {
    co_return NotTaken("this home is stopping");
  }
  const auto group = m_directory.OpenGroup(in.route.group, GroupUser::kPeer);
  if (!group || group->endpoints().empty()) {
    co_return NotTaken("this home does not know the group");
  }
  LocalPath path(m_runner, group);
  const auto task = in.ToTask();
  const bool read_only = in.operation == PeerOperation::kRead || message.read_only;
  if (!message.may_wait && !CanServe(*group, task, read_only)) {
    auto reply = NotTaken("this home does not reach the primary");
    reply.elsewhere = true;
    co_return reply;
  }
  if (in.operation == PeerOperation::kRead) {
    const auto reply = co_await path.Read(task);
    co_return ToMessage(reply);
  }
  if (in.operation == PeerOperation::kWrite) {
    const auto reply = co_await path.Write(task);
    co_return ToMessage(reply);
  }
  auto begun = co_await path.RunFirst(task, message.read_only);
  auto reply = ToMessage(begun.reply);
  if (begun.transaction) {
    reply.transaction = RandomId();
    m_held_transactions[reply.transaction] = std::make_shared<HeldTransaction>(
        HeldTransaction{std::move(begun.transaction), Clock::now()});
  }
  co_return reply;
}

asio::awaitable<PeerReply> PeerService::RunInTransaction(const ReceivedStatement& in,
                                                         const PeerStatement& message) {
  const auto held_it = m_held_transactions.find(message.transaction);
  if (held_it != m_held_transactions.end() && held_it->second->busy) {
    // The other proxy no longer waits for the statement that is still running.
    held_it->second->abandoned = true;
  }
  if (held_it == m_held_transactions.end() || held_it->second->busy) {
    // A transaction that this process does not hold was rolled back when its link closed.
    co_return ToMessage(ErrorReply(StatementError::kAborted, "the transaction is rolled back",
                                   in.operation == PeerOperation::kNextInTransaction
                                       ? SessionState::kFailed
                                       : SessionState::kIdle));
  }
  const auto held = held_it->second;
  if (m_refusing_transactions && in.operation != PeerOperation::kRollback) {
    m_held_transactions.erase(held_it);
    co_await held->transaction->Rollback();
    co_return ToMessage(ErrorReply(StatementError::kAborted, "this home is stopping",
                                   in.operation == PeerOperation::kNextInTransaction
                                       ? SessionState::kFailed
                                       : SessionState::kIdle));
  }
  const auto task = in.ToTask();
  if (in.operation == PeerOperation::kNextInTransaction) {
    held->busy = true;
    const auto next = co_await held->transaction->RunNext(task);
    held->busy = false;
    held->last_used = Clock::now();
    auto reply = ToMessage(next);
    if (held->abandoned && held->transaction->IsOpen()) {
      co_await held->transaction->Rollback();
    }
    if (held->transaction->IsOpen()) {
      reply.transaction = message.transaction;
    } else {
      m_held_transactions.erase(message.transaction);
    }
    co_return reply;
  }
  m_held_transactions.erase(held_it);
  if (in.operation == PeerOperation::kCommit) {
    const auto committed = co_await held->transaction->Commit(task);
    co_return ToMessage(committed);
  }
  co_await held->transaction->Rollback();
  co_return ToMessage(EmptyReply(SessionState::kIdle));
}

void PeerService::ExpireTransactions() {
  if (!m_held_transactions.empty()) {
    RollBackIdle(Clock::now() - m_directory.configuration().transaction_idle_limit -
                 kIdleTimeoutMargin);
  }
}

void PeerService::RefuseTransactions() {
  m_refusing_transactions = true;
  RollBackIdle(TimePoint::max());
}

void PeerService::RollBackIdle(TimePoint used_before) {
  std::vector<HeldTransactionPtr> expired;
  std::erase_if(m_held_transactions, [&](const auto& entry) {
    const auto& held = entry.second;
    const bool is_expired = !held->busy && held->last_used < used_before;
    if (is_expired) {
      expired.push_back(held);
    }
    return is_expired;
  });
  const auto now = Clock::now();
  for (const auto& held : expired) {
    m_context.events.Emit(EventCode::kTransactionAbandoned,
                          {.group = held->transaction->group(),
                           .endpoint = EndpointId(held->transaction->holder()),
                           .detail = fmt::format("held for another proxy, idle for {} ms",
                                                 ToMillis(now - held->last_used).count())});
    Spawn(m_context.io,
          [held]() -> asio::awaitable<void> { co_await held->transaction->Rollback(); });
  }
}

}  // namespace cardamom
