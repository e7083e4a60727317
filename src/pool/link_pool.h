// Connections of this proxy to one database server, shared by all sessions.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "statement/endpoint_link.h"

namespace cardamom {

// A link and what its server holds for it: session values and prepared statements. Statements of a
// session run only where the values are the session's.
struct PooledLink {
  std::unique_ptr<EndpointLink> link;
  SessionValues values;
  std::set<PreparedStatement> prepared;
  // The server's process is older than this.
  TimePoint opened_at = Clock::now();
};

// Who asks for a link.
enum class LinkUse {
  kStatement,
  // Probes and failover: may hold one link above the share, and never waits.
  kControl,
};

// Not thread safe: all use is on the thread of the context.
class LinkPool : public std::enable_shared_from_this<LinkPool> {
 public:
  // Holds one link; gives it back, or closes it, when destroyed.
  class Lease {
   public:
    Lease() = default;
    Lease(std::shared_ptr<LinkPool> pool, std::unique_ptr<PooledLink> link);
    ~Lease();
    Lease(Lease&&) noexcept = default;
    Lease& operator=(Lease&& other) noexcept;
    PooledLink& operator*() const { return *m_link; }
    PooledLink* operator->() const { return m_link.get(); }
    explicit operator bool() const { return m_link != nullptr; }
    // Closes the link instead of giving it back.
    void Discard();
    // Gives the link back now.
    void Release();

   private:
    std::shared_ptr<LinkPool> m_pool;
    std::unique_ptr<PooledLink> m_link;
  };

  LinkPool(boost::asio::io_context& context,
           EndpointEntry entry,
           LinkOpener opener,
           std::size_t max_links);

  // Takes an idle link, one with the same `values` first; else waits for one, and after a while
  // opens one if the share allows it: a new link costs the server a slot, so that a wave of work
  // must not open links all at once. The first link is opened without a wait. Errors: as
  // LinkOpener, and kDeadlineExpired when none came free in time; always with Ran::kNo.
  asio::awaitable<Outcome<Lease>> Acquire(SessionValues values, LinkUse use, TimePoint deadline);

  // Takes an idle link that was opened before `time`, and waits for one until `deadline`; opens
  // none. Errors: kDeadlineExpired with Ran::kNo.
  asio::awaitable<Outcome<Lease>> AcquireOpenedBefore(TimePoint time, TimePoint deadline);

  // Opens links until `count` are open.
  asio::awaitable<void> Warm(std::size_t count, TimePoint deadline);

  // Changes the share; links above it close when they are given back.
  void SetMax(std::size_t max_links) { m_max = max_links; }

  // An eager pool opens a link at once while the share allows it: shares of a few links each cannot
  // flood a server.
  void SetEager(bool eager) { m_eager = eager; }

  // Closes idle links now and the others when they are given back. Waiters are refused.
  void Retire();

  // Closes idle links: they may lead to a process that is gone.
  void CloseIdle();

  std::size_t open() const { return m_open; }
  std::size_t leased() const { return m_open - m_idle.size(); }
  // Whether Acquire would not have to wait.
  bool HasRoom() const { return !m_idle.empty() || MayOpenAtOnce(); }
  std::size_t waiting() const { return m_waiters.size(); }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    // A link that was handed over.
    std::unique_ptr<PooledLink> link;
    // The right to open a link was handed over.
    bool may_open = false;
    bool refused = false;
    // Takes no link that was opened later, and opens none.
    std::optional<TimePoint> opened_before;

    bool IsOpen() const { return !link && !may_open && !refused; }
    bool Takes(const PooledLink& offered) const {
      return !opened_before || offered.opened_at < *opened_before;
    }
  };

  bool MayOpenAtOnce() const { return m_eager ? m_open < m_max : m_open == 0 && m_max > 0; }
  std::unique_ptr<PooledLink> TakeIdle(const SessionValues& values);
  std::unique_ptr<PooledLink> TakeOpenedBefore(TimePoint time);
  asio::awaitable<Outcome<Lease>> Open(TimePoint deadline);
  asio::awaitable<Outcome<Lease>> Wait(TimePoint deadline);
  void GiveBack(std::unique_ptr<PooledLink> link);
  // Passes on the right to open a link that a closed one left.
  void OnClosed();

  boost::asio::io_context& m_context;
  const EndpointEntry m_entry;
  const LinkOpener m_opener;
  std::size_t m_max;
  // Links in use or idle, and those being opened.
  std::size_t m_open = 0;
  std::size_t m_opening = 0;
  bool m_retired = false;
  bool m_eager = false;
  std::vector<std::unique_ptr<PooledLink>> m_idle;
  std::list<std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace cardamom
