// Tests of the line protocol's server over real connections.
#include <gtest/gtest.h>

#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "async/notifier.h"
#include "fleet_fakes.h"
#include "platform/line_server.h"

namespace cardamom::testing {
namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t kRows = 100;
constexpr std::size_t kRowBytes = 100'000;
constexpr Millis kReplyLimit{5000};

class LineServerTest : public ::testing::Test {
 protected:
  LineServerTest() : m_server(m_fleet.io, m_fleet.vm(0).gateway->sessions(), 10) {
    EXPECT_TRUE(m_server.Listen(*Address::Parse("127.0.0.1:0")));
    for (std::size_t i = 0; i < 3; ++i) {
      m_fleet.fake_group.server(i).rows.assign(kRows, std::string(kRowBytes, 'x'));
    }
  }

  // A caller that opens a session, sends a read, and reads the reply only after `m_caller_reads` is
  // set.
  asio::awaitable<void> ReadSlowly() {
    Tcp::socket socket(m_fleet.io);
    const Tcp::endpoint endpoint(asio::ip::make_address(m_server.address().host),
                                 m_server.address().port);
    socket.open(endpoint.protocol());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    co_await socket.async_connect(endpoint, asio::use_awaitable);
    co_await Send(socket, "CONNECT depot caller\r\n");
    co_await ReadLine(socket);
    co_await Send(socket, "QUERY r-1 FETCH a\r\n");
    m_sent = true;
    while (!m_caller_reads) {
      co_await Sleep(Millis(5));
    }
    std::string line;
    while (!line.starts_with("READY")) {
      line = co_await ReadLine(socket);
      m_rows_received += line.starts_with("DATAROW") ? 1 : 0;
    }
    m_reply_complete = true;
  }

  asio::awaitable<void> Send(Tcp::socket& socket, std::string text) {
    co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
  }

  // Returns an empty line if the connection has ended.
  asio::awaitable<std::string> ReadLine(Tcp::socket& socket) {
    const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(m_input), "\r\n",
                                                      asio::use_awaitable);
    auto line = m_input.substr(0, size);
    m_input.erase(0, size);
    co_return line;
  }

  FakeFleet m_fleet{1, 1, 32};
  platform::LineServer m_server;
  std::string m_input;
  bool m_sent = false;
  bool m_caller_reads = false;
  std::size_t m_rows_received = 0;
  bool m_reply_complete = false;
};

// Guards against replies that a stop cuts off, because a session whose statement has run counted as
// idle while its reply was still being sent.
TEST_F(LineServerTest, ReplyThatIsBeingSentIsNotCutWhenIdleConnectionsAreClosed) {
  bool failed = false;
  Spawn(m_fleet.io, [this, &failed]() -> asio::awaitable<void> {
    try {
      co_await ReadSlowly();
    } catch (const boost::system::system_error&) {
      failed = true;
    }
  });
  const auto has_run = [this] {
    return m_sent && !m_fleet.vm(0).Events(EventCode::kStatementAnswered).empty();
  };
  ASSERT_TRUE(m_fleet.RunUntil(has_run, kReplyLimit));
  m_fleet.RunUntil([] { return false; }, Millis(100));
  m_fleet.vm(0).gateway->sessions().StartClosing();
  EXPECT_EQ(m_server.CloseIdleConnections(), 1U);
  EXPECT_EQ(m_server.UnansweredStatements(), 1U);
  m_caller_reads = true;
  ASSERT_TRUE(m_fleet.RunUntil([&] { return m_reply_complete || failed; }, kReplyLimit));
  EXPECT_TRUE(m_reply_complete);
  EXPECT_EQ(m_rows_received, kRows);
  // The connection is closed once the reply has been sent.
  EXPECT_TRUE(
      m_fleet.RunUntil([this] { return m_server.CloseIdleConnections() == 0; }, kReplyLimit));
}

}  // namespace
}  // namespace cardamom::testing
