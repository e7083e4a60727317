// The database group of the takeover model: its servers, their logs and the server list.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cardamom/strong.h"
#include "takeover_world.h"

namespace cardamom::takeover_model {

// Servers that a group can have over a walk. Numbers are not used again.
constexpr int kMaxServers = 6;
constexpr int kServersAtStart = 3;

inline EndpointId IdOf(int i) {
  return EndpointId("s" + std::to_string(i));
}
inline int ServerOf(const EndpointId& id) {
  return id.value().back() - '0';
}

struct Entry {
  int commit = 0;
  Term term;
};

struct Server {
  std::vector<Entry> log;
  Term term{1};
  Term paused_at;
  // A server that is not up may restart only if it exists.
  bool exists = false;
  bool up = false;
  bool is_primary = false;
  bool leaving = false;
  bool listed = false;
  // The server receives as a replica. A new one, or one that returns, begins when it is listed and
  // no takeover is under way.
  bool joined = false;
  // Start of the incarnation, which knows nothing of the one before, and of the listed one.
  std::int64_t started_ms = 0;
  std::int64_t listed_started_ms = 0;
  // When the server was last started or stopped.
  std::int64_t since = 0;
  // When a living server is listed, a leaving one ends, a replica receives again.
  std::int64_t listed_at = 0;
  std::int64_t ends_at = 0;
  std::int64_t deaf_until = 0;
  // Server that replaces a leaving one.
  int replacement = 0;

  Position received() const {
    return log.empty() ? Position() : Position{log.back().term, LogIndex(log.size())};
  }
};

enum class Operation { kStatus, kPause, kStepDown, kResume };

struct ServerStatus {
  bool is_primary = false;
  Term term;
  Term paused_at;
  Position received;
};

class Group {
 public:
  // Called when the primary accepts a commit in a term, and when it acknowledges one while its log
  // ends at a position.
  struct Hooks {
    std::function<void(int commit, Term term)> on_accepted;
    std::function<void(int commit, Position log_end)> on_acknowledged;
  };

  explicit Group(World& world);

  void set_hooks(Hooks hooks) { m_hooks = std::move(hooks); }
  // A proxy tells a caller that a commit is done.
  void AcknowledgeToCaller(int commit);

  const Server& At(int i) const { return m_servers[static_cast<std::size_t>(i)]; }
  std::optional<int> Primary() const;
  // The primary accepts a commit, and replicas receive some of the log.
  void Commit();
  // One random event of a server.
  void Change();
  // Carries out what is due.
  void Advance(bool store_available);
  // Entries of the list lapse while the store is unavailable.
  void LapseEntries();
  // Nothing if the server does not answer.
  std::optional<ServerStatus> Execute(int i, Operation operation, Term term);
  void Promote(int i);
  // Whether every promoted server held all commits that were acknowledged to callers, and none was
  // acknowledged to a caller after a promotion that dropped it.
  bool safe() const { return m_safe; }
  // Whether a proxy is performing a takeover, or an order is pending.
  void set_under_takeover(bool under_takeover) { m_under_takeover = under_takeover; }
  std::string Describe() const;

 private:
  Server& Mutable(int i) { return m_servers[static_cast<std::size_t>(i)]; }
  void Accept(Server& primary);
  void Receive(const Server& primary, Server& replica);
  void Crash(int i);
  void Restart(int i);
  void Join(Server& server, const Server& primary);
  void ChangeReplica(int i);
  std::optional<int> Start();
  void Replace(int i);
  void End(int i, bool move_log);
  void MoveLog(int from, int to);
  bool IsHeldWithout(int i) const;
  bool MayJoin() const;

  World& m_world;
  std::array<Server, kMaxServers> m_servers;
  bool m_under_takeover = false;
  int m_commits = 0;
  // Whether a commit was acknowledged by the primary, by number.
  std::vector<bool> m_acknowledged;
  // Whether it was acknowledged to its caller, and whether a promoted server lacked it.
  std::vector<bool> m_acknowledged_to_caller;
  std::vector<bool> m_dropped;
  bool m_safe = true;
  Hooks m_hooks;
};

}  // namespace cardamom::takeover_model
