// Serves the requests of other proxies: statements for groups of which this proxy is a home, and
// rows of the tables that it follows.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/activity_counter.h"
#include "fleet/fleet.h"
#include "fleet/peer_codec.h"
#include "gateway/directory.h"
#include "gateway/local_path.h"
#include "http/http_message.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context.
class PeerService {
 public:
  // Returns whether this proxy's rows of a table come from the store itself and not from a relay.
  using IsFromStore = std::function<bool(const std::string& table)>;

  // Peers may read and follow `tables`. All references and pointers must outlive the service.
  PeerService(GatewayContext& context,
              Directory& directory,
              StatementRunner& runner,
              std::vector<TableFollower*> tables,
              IsFromStore is_from_store);

  // Serves one request. A statement that is refused gets a PeerReply with `taken` false. Errors are
  // HTTP statuses: 400 for a malformed request or an unknown table, 404 for an unknown path, 503
  // for a table that this proxy cannot serve now.
  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // Refuses statements outside of open transactions from now on; open transactions continue.
  void RefuseNewWork() { m_refusing = true; }
  // Refuses statements and commits in open transactions too. Starts the rollback of transactions in
  // which no statement runs; to be called repeatedly, since the others are left out.
  void RefuseTransactions();
  // Starts the rollback of transactions that no proxy has used for longer than the configuration
  // allows.
  void ExpireTransactions();
  // Number of transactions that are held for other proxies.
  std::size_t held_transactions() const { return m_held_transactions.size(); }
  // Number of statements in progress, including those whose reply has not been sent yet.
  std::size_t statements_in_progress() const { return m_statements.count(); }

 private:
  struct HeldTransaction {
    std::unique_ptr<OpenTransaction> transaction;
    TimePoint last_used;
    bool busy = false;
    // To be rolled back as soon as it is not busy.
    bool abandoned = false;
  };
  using HeldTransactionPtr = std::shared_ptr<HeldTransaction>;

  asio::awaitable<PeerReply> Run(PeerStatement message);
  asio::awaitable<PeerReply> RunOutsideTransaction(const ReceivedStatement& in,
                                                   const PeerStatement& message);
  asio::awaitable<PeerReply> RunInTransaction(const ReceivedStatement& in,
                                              const PeerStatement& message);

  // Starts the rollback of transactions in which no statement runs and that were last used before
  // `used_before`.
  void RollBackIdle(TimePoint used_before);

  asio::awaitable<HttpResponse> AnswerTable(std::string body);
  // Whether a request for `table` is answered as soon as the rows are known to be more current.
  bool TellsConfirmation(const TableFollower& table) const;

  GatewayContext& m_context;
  Directory& m_directory;
  StatementRunner& m_runner;
  const std::vector<TableFollower*> m_tables;
  const IsFromStore m_is_from_store;
  std::map<std::string, HeldTransactionPtr> m_held_transactions;
  const ActivityCounter m_statements;
  bool m_refusing = false;
  bool m_refusing_transactions = false;
};

}  // namespace cardamom
