// Open transactions that this proxy owns; each holds a connection of its own to the group's
// primary.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "proxy/write_service.h"
#include "transaction/transaction_id.h"

namespace cardamom {

// Thread safe. m_mutex is acquired only while no other lock is held. Precondition: calling
// coroutines run on a strand.
class TransactionService {
 public:
  // The arguments must outlive this object.
  TransactionService(ProxyContext& context, WriteService& write_service)
      : m_context(context), m_write_service(write_service) {}

  // Opens a transaction at the primary of `group`. Errors: kNoPrimary, kOverloaded, or the error of
  // the last attempt; all with Ran::kNo.
  asio::awaitable<Outcome<TransactionId>> Begin(std::shared_ptr<Group> group, TimePoint deadline);

  // Runs a statement of an open transaction. Errors: kUnknownTransaction, kTransactionBusy,
  // kStatementFailed, and kTransactionAborted, which also closes the transaction.
  asio::awaitable<Outcome<StatementResult>> Execute(TransactionId id,
                                                    SqlStatement statement,
                                                    TimePoint deadline);

  // Result of a commit, with the group of the transaction.
  struct CommitResult {
    GroupId group;
    WriteResult write_result;
  };
  // Commits, waits until the commit is held by a majority, and closes the transaction. If the
  // answer to the commit is lost, determines the outcome by `key`. Errors: kUnknownTransaction,
  // kTransactionBusy, kTransactionAborted, kKeyConflict, kOutcomeUnknown.
  asio::awaitable<Outcome<CommitResult>> CommitAndConfirm(TransactionId id,
                                                          IdempotencyKey key,
                                                          TimePoint deadline);

  // Rolls back and closes the transaction. Errors: kUnknownTransaction, kTransactionBusy.
  asio::awaitable<Outcome<void>> Rollback(TransactionId id, TimePoint deadline);

  // Rolls back the transactions that have been idle for at least `limit`.
  void CloseIdle(Duration limit);

  // Number of open transactions.
  std::size_t open_count() const;

 private:
  struct Entry {
    std::shared_ptr<Group> group;
    Term term;
    std::unique_ptr<EndpointClient::Transaction> transaction;
    // JSON of all statements so far; the fingerprint of the commit is computed from it.
    std::string encoded_statements;
    bool busy = false;
    TimePoint last_use;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  // Marks the transaction as busy with one request. Errors: kUnknownTransaction, kTransactionBusy.
  Outcome<EntryPtr> Acquire(const TransactionId& id);
  void Release(const EntryPtr& entry);
  // Removes the transaction; its connection closes with the last reference to the entry, unless a
  // commit or rollback succeeded.
  void Remove(const TransactionId& id);

  ProxyContext& m_context;
  WriteService& m_write_service;
  mutable std::mutex m_mutex;
  std::unordered_map<TransactionId, EntryPtr> m_entries;
};

}  // namespace cardamom
