#include "standin/replication_state.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cardamom {

ReplicationState::ReplicationState(EndpointId endpoint)
    : m_endpoint(std::move(endpoint)),
      m_write_database(std::make_unique<Database>()),
      m_read_database(std::make_unique<Database>()) {}

Position ReplicationState::LastEntry() const {
  return {m_log.empty() ? Term() : m_log.back().term, LogIndex(m_log.size())};
}

ServerState ReplicationState::State() const {
  ServerState state;
  state.endpoint = m_endpoint;
  state.fenced = m_fenced_term;
  state.lineage = m_lineage;
  state.is_primary = m_primary_term != Term();
  state.last = LastEntry();
  state.held = LogIndex(m_log.size());
  state.applied = applied_index();
  state.start = m_term_start;
  state.primary_address = m_primary_address;
  state.note = m_note;
  state.open_transactions = m_in_transaction ? 1 : 0;
  return state;
}

Outcome<void> ReplicationState::Fence(Term term) {
  if (term < m_fenced_term) {
    return Error{ResultCode::kFenced, "fenced at " + std::to_string(m_fenced_term.value())};
  }
  if (term == m_fenced_term && m_lineage == term) {
    return Error{ResultCode::kFenced, "the term is open already"};
  }
  if (m_in_transaction) {
    RollbackTransaction();
  }
  m_fenced_term = term;
  m_primary_term = Term();
  m_primary_address.clear();
  return Outcome<void>();
}

Outcome<void> ReplicationState::Promote(const PromoteRequest& request) {
  if (IsPrimaryOf(request.term)) {
    return Outcome<void>();
  }
  if (request.term != m_fenced_term || m_lineage == request.term) {
    return Error{ResultCode::kFenced, "fenced at " + std::to_string(m_fenced_term.value())};
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
  m_term_start = LogIndex(m_log.size());
  m_applied_index = m_log.size();
  m_write_database->CopyFrom(*m_read_database);
  return Outcome<void>();
}

Outcome<void> ReplicationState::Follow(const FollowRequest& request) {
  if (request.term < m_fenced_term || IsPrimaryOf(request.term)) {
    return Error{ResultCode::kFenced, "fenced at " + std::to_string(m_fenced_term.value())};
  }
  if (m_in_transaction) {
    RollbackTransaction();
  }
  m_fenced_term = request.term;
  m_primary_term = Term();
  m_primary_address = request.address;
  m_probe_index.reset();
  return Outcome<void>();
}

Outcome<LogAnswer> ReplicationState::ReadLog(const LogRequest& request) const {
  // The log of a server that is fenced at this term no longer changes, so a candidate may copy it.
  if (!IsPrimaryOf(request.term) && m_fenced_term != request.term) {
    return Error{ResultCode::kNotPrimary, "not primary of the term"};
  }
  LogAnswer answer;
  answer.start = m_term_start;
  answer.note = m_note;
  const auto after = request.after.index.value();
  const bool prefix_matches =
      after == 0 || (after <= m_log.size() && m_log[after - 1].term == request.after.term);
  if (!prefix_matches) {
    answer.mismatch = true;
    answer.hint = LogIndex(std::min<std::uint64_t>(after - 1, m_log.size()));
    return answer;
  }
  const auto end = std::min<std::uint64_t>(m_log.size(), after + request.limit);
  answer.entries.assign(m_log.begin() + static_cast<std::ptrdiff_t>(after),
                        m_log.begin() + static_cast<std::ptrdiff_t>(end));
  return answer;
}

Position ReplicationState::NextPullPosition() const {
  const auto index = m_probe_index.value_or(m_log.size());
  return {index == 0 ? Term() : m_log[index - 1].term, LogIndex(index)};
}

bool ReplicationState::AppendPulledEntries(Term term,
                                           Position after,
                                           const LogAnswer& answer,
                                           bool copy_only) {
  if (m_fenced_term != term || m_primary_term != Term()) {
    return false;
  }
  if (answer.mismatch) {
    m_probe_index = std::min<std::uint64_t>(answer.hint.value(), m_log.size());
    return false;
  }
  const bool lineage_changed = !copy_only && m_lineage != term;
  if (after.index.value() < m_log.size()) {
    Truncate(after.index.value());
  }
  m_probe_index.reset();
  m_log.insert(m_log.end(), answer.entries.begin(), answer.entries.end());
  if (!copy_only) {
    m_lineage = term;
    m_term_start = answer.start;
    m_note = answer.note;
  }
  return lineage_changed || !answer.entries.empty();
}

void ReplicationState::Truncate(std::uint64_t size) {
  m_log.resize(size);
  if (m_applied_index <= size) {
    return;
  }
  m_read_database = std::make_unique<Database>();
  m_applied_index = 0;
  ApplyUpTo(LogIndex(size));
}

void ReplicationState::ApplyUpTo(LogIndex index) {
  const auto end = std::min<std::uint64_t>(index.value(), m_log.size());
  for (; m_applied_index < end; ++m_applied_index) {
    m_read_database->Apply(m_log[m_applied_index]);
  }
}

Outcome<StatementResult> ReplicationState::Read(const SqlStatement& statement) {
  return m_read_database->Execute(statement, Database::Access::kReadOnly);
}

std::optional<Outcome<WriteAnswer>> ReplicationState::FindStoredAnswer(
    const WriteRequest& request) {
  const auto stored = m_write_database->FindKey(request.key);
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

Outcome<WriteAnswer> ReplicationState::CommitAndAppend(const WriteRequest& request,
                                                       StatementResult result) {
  LogEntry entry{
      m_primary_term,    {}, request.key, request.fingerprint, std::move(m_transaction_statements),
      EncodeJson(result)};
  m_transaction_statements.clear();
  const auto inserted = m_write_database->InsertKey(entry.key, {entry.fingerprint, entry.result});
  if (!inserted) {
    m_write_database->Rollback();
    return inserted.error();
  }
  m_write_database->Commit();
  m_log.push_back(std::move(entry));
  ApplyUpTo(LogIndex(m_log.size()));
  return WriteAnswer{std::move(result), {m_lineage, LogIndex(m_log.size())}, false};
}

Outcome<WriteAnswer> ReplicationState::Write(const WriteRequest& request) {
  assert(!m_in_transaction);
  if (auto replayed = FindStoredAnswer(request)) {
    return *replayed;
  }
  m_write_database->Begin();
  auto result = m_write_database->Execute(request.statement);
  if (!result) {
    m_write_database->Rollback();
    return result.error();
  }
  m_transaction_statements = {request.statement};
  return CommitAndAppend(request, std::move(*result));
}

std::optional<KeyAnswer> ReplicationState::FindKey(const IdempotencyKey& key) {
  const auto stored = m_read_database->FindKey(key);
  if (!stored) {
    return std::nullopt;
  }
  return KeyAnswer{true,
                   stored->fingerprint,
                   DecodeJson<StatementResult>(stored->result).value(),
                   {m_lineage, LogIndex(m_log.size())}};
}

void ReplicationState::BeginTransaction() {
  assert(!m_in_transaction);
  m_write_database->Begin();
  m_in_transaction = true;
  m_transaction_statements.clear();
}

Outcome<StatementResult> ReplicationState::ExecuteInTransaction(const SqlStatement& statement) {
  auto result = m_write_database->Execute(statement);
  if (result) {
    m_transaction_statements.push_back(statement);
  }
  return result;
}

Outcome<WriteAnswer> ReplicationState::CommitTransaction(const WriteRequest& request) {
  if (auto replayed = FindStoredAnswer(request)) {
    RollbackTransaction();
    return *replayed;
  }
  m_in_transaction = false;
  return CommitAndAppend(request, StatementResult{});
}

void ReplicationState::RollbackTransaction() {
  m_write_database->Rollback();
  m_in_transaction = false;
  m_transaction_statements.clear();
}

}  // namespace cardamom
