// Tests of HttpConnection: a request whose deadline passes before the response arrives.
#include "http/http_connection.h"

#include <gtest/gtest.h>

#include <array>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

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

// Guards against a second copy of a response that is taken for the response to the next request.
TEST(HttpConnectionTest, AResponseThatArrivesTwiceAnswersOneRequestOnly) {
  boost::asio::io_context io;
  using Tcp = boost::asio::ip::tcp;
  Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const Address address{"127.0.0.1", acceptor.local_endpoint().port()};
  constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  Tcp::socket peer(io);
  Spawn(io, [&]() -> asio::awaitable<void> {
    co_await acceptor.async_accept(peer, asio::use_awaitable);
    std::array<char, 4096> bytes;
    co_await peer.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    co_await asio::async_write(peer, asio::buffer(kResponse), asio::use_awaitable);
    co_await Sleep(Millis(20));
    co_await asio::async_write(peer, asio::buffer(kResponse), asio::use_awaitable);
  });
  Spawn(io, [&]() -> asio::awaitable<void> {
    HttpConnection connection(io, address);
    const auto deadline = Clock::now() + Millis(1000);
    const auto connected = co_await connection.Connect(deadline);
    EXPECT_TRUE(connected.has_value());
    HttpRequest first;
    const auto answer = co_await connection.Send(std::move(first), deadline);
    EXPECT_TRUE(answer.has_value());
    co_await Sleep(Millis(100));
    HttpRequest second;
    const auto refused = co_await connection.Send(std::move(second), deadline);
    EXPECT_FALSE(refused.has_value());
    EXPECT_TRUE(!refused && refused.error().ran == Ran::kNo);
    EXPECT_FALSE(connection.IsUsable());
  });
  io.run();
}

}  // namespace
}  // namespace cardamom
