// Tests of the lines of the wire protocol over a real connection.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include "async/spawn.h"
#include "platform/line_stream.h"

namespace cardamom::testing {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Millis kReadLimit{2000};
constexpr Millis kPieceDelay{20};

class LineStreamTest : public ::testing::Test {
 protected:
  LineStreamTest() : m_peer(m_io) {
    Tcp::acceptor acceptor(m_io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_peer.connect(acceptor.local_endpoint());
    m_peer.set_option(Tcp::no_delay(true));
    m_stream = std::make_unique<platform::LineStream>(acceptor.accept());
  }

  // Sends the pieces one after another, then ends the connection. Returns the lines that were read.
  std::vector<std::string> LinesOf(const std::vector<std::string>& pieces) {
    std::vector<std::string> lines;
    Spawn(m_io, [&]() -> asio::awaitable<void> {
      for (;;) {
        const auto line = co_await m_stream->ReadLine(Clock::now() + kReadLimit);
        if (!line) {
          break;
        }
        lines.emplace_back(*line);
      }
    });
    for (const auto& piece : pieces) {
      asio::write(m_peer, asio::buffer(piece));
      m_io.run_for(kPieceDelay);
    }
    m_peer.close();
    m_io.run_for(kReadLimit);
    return lines;
  }

  asio::io_context m_io;
  Tcp::socket m_peer;
  std::unique_ptr<platform::LineStream> m_stream;
};

// Guards against a text with a line feed that is cut there, and whose rest is taken for a message
// of its own.
TEST_F(LineStreamTest, ALineFeedAloneDoesNotEndALine) {
  EXPECT_EQ(LinesOf({"QUERY 1 PUT a b\nQUERY 2 PUT c d\r\nQUERY 3 FETCH a\r\n"}),
            (std::vector<std::string>{"QUERY 1 PUT a b\nQUERY 2 PUT c d", "QUERY 3 FETCH a"}));
}

// Guards against a carriage return before a lone line feed that is taken for part of a line end.
TEST_F(LineStreamTest, ACarriageReturnAloneDoesNotEndALine) {
  EXPECT_EQ(LinesOf({"a\rb\n\rc\r\r\n", "\n\r\n"}),
            (std::vector<std::string>{"a\rb\n\rc\r", "\n"}));
}

// Guards against a line end that is missed when its two bytes arrive apart.
TEST_F(LineStreamTest, ALineEndMayArriveInTwoReads) {
  EXPECT_EQ(LinesOf({"first\r", "\nsecond\r", "x\r", "\n"}),
            (std::vector<std::string>{"first", "second\rx"}));
}

}  // namespace
}  // namespace cardamom::testing
