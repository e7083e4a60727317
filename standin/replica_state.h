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

// What a database server does with its log. Not thread safe.
class ReplicaState {
 public:
  explicit ReplicaState(EndpointId endpoint);

  // Fields that depend on time or connections are left to the caller.
  ServerState State() const;
  const std::string& primary_address() const { return m_primary_address; }
  Term fenced() const { return m_fenced; }
  bool IsPrimaryOf(Term term) const { return m_primary_term == term && term != Term(); }
  bool InTransaction() const { return m_in_transaction; }
  LogIndex applied() const { return LogIndex(m_applied); }
  Position AppliedPosition() const { return {m_lineage, applied()}; }
  Position LastEntry() const;

  // Takes no lower term from now on and stops being primary. Errors: kFenced.
  Outcome<void> Fence(Term term);
  // Opens `request.term` with an entry of its own. Errors: kFenced, kServerBehind.
  Outcome<void> Promote(const PromoteRequest& request);
  // Starts to follow `request.address`. Errors: kFenced.
  Outcome<void> Follow(const FollowRequest& request);

  // Serves a pulling server. Errors: kNotPrimary.
  Outcome<LogAnswer> ReadLog(const LogRequest& request) const;
  // Where the next pull starts.
  Position PullFrom() const;
  // Takes the answer to a pull of `term` that started at `after`. Returns whether anything changed.
  bool TakeLog(Term term, Position after, const LogAnswer& answer, bool copy_only);
  // Makes entries up to `index` visible to reads.
  void ApplyUpTo(LogIndex index);

  Outcome<StatementResult> Read(const Statement& statement);

  // Runs a keyed write. Errors: kStatementFailed, kKeyConflict.
  Outcome<WriteAnswer> Write(const WriteRequest& request);
  std::optional<KeyAnswer> FindKey(const IdempotencyKey& key);

  void BeginTransaction();
  Outcome<StatementResult> ExecuteInTransaction(const Statement& statement);
  Outcome<WriteAnswer> CommitTransaction(const WriteRequest& request);
  void RollbackTransaction();

 private:
  std::optional<Outcome<WriteAnswer>> Replay(const WriteRequest& request);
  Outcome<WriteAnswer> Finish(const WriteRequest& request, StatementResult result);
  void Truncate(std::uint64_t size);

  const EndpointId m_endpoint;
  std::vector<LogEntry> m_log;
  std::uint64_t m_applied = 0;
  Term m_fenced;
  Term m_lineage;
  Term m_primary_term;
  LogIndex m_start;
  std::string m_note;
  std::string m_primary_address;
  // Where the next pull starts while the common prefix is still being looked for.
  std::optional<std::uint64_t> m_probe;
  bool m_in_transaction = false;
  std::vector<Statement> m_transaction;
  // `m_work` runs writes, `m_committed` serves reads, so that reads never see an open transaction.
  std::unique_ptr<Database> m_work;
  std::unique_ptr<Database> m_committed;
};

}  // namespace cardamom
