#include "takeover_group.h"

#include <algorithm>

namespace cardamom::takeover_model {
namespace {

// Three heartbeat intervals without a heartbeat remove a server from the list.
constexpr std::int64_t kLapse = 3000;
// A living server is back in the list after this time.
constexpr int kMaxUnlisted = 2000;
constexpr int kMaxDeaf = 8000;
constexpr int kMaxDrain = 4000;

}  // namespace

Group::Group(World& world) : m_world(world) {
  for (int i = 0; i < kServersAtStart; ++i) {
    auto& server = Mutable(i);
    server.exists = server.up = server.listed = server.joined = true;
    server.started_ms = server.listed_started_ms = 1;
  }
  Mutable(0).is_primary = true;
  m_acknowledged.push_back(false);
  m_acknowledged_to_caller.push_back(false);
  m_dropped.push_back(false);
}

std::optional<int> Group::Primary() const {
  for (int i = 0; i < kMaxServers; ++i) {
    if (At(i).is_primary && At(i).exists) {
      return i;
    }
  }
  return std::nullopt;
}

void Group::Commit() {
  const auto leader = Primary();
  if (!leader || !At(*leader).up) {
    return;
  }
  auto& primary = Mutable(*leader);
  Accept(primary);
  for (int more = m_world.options().concurrent_commits ? m_world.Pick(5) : 0; more > 0; --more) {
    Accept(primary);
  }
  for (int i = 0; i < kMaxServers; ++i) {
    auto& replica = Mutable(i);
    const bool receives = i != *leader && replica.up && replica.paused_at <= replica.term &&
                          replica.term == primary.term && m_world.now() >= replica.deaf_until &&
                          (replica.joined || m_world.options().joins_during_takeover);
    if (receives && m_world.Pick(3) > 0) {
      Receive(primary, replica);
    }
  }
}

void Group::Accept(Server& primary) {
  primary.log.push_back({++m_commits, primary.term});
  m_acknowledged.push_back(false);
  m_acknowledged_to_caller.push_back(false);
  m_dropped.push_back(false);
  m_hooks.on_accepted(m_commits, primary.term);
}

// A replica receives the log from its own end on; what it receives is acknowledged.
void Group::Receive(const Server& primary, Server& replica) {
  const auto from = replica.log.size();
  auto to = primary.log.size();
  const bool partial = m_world.options().lag || m_world.options().concurrent_commits;
  if (partial && to > from && m_world.OneIn(3)) {
    to = from + static_cast<std::size_t>(m_world.Pick(static_cast<int>(to - from)));
  }
  for (auto i = from; i < to; ++i) {
    const auto& entry = primary.log[i];
    replica.log.push_back(entry);
    const auto commit = static_cast<std::size_t>(entry.commit);
    if (entry.term == primary.term && !m_acknowledged[commit]) {
      m_acknowledged[commit] = true;
      m_hooks.on_acknowledged(entry.commit, primary.received());
    }
  }
}

void Group::Change() {
  const auto& options = m_world.options();
  const int i =
      m_world.Pick(options.replacements || options.departures ? kMaxServers : kServersAtStart);
  auto& server = Mutable(i);
  if (!server.exists) {
    return;
  }
  if (!server.up) {
    const bool gone = options.departures && m_world.now() - server.since > kLapse;
    if (gone && m_world.OneIn(3)) {
      End(i, true);
    } else {
      Restart(i);
    }
    return;
  }
  if (!server.is_primary) {
    ChangeReplica(i);
  } else if (m_world.OneIn(3)) {
    Crash(i);
  }
  if (options.replacements && server.up && !server.leaving && m_world.OneIn(8)) {
    Replace(i);
  }
}

void Group::ChangeReplica(int i) {
  const auto& options = m_world.options();
  auto& server = Mutable(i);
  const bool paused = server.paused_at > server.term;
  if (options.lag && m_world.OneIn(3)) {
    server.deaf_until = m_world.now() + m_world.Pick(kMaxDeaf);
    m_world.Trace("s{} receives nothing until +{}", i, server.deaf_until - m_world.now());
  }
  if (options.replica_crashes && (options.restarts_while_paused || !paused) && m_world.OneIn(3)) {
    Crash(i);
    return;
  }
  const bool may_lose_log = options.log_losses && !paused && MayJoin() && IsHeldWithout(i);
  if (may_lose_log && m_world.OneIn(6)) {
    Crash(i);
    server.log.clear();
    server.started_ms = m_world.now();
    server.listed_at = m_world.now() + m_world.Pick(kMaxUnlisted);
    Restart(i);
    m_world.Trace("s{} has lost its log", i);
  }
}

void Group::Crash(int i) {
  Mutable(i).up = false;
  Mutable(i).since = m_world.now();
  m_world.Trace("s{} crashes:{}", i, Describe());
}

// A server restarts with its log. If another one was promoted, it becomes a replica of that one.
void Group::Restart(int i) {
  auto& server = Mutable(i);
  server.up = true;
  server.since = m_world.now();
  if (!server.is_primary) {
    server.paused_at = Term();
  }
  for (auto& primary : m_servers) {
    if (primary.is_primary && primary.term > server.term) {
      Join(server, primary);
    }
  }
  if (!server.listed) {
    server.joined = false;
    server.listed_at = m_world.now() + m_world.Pick(kMaxUnlisted);
  }
  m_world.Trace("s{} restarts:{}", i, Describe());
}

// `server` becomes a replica of `primary` and drops what the latter lacks.
void Group::Join(Server& server, const Server& primary) {
  server.is_primary = false;
  server.term = primary.term;
  server.paused_at = Term();
  auto same = std::min(server.log.size(), primary.log.size());
  while (same > 0 && server.log[same - 1].commit != primary.log[same - 1].commit) {
    --same;
  }
  server.log.resize(same);
}

// Starts a server without a log under a new id.
std::optional<int> Group::Start() {
  for (int i = 0; i < kMaxServers; ++i) {
    auto& server = Mutable(i);
    if (server.started_ms == 0) {
      server.exists = server.up = true;
      server.started_ms = server.since = m_world.now();
      server.listed_at = m_world.now() + m_world.Pick(kMaxUnlisted);
      for (const auto& primary : m_servers) {
        if (primary.is_primary) {
          Join(server, primary);
        }
      }
      m_world.Trace("s{} starts", i);
      return i;
    }
  }
  return std::nullopt;
}

bool Group::MayJoin() const {
  return !m_under_takeover || m_world.options().joins_during_takeover;
}

void Group::Replace(int i) {
  const auto existing = std::count_if(m_servers.begin(), m_servers.end(),
                                      [](const auto& server) { return server.exists; });
  if (existing > kServersAtStart) {
    return;
  }
  const auto replacement = Start();
  if (!replacement) {
    return;
  }
  auto& server = Mutable(i);
  server.leaving = true;
  server.replacement = *replacement;
  server.ends_at = m_world.now() + 1000 + m_world.Pick(kMaxDrain);
  m_world.Trace("s{} leaves, s{} replaces it", i, *replacement);
}

// The log of a server that ends moves to a new server, or is lost if all acknowledged commits are
// held elsewhere.
void Group::End(int i, bool move_log) {
  auto& server = Mutable(i);
  move_log = move_log || !IsHeldWithout(i);
  std::optional<int> heir = server.replacement != 0 ? server.replacement : Start();
  if (!heir || !At(*heir).exists) {
    return;
  }
  server.exists = server.up = server.listed = false;
  server.since = m_world.now();
  if (move_log) {
    MoveLog(i, *heir);
  }
  // A primary that is gone stays the primary of its term until another server is promoted.
  m_world.Trace("s{} is gone, its log {} s{}:{}", i, move_log ? "moves to" : "does not move to",
                *heir, Describe());
}

void Group::MoveLog(int from, int to) {
  auto source = At(from);
  for (const auto& primary : m_servers) {
    if (primary.is_primary && primary.term > source.term) {
      Join(source, primary);
    }
  }
  auto& target = Mutable(to);
  if (target.received() < source.received()) {
    target.log = source.log;
    target.term = std::max(target.term, source.term);
  }
}

// Whether another server holds each acknowledged commit that server `i` holds.
bool Group::IsHeldWithout(int i) const {
  std::vector<bool> held(m_acknowledged.size(), false);
  for (int j = 0; j < kMaxServers; ++j) {
    if (j == i || !At(j).exists) {
      continue;
    }
    for (const auto& entry : At(j).log) {
      held[static_cast<std::size_t>(entry.commit)] = true;
    }
  }
  const auto& log = At(i).log;
  return std::all_of(log.begin(), log.end(), [&](const Entry& entry) {
    const auto commit = static_cast<std::size_t>(entry.commit);
    return held[commit] || !m_acknowledged[commit];
  });
}

void Group::Advance(bool store_available) {
  for (int i = 0; i < kMaxServers; ++i) {
    auto& server = Mutable(i);
    if (!server.exists) {
      continue;
    }
    if (server.leaving && m_world.now() >= server.ends_at) {
      End(i, m_world.OneIn(2));
      continue;
    }
    const bool reports = server.up && m_world.now() >= server.listed_at && store_available;
    if (reports) {
      server.listed = true;
      server.listed_started_ms = server.started_ms;
    }
    server.joined = server.joined || (server.up && server.listed && MayJoin());
    const bool lapses = m_world.options().departures || m_world.options().old_lists;
    if (lapses && !server.up && server.listed && m_world.now() - server.since > kLapse) {
      server.listed = false;
      m_world.Trace("s{} is no longer listed", i);
    }
  }
}

void Group::LapseEntries() {
  for (int i = 0; i < kMaxServers; ++i) {
    auto& server = Mutable(i);
    if (server.listed && m_world.OneIn(4)) {
      server.listed = false;
      server.listed_at = m_world.now() + m_world.Pick(kMaxUnlisted);
      m_world.Trace("s{} is not listed until +{}", i, server.listed_at - m_world.now());
    }
  }
}

std::optional<ServerStatus> Group::Execute(int i, Operation operation, Term term) {
  auto& server = Mutable(i);
  if (!server.up) {
    return std::nullopt;
  }
  if (operation == Operation::kPause && !server.is_primary && term > server.term) {
    server.paused_at = std::max(server.paused_at, term);
  } else if (operation == Operation::kResume) {
    server.paused_at = Term();
  } else if (operation == Operation::kStepDown && server.is_primary && term > server.term) {
    server.is_primary = false;
  }
  return ServerStatus{server.is_primary, server.term, server.paused_at, server.received()};
}

void Group::Promote(int i) {
  auto& new_primary = Mutable(i);
  Term newest;
  for (const auto& server : m_servers) {
    newest = std::max({newest, server.term, server.paused_at});
  }
  std::vector<bool> held(m_acknowledged.size(), false);
  for (const auto& entry : new_primary.log) {
    held[static_cast<std::size_t>(entry.commit)] = true;
  }
  for (std::size_t commit = 0; commit < m_acknowledged.size(); ++commit) {
    m_dropped[commit] = m_dropped[commit] || !held[commit];
    if (m_acknowledged_to_caller[commit] && !held[commit]) {
      m_world.Trace("commit {} is LOST", commit);
      m_safe = false;
    }
  }
  m_world.Trace("s{} is promoted:{}", i, Describe());
  new_primary.term = Term(newest.value() + 1);
  new_primary.paused_at = Term();
  for (int j = 0; j < kMaxServers; ++j) {
    auto& server = Mutable(j);
    server.is_primary = j == i;
    if (j != i && server.up) {
      Join(server, new_primary);
    }
  }
}

void Group::AcknowledgeToCaller(int commit) {
  const auto number = static_cast<std::size_t>(commit);
  m_acknowledged_to_caller[number] = true;
  if (m_dropped[number]) {
    m_world.Trace("commit {} was dropped and is acknowledged: LOST", commit);
    m_safe = false;
  }
}

std::string Group::Describe() const {
  std::string text;
  for (int i = 0; i < kMaxServers; ++i) {
    const auto& server = At(i);
    if (server.exists) {
      const auto received = server.received();
      text += fmt::format(" s{}{}{}{}={}.{}(t{})", i, server.is_primary ? "*" : "",
                          server.up ? "" : "!", server.paused_at > server.term ? "p" : "",
                          received.term.value(), received.index.value(), server.term.value());
    }
  }
  return text;
}

}  // namespace cardamom::takeover_model
