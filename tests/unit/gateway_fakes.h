// In-memory fakes behind the gateway's ports: a database group, which also carries out promotions,
// and the store's tables.
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

// An entry of a server's log.
struct FakeCommit {
  Position position;
  std::string text;
};

// A database server. Replication is immediate unless the replica is paused, `unresponsive`,
// `replication_blocked` or not running, or has another term than the primary.
struct FakeServer {
  EndpointEntry entry;
  bool is_primary = false;
  // Answers nothing and receives no log entries.
  bool unresponsive = false;
  // Answers nothing to proxies, but replicates and receives log entries.
  bool cut_off = false;
  // As a replica, receives no log entries, but answers.
  bool replication_blocked = false;
  // The process has ended: its links are broken, and new ones are refused.
  bool exited = false;
  // Number of the process; a link fails once the process that accepted it has ended.
  int process = 1;
  // The process is replaced by one without a log once it has answered a status request.
  bool restarts_after_status = false;
  // The process restarts with its log once it has answered a pause, and receives a commit of the
  // primary if there is one.
  bool restarts_after_pause = false;
  // Refuses statements with kBusy.
  bool busy = false;
  // Whether it refuses the next request that sets or clears session values; the values stay then,
  // and requests after it run.
  std::function<bool()> refuses_values = [] { return false; };
  // Whether the next statement is answered with the copy of an earlier refusal; it runs, and its
  // own reply is that to the next request.
  std::function<bool()> repeats_refusal = [] { return false; };
  // Called with each request and its reply, which it may change.
  std::function<void(const EndpointRequest&, EndpointReply&)> on_reply = [](const EndpointRequest&,
                                                                            EndpointReply&) {};
  // Refusals of statements are such as this link has had before.
  bool refusals_are_known = false;
  // Time that a statement takes.
  Millis statement_duration{0};
  // Rows that a read returns.
  std::vector<std::string> rows;
  // All slots are taken: it answers status, pause, resume and step-down requests with kBusy and
  // does not step down, but it begins transactions.
  bool slots_exhausted = false;
  Term term{1};
  Term paused_at;
  std::vector<FakeCommit> log;
  // Every statement that ran, preceded by "tx" (in a transaction) or "bare" and its session values.
  std::vector<std::string> ran;
  std::size_t links_opened = 0;
  // Statements that succeeded, each of which got a signature of its own.
  std::size_t signatures = 0;

  Position position() const {
    // Has the term of the last entry, which may be lower than the server's term.
    return log.empty() ? Position{Term(1), LogIndex(0)} : log.back().position;
  }
};

// The servers of one group, with replication between them.
class FakeGroup {
 public:
  explicit FakeGroup(std::size_t servers);

  // Precondition: `index` is below the number of servers.
  FakeServer& server(std::size_t index) { return *m_servers[index]; }
  // Returns null if there is no such server.
  FakeServer* Find(const std::string& id);
  // Returns null if there is none.
  FakeServer* FindPrimary();
  std::vector<EndpointEntry> Entries() const;
  // The group must outlive the opener and its links.
  LinkOpener Opener();

  // Appends `text` at the primary and replicates to every replica that can receive. Returns whether
  // at least one received it; only then is the commit acknowledged.
  bool Commit(FakeServer& primary, const std::string& text);
  // Ends the server's process, which breaks its links. The list does not change.
  void Exit(FakeServer& server);
  // Starts the server again, with `started_ms` in its entry: as a replica without a log, as the
  // primary that it was with its log if `keeps_log`.
  void Restart(FakeServer& server, std::int64_t started_ms, bool keeps_log = false);
  // Carries out a promotion order: `id` becomes the primary of the next term. Every server that
  // runs and is not `unresponsive` takes over that term and its log; one with `replication_blocked`
  // only loses what the new primary lacks. Precondition: there is a server `id`.
  void Promote(const std::string& id);

  // Called when a server is paused.
  std::function<void()> on_pause;
  // Texts of all commits that were acknowledged to a caller.
  std::vector<std::string> acknowledged;

 private:
  std::vector<std::shared_ptr<FakeServer>> m_servers;
};

// The store's tables, with conditional writes. No call through a port succeeds while `unavailable`
// is set.
class FakeTable {
 public:
  // The table must outlive the port.
  TablePort Port();
  // Writes a row directly, also while `unavailable` is set.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  // Returns the value of a row, or an empty string if there is none.
  std::string Get(const std::string& table, const std::string& key) const;

  // A copy of all rows at one moment.
  class Copy;
  Copy TakeCopy() const;
  // Replaces all rows by those of `copy` and begins the next era. What was written since the copy
  // is lost, and its versions are given out again.
  void Restore(const Copy& copy);

  bool unavailable = false;
  StoreEra era;
  // The store's clock.
  std::int64_t now_ms = 100'000;
  // Number of calls of any kind, including failed ones.
  std::size_t calls = 0;

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool gone = false;
  };
  StorePosition Position() const { return {era, StoreVersion(m_version)}; }

  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::uint64_t m_version = 0;
};

class FakeTable::Copy {
 private:
  friend class FakeTable;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::uint64_t m_version = 0;
};

// Settings, metrics, event log, group client and statement runner of a gateway under test.
struct FakeGateway {
  // `group` must outlive the object.
  explicit FakeGateway(FakeGroup& group);

  // Runs the event loop until `work` has finished, for at most 5 s.
  void Run(std::function<asio::awaitable<void>()> work);
  // A task whose deadline is `timeout` from now.
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

Statement MakeRead(const std::string& id, const std::string& item);
Statement MakeWrite(const std::string& id, const std::string& item);
Statement MakeStatement(StatementKind kind, const std::string& id, const std::string& text);

}  // namespace cardamom::testing
