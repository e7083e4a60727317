#include "standin/replica_state.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cardamom {

ReplicaState::ReplicaState(EndpointId endpoint)
    : m_endpoint(std::move(endpoint)),
      m_work(std::make_unique<Database>()),
      m_committed(std::make_unique<Database>()) {}

Position ReplicaState::LastEntry() const {
  return {m_log.empty() ? Term() : m_log.back().term, LogIndex(m_log.size())};
}

ServerState ReplicaState::State() const {
  ServerState state;
  state.endpoint = m_endpoint;
  state.fenced = m_fenced;
  state.lineage = m_lineage;
  state.is_primary = m_primary_term != Term();
  state.last = LastEntry();
  state.held = LogIndex(m_log.size());
  state.applied = applied();
  state.start = m_start;
  state.primary_address = m_primary_address;
  state.note = m_note;
  state.open_transactions = m_in_transaction ? 1 : 0;
  return state;
}

Outcome<void> ReplicaState::Fence(Term term) {
  if (term < m_fenced) {
    return Error{ResultCode::kFenced, "fenced at " + std::to_string(m_fenced.value())};
  }
  if (term == m_fenced && m_lineage == term) {
    return Error{ResultCode::kFenced, "the term is open already"};
  }
  if (m_in_transaction) {
    RollbackTransaction();
  }
  m_fenced = term;
  m_primary_term = Term();
  m_primary_address.clear();
  return Outcome<void>();
}

Outcome<void> ReplicaState::Promote(const PromoteRequest& request) {
  if (IsPrimaryOf(request.term)) {
    return Outcome<void>();
  }
  if (request.term != m_fenced || m_lineage == request.term) {
    return Error{ResultCode::kFenced, "fenced at " + std::to_string(m_fenced.value())};
  }
  if (LastEntry() != request.last) {
    return Error{ResultCode::kServerBehind, "the last entry differs"};
  }
  ApplyUpTo(LogIndex(m_log.size()));
  m_log.push_back(LogEntry{request.term, request.note, {}, {}, {}, {}});
  m_lineage = request.term;
  m_primary_term = request.term;
  m_primary_address.clear();
  m_note = request.note;
  m_start = LogIndex(m_log.size());
  m_applied = m_log.size();
  m_work->CopyFrom(*m_committed);
  return Outcome<void>();
}

Outcome<void> ReplicaState::Follow(const FollowRequest& request) {
  if (request.term < m_fenced || IsPrimaryOf(request.term)) {
    return Error{ResultCode::kFenced, "fenced at " + std::to_string(m_fenced.value())};
  }
  if (m_in_transaction) {
    RollbackTransaction();
  }
  m_fenced = request.term;
  m_primary_term = Term();
  m_primary_address = request.address;
  m_probe.reset();
  return Outcome<void>();
}

Outcome<LogAnswer> ReplicaState::ReadLog(const LogRequest& request) const {
  // The log of a server that is fenced at this term no longer changes, so a candidate may copy it.
  if (!IsPrimaryOf(request.term) && m_fenced != request.term) {
    return Error{ResultCode::kNotPrimary, "not primary of the term"};
  }
  LogAnswer answer;
  answer.start = m_start;
  answer.note = m_note;
  const auto after = request.after.index.value();
  const bool same =
      after == 0 || (after <= m_log.size() && m_log[after - 1].term == request.after.term);
  if (!same) {
    answer.mismatch = true;
    answer.hint = LogIndex(std::min<std::uint64_t>(after - 1, m_log.size()));
    return answer;
  }
  const auto end = std::min<std::uint64_t>(m_log.size(), after + request.limit);
  answer.entries.assign(m_log.begin() + static_cast<std::ptrdiff_t>(after),
                        m_log.begin() + static_cast<std::ptrdiff_t>(end));
  return answer;
}

Position ReplicaState::PullFrom() const {
  const auto index = m_probe.value_or(m_log.size());
  return {index == 0 ? Term() : m_log[index - 1].term, LogIndex(index)};
}

bool ReplicaState::TakeLog(Term term, Position after, const LogAnswer& answer, bool copy_only) {
  if (m_fenced != term || m_primary_term != Term()) {
    return false;
  }
  if (answer.mismatch) {
    m_probe = std::min<std::uint64_t>(answer.hint.value(), m_log.size());
    return false;
  }
  const bool adopted = !copy_only && m_lineage != term;
  if (after.index.value() < m_log.size()) {
    Truncate(after.index.value());
  }
  m_probe.reset();
  m_log.insert(m_log.end(), answer.entries.begin(), answer.entries.end());
  if (!copy_only) {
    m_lineage = term;
    m_start = answer.start;
    m_note = answer.note;
  }
  return adopted || !answer.entries.empty();
}

void ReplicaState::Truncate(std::uint64_t size) {
  m_log.resize(size);
  if (m_applied <= size) {
    return;
  }
  m_committed = std::make_unique<Database>();
  m_applied = 0;
  ApplyUpTo(LogIndex(size));
}

void ReplicaState::ApplyUpTo(LogIndex index) {
  const auto end = std::min<std::uint64_t>(index.value(), m_log.size());
  for (; m_applied < end; ++m_applied) {
    m_committed->Apply(m_log[m_applied]);
  }
}

Outcome<StatementResult> ReplicaState::Read(const SqlStatement& statement) {
  return m_committed->Execute(statement, Database::Access::kReadOnly);
}

std::optional<Outcome<WriteAnswer>> ReplicaState::Replay(const WriteRequest& request) {
  const auto stored = m_work->FindKey(request.key);
  if (!stored) {
    return std::nullopt;
  }
  if (stored->fingerprint != request.fingerprint) {
    return Error{ResultCode::kKeyConflict, "the key belongs to another statement"};
  }
  WriteAnswer answer;
  answer.result = DecodeJson<StatementResult>(stored->result).value();
  answer.position = {m_lineage, LogIndex(m_log.size())};
  answer.replayed = true;
  return answer;
}

Outcome<WriteAnswer> ReplicaState::Finish(const WriteRequest& request, StatementResult result) {
  LogEntry entry{m_primary_term,    {}, request.key, request.fingerprint, std::move(m_transaction),
                 EncodeJson(result)};
  m_transaction.clear();
  const auto inserted = m_work->InsertKey(entry.key, {entry.fingerprint, entry.result});
  if (!inserted) {
    m_work->Rollback();
    return inserted.error();
  }
  m_work->Commit();
  m_log.push_back(std::move(entry));
  ApplyUpTo(LogIndex(m_log.size()));
  return WriteAnswer{std::move(result), {m_lineage, LogIndex(m_log.size())}, false};
}

Outcome<WriteAnswer> ReplicaState::Write(const WriteRequest& request) {
  assert(!m_in_transaction);
  if (auto replayed = Replay(request)) {
    return *replayed;
  }
  m_work->Begin();
  auto result = m_work->Execute(request.statement);
  if (!result) {
    m_work->Rollback();
    return result.error();
  }
  m_transaction = {request.statement};
  return Finish(request, std::move(*result));
}

std::optional<KeyAnswer> ReplicaState::FindKey(const IdempotencyKey& key) {
  const auto stored = m_committed->FindKey(key);
  if (!stored) {
    return std::nullopt;
  }
  return KeyAnswer{true,
                   stored->fingerprint,
                   DecodeJson<StatementResult>(stored->result).value(),
                   {m_lineage, LogIndex(m_log.size())}};
}

void ReplicaState::BeginTransaction() {
  assert(!m_in_transaction);
  m_work->Begin();
  m_in_transaction = true;
  m_transaction.clear();
}

Outcome<StatementResult> ReplicaState::ExecuteInTransaction(const SqlStatement& statement) {
  auto result = m_work->Execute(statement);
  if (result) {
    m_transaction.push_back(statement);
  }
  return result;
}

Outcome<WriteAnswer> ReplicaState::CommitTransaction(const WriteRequest& request) {
  if (auto replayed = Replay(request)) {
    RollbackTransaction();
    return *replayed;
  }
  m_in_transaction = false;
  return Finish(request, StatementResult{});
}

void ReplicaState::RollbackTransaction() {
  m_work->Rollback();
  m_in_transaction = false;
  m_transaction.clear();
}

}  // namespace cardamom
