// Connections of this proxy to one database server, shared by all sessions.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "pool/prepared_names.h"
#include "statement/endpoint_link.h"

namespace cardamom {

// A link and the state that its server keeps for it: session values and prepared statements. A
// session's statements run only on a link whose values equal the session's.
struct PooledLink {
  std::unique_ptr<EndpointLink> link;
  SessionValues values;
  PreparedNames prepared;
  // The server's process was started before this.
  TimePoint opened_at = Clock::now();
};

// What a link is used for.
enum class LinkUse {
  kStatement,
  // Probes and failover: may open one link above the share, and never wait for a link.
  kControl,
};

// Must be owned by a std::shared_ptr. Not thread safe: all use is on the thread of the context.
class LinkPool : public std::enable_shared_from_this<LinkPool> {
 public:
  // Holds one link and returns it to the pool on destruction. The pool closes a returned link that
  // failed or that it must not keep.
  class Lease {
   public:
    Lease() = default;
    Lease(std::shared_ptr<LinkPool> pool, std::unique_ptr<PooledLink> link);
    ~Lease();
    Lease(Lease&&) noexcept = default;
    Lease& operator=(Lease&& other) noexcept;
    // Precondition of both: the lease holds a link.
    PooledLink& operator*() const { return *m_link; }
    PooledLink* operator->() const { return m_link.get(); }
    // Whether the lease holds a link.
    explicit operator bool() const { return m_link != nullptr; }
    // Closes the link instead of returning it.
    void Discard();
    // Returns the link now.
    void Release();

   private:
    std::shared_ptr<LinkPool> m_pool;
    std::unique_ptr<PooledLink> m_link;
  };

  // `max_links` is this proxy's share of the server's connections: the number of links it may hold.
  // `context` must outlive the object.
  LinkPool(boost::asio::io_context& context,
           EndpointEntry entry,
           LinkOpener opener,
           std::size_t max_links);

  // Takes an idle link, preferably one with the same `values`. Otherwise waits for one, and after a
  // delay opens one if the share allows it: opening a link takes a slot of the server, so many
  // concurrent requests must not open links all at once. The first link is opened without a delay.
  // Errors: as LinkOpener, kTransport if the pool is already retired, and kDeadlineExpired if no
  // link became free in time or the pool was retired during the wait; always with Ran::kNo.
  asio::awaitable<Outcome<Lease>> Acquire(SessionValues values, LinkUse use, TimePoint deadline);

  // Takes an idle link that was opened before `time`, or waits for one until `deadline`, ahead of
  // statements; opens none. Errors: kDeadlineExpired with Ran::kNo.
  asio::awaitable<Outcome<Lease>> AcquireOpenedBefore(TimePoint time, TimePoint deadline);

  // Opens links one after the other until min(`count`, share) are open or opening one fails, for
  // example because `deadline` has passed.
  asio::awaitable<void> Warm(std::size_t count, TimePoint deadline);

  // Changes the share; a link above it is closed when it is returned while no request waits.
  void SetMaxLinks(std::size_t max_links) { m_max_links = max_links; }

  // An eager pool opens a link without a delay while the share allows it: shares of a few links
  // each cannot overload a server.
  void SetEager(bool eager) { m_eager = eager; }

  // Closes idle links now and the others when they are returned. Waiting requests and later ones
  // for statements are refused.
  void Retire();

  // Closes idle links, which may be connected to a process that is gone.
  void CloseIdle();

  // Links in use, idle or being opened.
  std::size_t open_links() const { return m_open_links; }
  // Links in use or being opened.
  std::size_t leased() const { return m_open_links - m_idle.size(); }
  // Whether Acquire would take or open a link without waiting for one.
  bool CanAcquireAtOnce() const { return !m_idle.empty() || MayOpenAtOnce(); }
  std::size_t waiting() const { return m_waiters.size(); }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    // The link that was assigned to this waiter.
    std::unique_ptr<PooledLink> link;
    // This waiter was assigned the right to open a link.
    bool may_open = false;
    bool refused = false;
    // Accepts only links opened before this time, and opens none.
    std::optional<TimePoint> opened_before;

    bool IsPending() const { return !link && !may_open && !refused; }
    bool Accepts(const PooledLink& offered) const {
      return !opened_before || offered.opened_at < *opened_before;
    }
  };

  bool MayOpenAtOnce() const {
    return m_eager ? m_open_links < m_max_links : m_open_links == 0 && m_max_links > 0;
  }
  std::unique_ptr<PooledLink> TakeIdle(const SessionValues& values);
  std::unique_ptr<PooledLink> TakeOpenedBefore(TimePoint time);
  asio::awaitable<Outcome<Lease>> Open(TimePoint deadline);
  asio::awaitable<Outcome<Lease>> WaitForLink(TimePoint deadline);
  void Return(std::unique_ptr<PooledLink> link);
  // Lets a waiter open a link in place of one that was closed.
  void OnLinkClosed();

  boost::asio::io_context& m_context;
  const EndpointEntry m_entry;
  const LinkOpener m_opener;
  std::size_t m_max_links;
  // Links in use, idle or being opened.
  std::size_t m_open_links = 0;
  std::size_t m_opening_links = 0;
  bool m_retired = false;
  bool m_eager = false;
  std::vector<std::unique_ptr<PooledLink>> m_idle;
  std::list<std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace cardamom
