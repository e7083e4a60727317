// Transactions that this proxy owns, each with a connection of its own.
#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>

#include "proxy/write_service.h"
#include "transaction/transaction_id.h"

namespace cardamom {

// Thread safe. m_mutex is taken after no other lock.
class TransactionService {
 public:
  TransactionService(ProxyContext& context, WriteService& writes)
      : m_context(context), m_writes(writes) {}

  // Errors: kNoPrimary, kOverloaded.
  asio::awaitable<Outcome<TransactionId>> Begin(std::shared_ptr<Group> group, TimePoint deadline);

  // Errors: kUnknownTransaction, kTransactionBusy, kStatementFailed, kTransactionAborted.
  asio::awaitable<Outcome<StatementResult>> Execute(TransactionId id,
                                                    Statement statement,
                                                    TimePoint deadline);

  struct Commit {
    GroupId group;
    WriteReceipt receipt;
  };
  // Errors: as Execute, and kOutcomeUnknown.
  asio::awaitable<Outcome<Commit>> CommitAndConfirm(TransactionId id,
                                                    IdempotencyKey key,
                                                    TimePoint deadline);

  asio::awaitable<Outcome<void>> Rollback(TransactionId id, TimePoint deadline);

  // Rolls back what has been idle for longer than the setting allows.
  void CloseIdle(TimePoint now);

  std::size_t open() const;

 private:
  struct Entry {
    std::shared_ptr<Group> group;
    Term term;
    std::unique_ptr<EndpointClient::Transaction> transaction;
    std::string statements;
    bool busy = false;
    TimePoint last_use;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  // Takes the transaction for one request. Errors: kUnknownTransaction, kTransactionBusy.
  Outcome<EntryPtr> Take(const TransactionId& id);
  void GiveBack(const EntryPtr& entry);
  // Forgets the transaction; its connection closes unless it ended well.
  void Drop(const TransactionId& id);

  ProxyContext& m_context;
  WriteService& m_writes;
  mutable std::mutex m_mutex;
  std::unordered_map<TransactionId, EntryPtr> m_entries;
};

}  // namespace cardamom
