// A database group, a table and a promotion service in memory, at the ports of the gateway.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "async/spawn.h"
#include "directory/table_port.h"
#include "gateway/directory.h"
#include "gateway/gateway_context.h"
#include "gateway/statement_runner.h"
#include "gateway/takeover.h"

namespace cardamom::testing {

// One commit of the group's log.
struct FakeCommit {
  Position position;
  std::string text;
};

// A database server. Replication is immediate unless the replica is paused or deaf.
struct FakeServer {
  EndpointEntry entry;
  bool is_primary = false;
  bool silent = false;
  bool deaf = false;
  bool busy = false;
  // Time that a statement takes.
  Millis work{0};
  // Its slots are taken: it answers no status and takes no order, but begins transactions.
  bool no_status = false;
  Term term{1};
  Term paused_at;
  std::vector<FakeCommit> log;
  // Every statement that ran, with the values and the transaction it ran under.
  std::vector<std::string> ran;
  std::size_t links_opened = 0;

  Position position() const {
    // The term of the last entry, whatever the server's own.
    return log.empty() ? Position{Term(1), LogIndex(0)} : log.back().position;
  }
};

// The group as its servers see each other.
class FakeGroup {
 public:
  explicit FakeGroup(std::size_t servers);

  FakeServer& server(std::size_t index) { return *m_servers[index]; }
  FakeServer* Find(const std::string& id);
  std::vector<EndpointEntry> Entries() const;
  LinkOpener Opener();

  // Appends at the primary and ships to every replica that receives. Returns whether one did.
  bool Commit(FakeServer& primary, const std::string& text);
  // Carries out an order: `id` leads the next term with what it holds.
  void Promote(const std::string& id);

  // Texts of all commits that were acknowledged to a caller.
  std::vector<std::string> acknowledged;

 private:
  std::vector<std::shared_ptr<FakeServer>> m_servers;
};

// Table with conditional writes. Not reachable while `away`.
class FakeTable {
 public:
  TablePort Port();
  void Put(const std::string& table, const std::string& key, const std::string& value);
  std::string Get(const std::string& table, const std::string& key) const;

  bool away = false;
  std::int64_t now_ms = 100'000;
  // Calls of any kind, answered or not.
  std::size_t calls = 0;

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::uint64_t m_version = 0;
};

// Settings, metrics and log of a gateway under test.
struct FakeGateway {
  explicit FakeGateway(FakeGroup& group);

  // Runs `work` to its end, at most five seconds.
  void Run(std::function<asio::awaitable<void>()> work);
  StatementTask Task(const Statement& statement,
                     const CallerState& caller,
                     Consistency consistency = Consistency::kPrimary,
                     Millis timeout = Millis(400)) const;

  boost::asio::io_context io;
  GatewaySettings settings;
  EventLog events;
  GatewayMetrics metrics;
  GatewayContext context;
  std::shared_ptr<GroupClient> group;
  StatementRunner runner;
};

Statement Read(const std::string& id, const std::string& item);
Statement Write(const std::string& id, const std::string& item);
Statement Of(StatementKind kind, const std::string& id, const std::string& text);

}  // namespace cardamom::testing
