// Tests of HttpConnection: a request whose deadline passes before the response arrives.
#include "http/http_connection.h"

#include <gtest/gtest.h>

#include <array>

#include <boost/asio/ip/tcp.hpp>

#include "async/notifier.h"
#include "async/spawn.h"

namespace cardamom {
namespace {

// Guards against a request that runs after its caller has received a final answer: a partition
// delays its bytes, the deadline passes, and the bytes arrive once the partition heals. Resetting
// the connection discards them.
TEST(HttpConnectionTest, TimedOutRequestResetsTheConnection) {
  boost::asio::io_context io;
  using Tcp = boost::asio::ip::tcp;
  Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
  Spawn(io, [&]() -> asio::awaitable<void> {
    HttpConnection connection(io, address);
    const auto connected = co_await connection.Connect(Clock::now() + Millis(1000));
    EXPECT_TRUE(connected.has_value());
    HttpRequest request;
    const auto answer = co_await connection.Send(std::move(request), Clock::now() + Millis(100));
    EXPECT_FALSE(answer.has_value());
    EXPECT_FALSE(connection.IsUsable());
  });
  io.run();
  auto accepted = acceptor.accept();
  std::array<char, 4096> bytes;
  boost::system::error_code ec;
  while (!ec) {
    accepted.read_some(boost::asio::buffer(bytes), ec);
  }
  EXPECT_EQ(ec, boost::asio::error::connection_reset);
}

}  // namespace
}  // namespace cardamom
