// Connections of this proxy to one database server, shared by all sessions.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "pool/link_choice.h"
#include "pool/link_counters.h"
#include "pool/prepared_names.h"
#include "statement/endpoint_link.h"

namespace cardamom {

// A link and the state that its server keeps for it: session values and prepared statements. A
// session's statements run only on a link whose values equal the session's.
struct PooledLink {
  std::unique_ptr<EndpointLink> link;
  // The only organisation whose statements the link may carry; the server knows the link by it.
  OrganisationName organisation;
  SessionValues values;
  PreparedNames prepared;
  // The server's process was started before this.
  TimePoint opened_at = Clock::now();
  // What the link is used for, or was used for last.
  LinkUse use = LinkUse::kStatement;
  // When a statement last returned the link.
  TimePoint last_used;
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

  // Takes an idle link of `organisation`, preferably one with the same `values`. Otherwise waits
  // for one, and after a delay opens one if the share allows it: opening a link takes a slot of the
  // server, so many concurrent requests must not open links all at once. The first link of an
  // organisation is opened without a delay. If the share is used up, an idle link of another
  // organisation is closed first. A control request takes an idle link of any organisation, and
  // opens one of none. Errors: as LinkOpener, kTransport if the pool is already retired, and
  // kDeadlineExpired if no link became free in time or the pool was retired during the wait; always
  // with Ran::kNo.
  asio::awaitable<Outcome<Lease>> Acquire(OrganisationName organisation,
                                          SessionValues values,
                                          LinkUse use,
                                          TimePoint deadline);
  // As above, without an organisation.
  asio::awaitable<Outcome<Lease>> Acquire(SessionValues values, LinkUse use, TimePoint deadline) {
    return Acquire(OrganisationName(), std::move(values), use, deadline);
  }

  // Takes an idle link of any organisation that was opened before `time`, or waits for one until
  // `deadline`, ahead of statements; opens none. Errors: kDeadlineExpired with Ran::kNo.
  asio::awaitable<Outcome<Lease>> AcquireOpenedBefore(TimePoint time, TimePoint deadline);

  // Opens links one after the other until min(`count`, share) are open or opening one fails, for
  // example because `deadline` has passed.
  asio::awaitable<void> Warm(std::size_t count, TimePoint deadline);

  // Changes the share; a link above it is closed when it is returned while no request waits.
  void SetMaxLinks(std::size_t max_links);

  // An eager pool opens a link without a delay while the share allows it: shares of a few links
  // each cannot overload a server.
  void SetEager(bool eager) { m_eager = eager; }

  // Closes idle links now and the others when they are returned. Waiting requests and later ones
  // for statements are refused.
  void Retire();

  // Closes idle links, which may be connected to a process that is gone.
  void CloseIdle();

  // Counts in `counters` from now on; several pools may share them.
  void CountIn(std::shared_ptr<LinkCounters> counters) { m_counters = std::move(counters); }

  // `hook` is called for every link that is opened from now on; see EndpointLink. A server that
  // sent an unmatched answer may send more for a while: until then, links on which the reply to a
  // BEGIN might be a copy are closed instead of being used again.
  void SetOnUnmatchedAnswer(EndpointLink::UnmatchedAnswerHook hook);

  // Links in use, idle or being opened.
  std::size_t open_links() const { return m_open_links; }
  // Links in use or being opened.
  std::size_t leased() const { return m_open_links - m_idle.size(); }
  // Links being opened.
  std::size_t opening() const { return m_opening_links; }
  // Whether Acquire for a statement would take or open a link without waiting for one.
  bool CanAcquireAtOnce(const OrganisationName& organisation) const;
  std::size_t waiting() const { return m_waiters.size(); }

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    OrganisationName organisation;
    TimePoint since = Clock::now();
    // The link that was assigned to this waiter.
    std::unique_ptr<PooledLink> link;
    // This waiter was assigned the right to open a link.
    bool may_open = false;
    bool refused = false;
    // Accepts only links opened before this time, and opens none.
    std::optional<TimePoint> opened_before;

    bool IsPending() const { return !link && !may_open && !refused; }
    bool IsPendingStatement() const { return IsPending() && !opened_before; }
  };
  using WaiterPtr = std::shared_ptr<Waiter>;
  using LinkFilter = std::function<bool(const PooledLink&)>;

  // Whether a statement of `organisation` opens a link without waiting.
  bool OpensAtOnce(const OrganisationName& organisation) const;
  bool HasIdleLink(const OrganisationName& organisation) const;
  // Takes an idle link that `accepts`: the one last returned, preferably with the same `values`.
  std::unique_ptr<PooledLink> TakeIdle(const LinkFilter& accepts, const SessionValues& values);
  std::unique_ptr<PooledLink> TakeOwnIdle(const OrganisationName& organisation,
                                          const SessionValues& values);
  std::unique_ptr<PooledLink> TakeIdleForControl(const SessionValues& values);
  std::unique_ptr<PooledLink> TakeOpenedBefore(TimePoint time);
  // Records that `link` is in use from now on.
  Lease StartUse(std::unique_ptr<PooledLink> link, LinkUse use);
  // Makes sure that one more link may be open, by closing idle links of other organisations if
  // necessary. Returns false if that is not possible.
  bool MakeRoom(const OrganisationName& organisation);
  // Closes a good link to make room.
  void Replace(PooledLink& link);
  // Reserves a place for a link that is opened next.
  void Reserve(const OrganisationName& organisation);
  // Opens a link in a reserved place.
  asio::awaitable<Outcome<Lease>> Open(OrganisationName organisation,
                                       LinkUse use,
                                       TimePoint deadline);
  asio::awaitable<Outcome<Lease>> WaitForLink(OrganisationName organisation, TimePoint deadline);
  // Gives the waiter an idle link of its organisation or the right to open one, if possible.
  void Serve(Waiter& waiter, Duration waited);
  // As above, for all statements that wait in a pool that organisations share.
  void ServeWaiters();
  // Gives a returned link, or its place, to a waiter. Returns false if the link should stay open.
  bool Hand(std::unique_ptr<PooledLink>& link);
  void Give(Waiter& waiter, std::unique_ptr<PooledLink> link, LinkUse use);
  void LetOpen(Waiter& waiter);
  void Return(std::unique_ptr<PooledLink> link);
  // Whether `link` must not be used for another statement.
  bool IsSpent(const PooledLink& link) const;
  // Records that a link, which is not in use, has been closed.
  void RecordClosed(const PooledLink& link);
  // Lets a waiter open a link in place of one that was closed.
  void OnLinkClosed();
  // The statements that wait, in order of arrival, and their waiters.
  std::vector<LinkWaiter> PendingStatements(std::vector<WaiterPtr>& waiters) const;

  boost::asio::io_context& m_context;
  const EndpointEntry m_entry;
  const LinkOpener m_opener;
  std::size_t m_max_links;
  // Links in use, idle or being opened.
  std::size_t m_open_links = 0;
  std::size_t m_opening_links = 0;
  bool m_retired = false;
  bool m_eager = false;
  // When an idle link was last closed to make room.
  TimePoint m_replaced_at;
  LinkChoice m_choice;
  std::vector<std::unique_ptr<PooledLink>> m_idle;
  std::list<WaiterPtr> m_waiters;
  EndpointLink::UnmatchedAnswerHook m_on_unmatched_answer;
  // When the server last sent an unmatched answer.
  std::optional<TimePoint> m_unmatched_answer_at;
  std::shared_ptr<LinkCounters> m_counters = std::make_shared<LinkCounters>();
};

}  // namespace cardamom
