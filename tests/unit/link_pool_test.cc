// Links to a server under many concurrent statements.
#include <gtest/gtest.h>

#include "async/notifier.h"
#include "async/spawn.h"
#include "gateway_fakes.h"
#include "pool/link_pool.h"

namespace cardamom::testing {
namespace {

// Opens each link after a delay, like a server that needs a free slot to accept it.
class SlowOpener {
 public:
  SlowOpener(FakeGroup& group, Millis time) : m_open(group.Opener()), m_time(time) {}

  LinkOpener Opener() {
    return [this](EndpointEntry entry, OrganisationName organisation,
                  TimePoint deadline) -> asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>> {
      ++m_opening;
      max_concurrent_opens = std::max(max_concurrent_opens, m_opening);
      ++opened;
      co_await Sleep(m_time);
      --m_opening;
      co_return co_await m_open(entry, organisation, deadline);
    };
  }

  std::size_t max_concurrent_opens = 0;
  std::size_t opened = 0;

 private:
  const LinkOpener m_open;
  const Millis m_time;
  std::size_t m_opening = 0;
};

class LinkPoolTest : public ::testing::Test {
 protected:
  // Runs `count` statements that start together and hold a link for `work`. Returns how many got
  // one within `limit`.
  std::size_t RunConcurrentStatements(std::size_t count, Millis work, Millis limit) {
    std::size_t done = 0;
    std::size_t served = 0;
    for (std::size_t i = 0; i < count; ++i) {
      Spawn(m_io, [this, work, limit, &done, &served]() -> asio::awaitable<void> {
        const SessionValues values;
        auto lease = co_await m_pool->Acquire(values, LinkUse::kStatement, Clock::now() + limit);
        if (lease) {
          ++served;
          co_await Sleep(work);
        }
        ++done;
      });
    }
    m_io.restart();
    while (done < count) {
      m_io.run_one();
    }
    return served;
  }

  boost::asio::io_context m_io;
  FakeGroup m_group{1};
  SlowOpener m_opener{m_group, Millis(27)};
  std::shared_ptr<LinkPool> m_pool =
      std::make_shared<LinkPool>(m_io, m_group.server(0).entry, m_opener.Opener(), 16);
};

// Guards against links that are opened all at once, each of which takes a slot of the server. This
// happens when all proxies reconnect at the same time while retries of callers are waiting.
TEST_F(LinkPoolTest, ConcurrentStatementsOpenLinksOneAtATime) {
  EXPECT_EQ(RunConcurrentStatements(40, Millis(5), Millis(1000)), 40U);
  EXPECT_EQ(m_opener.max_concurrent_opens, 1U);
  // 40 statements of 5 ms need one or two links within 200 ms, not the share of 16.
  EXPECT_LE(m_opener.opened, 5U);
}

// Guards against an eager pool, as used in a small fleet in which every proxy has a few links, that
// opens its links with a delay or opens more than its share.
TEST_F(LinkPoolTest, AnEagerPoolOpensItsShareAtOnceAndNoMore) {
  m_pool->SetEager(true);
  m_pool->SetMaxLinks(3);
  EXPECT_EQ(RunConcurrentStatements(6, Millis(20), Millis(1000)), 6U);
  EXPECT_EQ(m_opener.max_concurrent_opens, 3U);
  EXPECT_EQ(m_opener.opened, 3U);
}

// Guards against statements that wait for a link although the share allows another one, while idle
// transactions hold every open link.
TEST_F(LinkPoolTest, IdleTransactionsDoNotKeepOthersFromTheShare) {
  EXPECT_EQ(RunConcurrentStatements(8, Millis(900), Millis(800)), 8U);
}

// Guards against a takeover that does not get a link because statements take it first, or that gets
// a link opened too late. This happens when every link is in use and statements wait for one.
TEST_F(LinkPoolTest, TakeoverGetsOnlyALinkOpenedBeforeTheGivenTime) {
  m_pool->SetMaxLinks(1);
  bool got_old = false;
  bool got_link_opened_after = true;
  bool done = false;
  Spawn(m_io, [&]() -> asio::awaitable<void> {
    const SessionValues values;
    auto held = co_await m_pool->Acquire(values, LinkUse::kStatement, Clock::now() + Millis(200));
    const auto after = Clock::now();
    Spawn(m_io, [&]() -> asio::awaitable<void> {
      const SessionValues none;
      co_await m_pool->Acquire(none, LinkUse::kStatement, Clock::now() + Millis(300));
    });
    Spawn(m_io, [&, after]() -> asio::awaitable<void> {
      const auto old = co_await m_pool->AcquireOpenedBefore(after, Clock::now() + Millis(300));
      got_old = old.has_value();
    });
    co_await Sleep(Millis(20));
    held->Release();
    co_await Sleep(Millis(20));
    const auto before = Clock::now() - Millis(60'000);
    const auto young = co_await m_pool->AcquireOpenedBefore(before, Clock::now() + Millis(30));
    got_link_opened_after = young.has_value();
    done = true;
  });
  m_io.restart();
  while (!done) {
    m_io.run_one();
  }
  EXPECT_TRUE(got_old);
  EXPECT_FALSE(got_link_opened_after);
}

// Guards against reporting a server failure when a statement only waited too long for one of this
// proxy's own links.
TEST_F(LinkPoolTest, NoFreeLinkInTimeIsADeadlineErrorNotAServerFailure) {
  m_pool->SetMaxLinks(1);
  std::optional<ResultCode> code;
  Spawn(m_io, [&]() -> asio::awaitable<void> {
    const SessionValues values;
    auto held = co_await m_pool->Acquire(values, LinkUse::kStatement, Clock::now() + Millis(200));
    const auto refused =
        co_await m_pool->Acquire(values, LinkUse::kStatement, Clock::now() + Millis(60));
    code = refused.error().code;
  });
  m_io.restart();
  while (!code) {
    m_io.run_one();
  }
  EXPECT_EQ(*code, ResultCode::kDeadlineExpired);
}

}  // namespace
}  // namespace cardamom::testing
