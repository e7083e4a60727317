// Opens sessions for callers and lets them end before the proxy stops.
#pragma once

#include <list>
#include <memory>
#include <variant>

#include "gateway/caller_session.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context.
class SessionFront {
 public:
  SessionFront(GatewayContext& context, Directory& directory, PathFinder find_path);

  // A session, or why there is none. Waits for the first configuration for a while.
  using Opened = std::variant<std::shared_ptr<CallerSession>, ReplyError>;
  asio::awaitable<Opened> Open(DatabaseName database);
  // Ends a session whose connection has ended.
  asio::awaitable<void> Close(std::shared_ptr<CallerSession> session);

  // Rolls back transactions that have been idle for too long, or all idle ones.
  void ExpireTransactions(bool all);

  // Sessions are to end at the next moment at which no operation of theirs is open.
  void StartClosing() { m_closing = true; }
  bool closing() const { return m_closing; }
  // New work is refused by a promise.
  void RefuseNewWork();

  std::size_t open() const { return m_sessions.size(); }
  // Sessions with a statement in progress or a transaction open.
  std::size_t in_progress() const;

 private:
  GatewayContext& m_context;
  Directory& m_directory;
  const PathFinder m_find_path;
  std::list<std::shared_ptr<CallerSession>> m_sessions;
  bool m_closing = false;
  bool m_refusing = false;
};

}  // namespace cardamom
