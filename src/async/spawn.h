// Starts detached coroutines.
#pragma once

#include <exception>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace cardamom {

// Runs `start()`, which returns an awaitable, as a detached coroutine on a new strand. It does not
// run inside the call of Spawn, so that the caller may hold locks. An exception that escapes the
// coroutine ends the process. Thread safe.
template <typename Start>
void Spawn(boost::asio::io_context& context, Start start) {
  const auto strand = boost::asio::make_strand(context);
  boost::asio::post(strand, [strand, start = std::move(start)]() mutable {
    boost::asio::co_spawn(strand, std::move(start), [](const std::exception_ptr& failure) {
      if (failure) {
        std::rethrow_exception(failure);
      }
    });
  });
}

}  // namespace cardamom
