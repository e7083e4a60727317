// A pool whose links belong to organisations, with a fake server.
#include <gtest/gtest.h>

#include "async/notifier.h"
#include "async/spawn.h"
#include "gateway/gateway_metrics.h"
#include "pool/link_pool.h"

namespace cardamom::testing {
namespace {

constexpr std::size_t kShare = 6;
// Longer than a busy machine delays a statement; one without a link waits for all of it.
constexpr Millis kLimit{400};

// Counts itself while it is open.
class CountedLink : public EndpointLink {
 public:
  explicit CountedLink(std::size_t& open) : m_count(open) { ++m_count; }
  ~CountedLink() override { CountedLink::Close(); }
  asio::awaitable<BatchReply> Run(std::vector<EndpointRequest>, TimePoint) override {
    co_return BatchReply();
  }
  bool IsOpen() const override { return m_open; }
  bool IsReusable() override { return m_open; }
  void Close() override { m_count -= std::exchange(m_open, false) ? 1 : 0; }

 private:
  std::size_t& m_count;
  bool m_open = true;
};

class OrganisationLinksTest : public ::testing::Test {
 protected:
  LinkOpener Opener() {
    return [this](EndpointEntry, OrganisationName name,
                  TimePoint) -> asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>> {
      co_await Sleep(Millis(3));
      ++m_opened[name];
      if (std::exchange(m_at_limit, false)) {
        co_return Error{ResultCode::kOverloaded, "limit", Ran::kNo};
      }
      std::unique_ptr<EndpointLink> link = std::make_unique<CountedLink>(m_open);
      m_most_open = std::max(m_most_open, m_open);
      co_return std::move(link);
    };
  }

  // Runs a statement of `name` that takes `work`, and records whether it got a link of its own
  // organisation within `limit`.
  void Start(const std::string& name, Millis work, Millis limit) {
    ++m_running;
    Spawn(m_io, [this, name, work, limit]() -> asio::awaitable<void> {
      const OrganisationName organisation(name);
      const SessionValues values;
      auto lease =
          co_await m_pool->Acquire(organisation, values, LinkUse::kStatement, Clock::now() + limit);
      if (lease && (*lease)->organisation == organisation) {
        ++m_served[name];
        co_await Sleep(work);
      }
      --m_running;
    });
  }

  void RunToEnd() {
    m_io.restart();
    while (m_running > 0) {
      m_io.run_one();
    }
  }

  boost::asio::io_context m_io;
  std::size_t m_open = 0;
  std::size_t m_most_open = 0;
  bool m_at_limit = false;
  std::size_t m_running = 0;
  std::map<OrganisationName, std::size_t> m_opened;
  std::map<std::string, std::size_t> m_served;
  std::shared_ptr<LinkPool> m_pool =
      std::make_shared<LinkPool>(m_io, EndpointEntry(), Opener(), kShare);
};

// Guards against a statement that waits behind idle links of other organisations, that runs on one
// of them, or that makes the pool exceed its share.
TEST_F(OrganisationLinksTest, AStatementNeverWaitsLongForIdleLinksOfOthers) {
  for (std::size_t i = 0; i < 4 * kShare; ++i) {
    Start("org-" + std::to_string(i), Millis(5), kLimit);
    RunToEnd();
  }
  EXPECT_EQ(m_served.size(), 4 * kShare);
  EXPECT_EQ(m_most_open, kShare);
  Start("org-23", Millis(5), kLimit);
  RunToEnd();
  EXPECT_EQ(m_opened[OrganisationName("org-23")], 1U);
}

// Guards against metrics that do not show links that were closed for other organisations, or waits.
TEST_F(OrganisationLinksTest, MetricsCountClosedLinksAndWaits) {
  GatewayMetrics metrics;
  m_pool->SetMaxLinks(1);
  m_pool->CountIn(metrics.link_counters());
  for (const auto* name : {"a", "a", "b"}) {
    Start(name, Millis(5), kLimit);
  }
  RunToEnd();
  metrics.SetLinks({.idle = m_pool->open_links()});
  const auto text = metrics.Format();
  EXPECT_NE(text.find("cardamom_links_replaced_total 1\n"), std::string::npos);
  EXPECT_NE(text.find("cardamom_link_waits_total 2\n"), std::string::npos);
  EXPECT_NE(text.find("cardamom_links{state=\"idle\"} 1\n"), std::string::npos);
}

// Guards against a large organisation, with a queue and open transactions, that starves small ones,
// and against small ones that stop the large one.
TEST_F(OrganisationLinksTest, ALargeOrganisationLeavesLinksToSmallOnes) {
  for (std::size_t i = 0; i < 160; ++i) {
    Start("large", Millis(30), Millis(5000));
  }
  Start("transactions", Millis(600), Millis(500));
  for (int i = 0; i < 10; ++i) {
    Start("small-" + std::to_string(i), Millis(10), kLimit);
  }
  RunToEnd();
  EXPECT_EQ(m_served["large"], 160U);
  EXPECT_EQ(m_served.size(), 12U);
  EXPECT_LE(m_most_open, kShare);
}

// Guards against a refused statement when the server has not yet learned that a link was closed.
TEST_F(OrganisationLinksTest, AServerAtItsLimitIsAskedAgainAfterALinkWasClosed) {
  m_pool->SetMaxLinks(1);
  Start("a", Millis(5), kLimit);
  RunToEnd();
  m_at_limit = true;
  Start("b", Millis(5), kLimit);
  RunToEnd();
  EXPECT_EQ(m_served["b"], 1U);
  EXPECT_EQ(m_pool->open_links(), 1U);
}

// Guards against links of control requests that take the place of organisations' links, and against
// control requests that close links or find none although links are idle.
TEST_F(OrganisationLinksTest, ControlRequestsUseAnyIdleLinkAndTheirOwnLinksGoFirst) {
  m_pool->SetMaxLinks(2);
  ++m_running;
  Spawn(m_io, [this]() -> asio::awaitable<void> {
    const SessionValues values;
    auto control = co_await m_pool->Acquire(values, LinkUse::kControl, Clock::now() + kLimit);
    EXPECT_TRUE(control.has_value());
    --m_running;
  });
  RunToEnd();
  Start("a", Millis(5), kLimit);
  RunToEnd();
  Start("b", Millis(5), kLimit);
  RunToEnd();
  Start("a", Millis(5), kLimit);
  ++m_running;
  Spawn(m_io, [this]() -> asio::awaitable<void> {
    const SessionValues values;
    auto control = co_await m_pool->Acquire(values, LinkUse::kControl, Clock::now() + kLimit);
    EXPECT_TRUE(control && (*control)->organisation == OrganisationName("b"));
    --m_running;
  });
  RunToEnd();
  EXPECT_EQ(m_opened[OrganisationName("a")], 1U);
  EXPECT_EQ(m_opened[OrganisationName()], 1U);
}

}  // namespace
}  // namespace cardamom::testing
