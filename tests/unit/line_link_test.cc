// Links to a server that sends replies twice.
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "async/notifier.h"
#include "async/spawn.h"
#include "platform/line_link.h"

namespace cardamom::testing {
namespace {

using Tcp = asio::ip::tcp;

constexpr Millis kReplyLimit{150};
// A copy that was sent over loopback has arrived after this time.
constexpr Millis kArrival{20};

std::string Signed(const std::string& signature, const std::string& state = "I") {
  return "COMPLETE " + signature + "\r\nREADY " + state + " 1.5\r\n";
}

std::string Own(const std::string& state = "I") {
  return "COMPLETE -\r\nREADY " + state + " 1.5\r\n";
}

std::string Refused(const std::string& code, const std::string& state = "I") {
  return "ERROR " + code + " e0\r\nREADY " + state + " 1.5\r\n";
}

std::string Status(int index) {
  return "DATAROW replica 1 1." + std::to_string(index) + " 0 12 2 17\r\n" + Own();
}

// Answers each line of a connection with the next text of a script, which may hold several replies
// or none.
class ScriptedServer {
 public:
  explicit ScriptedServer(asio::io_context& io)
      : m_acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), m_peer(io) {
    Spawn(io, [this]() -> asio::awaitable<void> { co_await Serve(); });
  }

  void Answer(std::string text) { m_script.push_back(std::move(text)); }
  // Sends `text` now and waits until it has arrived.
  asio::awaitable<void> Send(std::string text) {
    co_await asio::async_write(m_peer, asio::buffer(text), asio::use_awaitable);
    co_await Sleep(kArrival);
  }
  void Disconnect() { m_peer.close(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  std::size_t lines_received() const { return m_lines_received; }

 private:
  asio::awaitable<void> Serve() {
    co_await m_acceptor.async_accept(m_peer, asio::use_awaitable);
    std::string input;
    for (;;) {
      boost::system::error_code ec;
      const auto size = co_await asio::async_read_until(
          m_peer, asio::dynamic_buffer(input), '\n', asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      input.erase(0, size);
      ++m_lines_received;
      std::string text;
      if (!m_script.empty()) {
        text = std::move(m_script.front());
        m_script.pop_front();
      }
      co_await asio::async_write(m_peer, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  Tcp::acceptor m_acceptor;
  Tcp::socket m_peer;
  std::deque<std::string> m_script;
  std::size_t m_lines_received = 0;
};

EndpointRequest Request(EndpointOperation operation) {
  EndpointRequest request;
  request.operation = operation;
  return request;
}

EndpointRequest Statement(const std::string& id, const std::string& text) {
  EndpointRequest request;
  request.id = RequestId(id);
  request.text = text;
  return request;
}

const auto kRead = Statement("r", "FETCH a");
const auto kWrite = Statement("w", "PUT a data");
const auto kBegin = Request(EndpointOperation::kBegin);
const auto kRollback = Request(EndpointOperation::kRollback);

class LineLinkTest : public ::testing::Test {
 protected:
  using Work = std::function<asio::awaitable<void>()>;

  // Opens the link and runs `work`.
  void Run(Work work) {
    Spawn(m_io, [this, work = std::move(work)]() -> asio::awaitable<void> {
      m_server.Answer("READY I 1.5\r\n");
      EndpointEntry entry;
      entry.id = EndpointId("e0");
      entry.group = GroupId("orders");
      entry.address = m_server.address();
      const auto opener = platform::MakeLinkOpener(m_io, "vm-1");
      auto link = co_await opener(entry, OrganisationName(), Clock::now() + Millis(1000));
      if (link) {
        m_link = std::move(*link);
        co_await work();
        m_done = true;
      }
      m_io.stop();
    });
    m_io.run_for(std::chrono::seconds(5));
    EXPECT_TRUE(m_done);
  }

  asio::awaitable<BatchReply> Send(std::vector<EndpointRequest> requests) {
    co_return co_await m_link->Run(std::move(requests), Clock::now() + kReplyLimit);
  }

  asio::awaitable<BatchReply> Send(EndpointRequest request) {
    std::vector<EndpointRequest> requests{std::move(request)};
    co_return co_await Send(std::move(requests));
  }

  // Expects that the only request of a batch succeeded with `signature`.
  static void ExpectSigned(const BatchReply& batch, const std::string& signature) {
    ASSERT_FALSE(batch.failure) << batch.failure->detail;
    ASSERT_EQ(batch.replies.size(), 1U);
    EXPECT_TRUE(batch.replies.front().reply.ok());
    EXPECT_EQ(batch.replies.front().reply.signature, signature);
  }

  asio::io_context m_io;
  ScriptedServer m_server{m_io};
  std::unique_ptr<EndpointLink> m_link;
  bool m_done = false;
};

// Each test guards against the copy of an earlier reply that is taken for the reply to a later
// request of the link, at the place that the test's name gives.
TEST_F(LineLinkTest, ACopyOnAnIdleLinkAnswersNothing) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Signed("s1"));
    const auto first = co_await Send(kWrite);
    ExpectSigned(first, "s1");
    co_await m_server.Send(Signed("s1"));
    m_server.Answer(Signed("s2"));
    const auto second = co_await Send(kWrite);
    ExpectSigned(second, "s2");
  });
}

TEST_F(LineLinkTest, ACopyOfTheGreetingOnAnIdleLinkLeavesTheLinkOpen) {
  Run([this]() -> asio::awaitable<void> {
    co_await m_server.Send("READY I 1.5\r\n");
    m_server.Answer(Signed("s1"));
    const auto first = co_await Send(kWrite);
    ExpectSigned(first, "s1");
    EXPECT_TRUE(m_link->IsOpen());
  });
}

TEST_F(LineLinkTest, ACopyBesideTheNextStatementAnswersNothing) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Signed("s1"));
    co_await Send(kRead);
    m_server.Answer(Signed("s1") + Signed("s2"));
    const auto second = co_await Send(kRead);
    ExpectSigned(second, "s2");
  });
}

TEST_F(LineLinkTest, ACopyBetweenTheStatementsOfATransactionAnswersNothing) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Own("T"));
    co_await Send(kBegin);
    m_server.Answer(Signed("s1", "T"));
    co_await Send(kWrite);
    co_await m_server.Send(Signed("s1", "T"));
    m_server.Answer(Signed("s2", "T"));
    const auto second = co_await Send(kWrite);
    ExpectSigned(second, "s2");
  });
}

TEST_F(LineLinkTest, ACopyOfABeginAnswersNoStatement) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Own("T"));
    co_await Send(kBegin);
    m_server.Answer(Own("T") + Signed("s1", "T"));
    const auto statement = co_await Send(kWrite);
    ExpectSigned(statement, "s1");
  });
}

TEST_F(LineLinkTest, ACopyOfARollbackAnswersNoBeginAndNoStatement) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Own("T"));
    co_await Send(kBegin);
    m_server.Answer(Own());
    co_await Send(kRollback);
    m_server.Answer(Own() + Refused("READONLY"));
    const auto begun = co_await Send(kBegin);
    if (!begun.failure) {
      EXPECT_FALSE(begun.replies.front().reply.ok());
    }
  });
}

TEST_F(LineLinkTest, ACopyOfASetAnswersNoStatement) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Own());
    co_await Send(Request(EndpointOperation::kSetValue));
    m_server.Answer(Own() + Signed("s1"));
    const auto statement = co_await Send(kWrite);
    ExpectSigned(statement, "s1");
  });
}

TEST_F(LineLinkTest, ACopyOfAStatusAnswersNoStatement) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Status(5));
    co_await Send(Request(EndpointOperation::kStatus));
    m_server.Answer(Status(5) + Signed("s1"));
    const auto statement = co_await Send(kRead);
    ExpectSigned(statement, "s1");
    EXPECT_TRUE(statement.replies.empty() || statement.replies.front().reply.rows.empty());
  });
}

// A COMMIT that was refused must not be reported as done.
TEST_F(LineLinkTest, ACopyBeforeARefusedCommitDoesNotReportItAsDone) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Own("T"));
    co_await Send(kBegin);
    m_server.Answer(Signed("s1", "T"));
    co_await Send(kWrite);
    m_server.Answer(Signed("s1", "T") + Refused("BUSY", "E"));
    auto commit = Statement("c", "COMMIT");
    commit.ends_transaction = true;
    const auto committed = co_await Send(std::move(commit));
    if (!committed.failure) {
      EXPECT_FALSE(committed.replies.front().reply.ok());
    }
  });
}

TEST_F(LineLinkTest, ACopyOfACommitAnswersNoBegin) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Signed("s1"));
    co_await Send(kWrite);
    co_await m_server.Send(Signed("s1"));
    m_server.Answer(Own("T"));
    m_server.Answer(Own());
    std::vector<EndpointRequest> probe{kBegin, kRollback};
    const auto probed = co_await Send(std::move(probe));
    if (!probed.failure) {
      EXPECT_EQ(probed.replies[0].reply.state, SessionState::kInTransaction);
      EXPECT_EQ(probed.replies[0].reply.signature, "-");
      EXPECT_EQ(probed.replies[1].reply.state, SessionState::kIdle);
    }
  });
}

// The copy of a refusal cannot be told from a refusal. It is marked, and an empty transaction shows
// that the statement has run.
TEST_F(LineLinkTest, ACopyOfARefusalIsMarkedAndFoundByAnEmptyTransaction) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Refused("BUSY"));
    const auto first = co_await Send(kWrite);
    EXPECT_FALSE(first.replies.front().is_ambiguous);
    m_server.Answer(Refused("BUSY") + Signed("s1"));
    const auto second = co_await Send(kWrite);
    EXPECT_FALSE(second.failure);
    EXPECT_TRUE(second.replies.front().is_ambiguous);
    m_server.Answer(Own("T"));
    m_server.Answer(Own());
    std::vector<EndpointRequest> check{kBegin, kRollback};
    const auto checked = co_await Send(std::move(check));
    EXPECT_TRUE(checked.failure);
    EXPECT_FALSE(m_link->IsOpen());
  });
}

// The copy of an earlier status must not pass for the state of the server now.
TEST_F(LineLinkTest, ACopyOfAStatusBeforeAnotherStatusIsMarked) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer(Status(5));
    co_await Send(Request(EndpointOperation::kStatus));
    m_server.Answer(Status(5) + Status(7));
    const auto status = co_await Send(Request(EndpointOperation::kStatus));
    EXPECT_FALSE(status.failure);
    EXPECT_TRUE(status.replies.front().is_ambiguous);
  });
}

TEST_F(LineLinkTest, ACopyOfTheGreetingAnswersNothing) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Answer("READY I 1.5\r\n" + Signed("s1"));
    const auto statement = co_await Send(kWrite);
    ExpectSigned(statement, "s1");
  });
}

// A batch on a link that the server has closed was not sent, and may be tried elsewhere.
TEST_F(LineLinkTest, ABatchOnAClosedConnectionHasNotRun) {
  Run([this]() -> asio::awaitable<void> {
    m_server.Disconnect();
    co_await Sleep(kArrival);
    const auto batch = co_await Send(kWrite);
    EXPECT_TRUE(batch.failure);
    if (batch.failure) {
      EXPECT_EQ(batch.failure->ran, Ran::kNo);
    }
  });
}

TEST_F(LineLinkTest, RepliesWithoutCopiesMatch) {
  Run([this]() -> asio::awaitable<void> {
    for (int i = 0; i < 10; ++i) {
      const auto signature = "s" + std::to_string(i);
      m_server.Answer(Own("T"));
      m_server.Answer(Signed(signature, "T"));
      m_server.Answer(Own());
      std::vector<EndpointRequest> requests{kBegin, kRead, kRollback};
      const auto batch = co_await Send(std::move(requests));
      EXPECT_FALSE(batch.failure);
      EXPECT_EQ(batch.replies.size(), 3U);
      m_server.Answer(Refused("BUSY"));
      const auto refused = co_await Send(kWrite);
      EXPECT_FALSE(refused.failure);
      EXPECT_TRUE(m_link->IsOpen());
    }
  });
}

}  // namespace
}  // namespace cardamom::testing
