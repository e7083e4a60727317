// Log, terms and data of one stand-in server; no I/O.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "endpoint/endpoint_messages.h"
#include "standin/database.h"

namespace cardamom {

// The replication state of a database server: its log, its terms and the data. Not thread safe.
class ReplicationState {
 public:
  explicit ReplicationState(EndpointId endpoint);

  // Leaves `instance`, `connections` and `primary_contact_age_ms` unset.
  ServerState State() const;
  const std::string& primary_address() const { return m_primary_address; }
  // Requests of a lower term are refused.
  Term fenced_term() const { return m_fenced_term; }
  bool IsPrimaryOf(Term term) const { return m_primary_term == term && term != Term(); }
  bool InTransaction() const { return m_in_transaction; }
  // The last log entry that reads see.
  LogIndex applied_index() const { return LogIndex(m_applied_index); }
  Position AppliedPosition() const { return {m_lineage, applied_index()}; }
  // The last entry of the log.
  Position LastEntry() const;

  // Refuses lower terms from now on, stops being primary and rolls back an open transaction.
  // Errors: kFenced for a term below fenced_term(), or if the lineage is `term` already.
  Outcome<void> Fence(Term term);
  // Becomes primary of `request.term` and appends its first log entry. Does nothing if it is
  // primary of that term already. Errors: kFenced unless it is fenced at that term and has another
  // lineage, kServerBehind if its last entry is not `request.last`.
  Outcome<void> Promote(const PromoteRequest& request);
  // Follows the primary at `request.address` in `request.term` and rolls back an open transaction.
  // Errors: kFenced for a lower term, or if this server is primary of that term.
  Outcome<void> Follow(const FollowRequest& request);

  // Answers a pull of another server. Errors: kNotPrimary unless this server is primary of, or
  // fenced at, the term of the request.
  Outcome<LogAnswer> ReadLog(const LogRequest& request) const;
  // Position after which the next pull starts.
  Position NextPullPosition() const;
  // Processes the answer to a pull of `term` that started after `after`: truncates the log there
  // and appends the entries, or sets where the next pull starts if the logs differ at `after`. With
  // `copy_only` the lineage stays. Does nothing unless this server is fenced at `term` and not
  // primary. Returns whether entries were appended or the lineage changed.
  bool AppendPulledEntries(Term term, Position after, const LogAnswer& answer, bool copy_only);
  // Makes entries up to `index` visible to reads.
  void ApplyUpTo(LogIndex index);

  // Errors: kStatementFailed, also for a statement that changes data.
  Outcome<StatementResult> Read(const SqlStatement& statement);

  // Runs a write and stores its answer with the key; a repeated key gets the stored answer. Errors:
  // kStatementFailed, kKeyConflict if the key belongs to another statement. Precondition: this
  // server is primary and no transaction is open.
  Outcome<WriteAnswer> Write(const WriteRequest& request);
  // Returns the answer stored with `key`, or nothing if the applied entries do not contain the key.
  std::optional<KeyAnswer> FindKey(const IdempotencyKey& key);

  // Precondition: this server is primary and no transaction is open.
  void BeginTransaction();
  // Precondition of this and the next two methods: a transaction is open. Errors: kStatementFailed.
  Outcome<StatementResult> ExecuteInTransaction(const SqlStatement& statement);
  // Commits the transaction and stores the answer with the key. If the key exists, rolls back and
  // returns the stored answer. Errors: kKeyConflict.
  Outcome<WriteAnswer> CommitTransaction(const WriteRequest& request);
  void RollbackTransaction();

 private:
  // Returns the answer stored with the key, kKeyConflict if it belongs to another statement, or
  // nothing if the key is new.
  std::optional<Outcome<WriteAnswer>> FindStoredAnswer(const WriteRequest& request);
  // Stores the key, commits and appends the log entry.
  Outcome<WriteAnswer> CommitAndAppend(const WriteRequest& request, StatementResult result);
  // Removes the log entries after index `size`. If reads see one of them, rebuilds the data from
  // the entries that remain.
  void Truncate(std::uint64_t size);

  const EndpointId m_endpoint;
  std::vector<LogEntry> m_log;
  std::uint64_t m_applied_index = 0;
  Term m_fenced_term;
  // Term of the primary whose log this server follows, or its own term as primary.
  Term m_lineage;
  Term m_primary_term;
  LogIndex m_term_start;
  std::string m_note;
  std::string m_primary_address;
  // Index after which the next pull starts while the common prefix of the two logs is unknown.
  std::optional<std::uint64_t> m_probe_index;
  bool m_in_transaction = false;
  std::vector<SqlStatement> m_transaction_statements;
  // `m_write_database` runs writes, `m_read_database` serves reads, so that reads never see an open
  // transaction.
  std::unique_ptr<Database> m_write_database;
  std::unique_ptr<Database> m_read_database;
};

}  // namespace cardamom
