// Links of a pool to a server that sends replies twice.
#include <gtest/gtest.h>

#include <memory>
#include <utility>

#include "async/spawn.h"
#include "pool/link_pool.h"

namespace cardamom::testing {
namespace {

class BegunLink : public EndpointLink {
 public:
  asio::awaitable<BatchReply> Run(std::vector<EndpointRequest> /*requests*/,
                                  TimePoint /*deadline*/) override {
    co_return BatchReply();
  }
  bool IsOpen() const override { return m_open; }
  bool IsReusable() override { return m_open; }
  void Close() override { m_open = false; }
  bool MayRepeatBegin() const override { return true; }
  void SetOnUnmatchedAnswer(UnmatchedAnswerHook hook) override { m_hook = std::move(hook); }
  void ReportUnmatchedAnswer() { m_hook("test"); }

 private:
  bool m_open = true;
  UnmatchedAnswerHook m_hook;
};

class SpentLinkTest : public ::testing::Test {
 protected:
  SpentLinkTest() {
    m_pool->SetOnUnmatchedAnswer([this](const char* /*reason*/) { ++m_reported; });
  }

  LinkOpener Opener() {
    return
        [this](EndpointEntry /*entry*/, OrganisationName /*organisation*/,
               TimePoint /*deadline*/) -> asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>> {
          ++m_opened;
          std::unique_ptr<EndpointLink> link = std::make_unique<BegunLink>();
          co_return std::move(link);
        };
  }

  // Takes a link, lets the server repeat a reply on it if `repeats`, and returns it to the pool.
  void UseLink(bool repeats) {
    bool done = false;
    Spawn(m_io, [&]() -> asio::awaitable<void> {
      const SessionValues values;
      auto lease =
          co_await m_pool->Acquire(values, LinkUse::kStatement, Clock::now() + Millis(1000));
      EXPECT_TRUE(lease.has_value());
      if (lease && repeats) {
        static_cast<BegunLink&>(*(*lease)->link).ReportUnmatchedAnswer();
      }
      done = true;
    });
    m_io.restart();
    while (!done) {
      m_io.run_one();
    }
  }

  boost::asio::io_context m_io;
  int m_opened = 0;
  int m_reported = 0;
  std::shared_ptr<LinkPool> m_pool =
      std::make_shared<LinkPool>(m_io, EndpointEntry(), Opener(), 16);
};

// Guards against the copy of a BEGIN's reply that hides the refusal of a later BEGIN, so that its
// statement runs outside a transaction.
TEST_F(SpentLinkTest, LinksOfAServerThatRepeatsRepliesBeginOnlyOnce) {
  UseLink(false);
  UseLink(false);
  EXPECT_EQ(m_opened, 1);
  UseLink(true);
  EXPECT_EQ(m_reported, 1);
  EXPECT_EQ(m_pool->open_links(), 0U);
  UseLink(false);
  UseLink(false);
  EXPECT_EQ(m_opened, 3);
}

}  // namespace
}  // namespace cardamom::testing
