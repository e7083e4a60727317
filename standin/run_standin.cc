#include "standin/run_standin.h"

#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>

namespace cardamom {

void RunUntilSignal(boost::asio::io_context& context,
                    std::size_t threads,
                    const std::string& address) {
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](const boost::system::error_code& /*ec*/, int /*signal*/) { context.stop(); });
  std::cout << "listening " << address << std::endl;
  std::vector<std::jthread> pool;
  for (std::size_t i = 1; i < threads; ++i) {
    pool.emplace_back([&context] { context.run(); });
  }
  context.run();
  // The programs store nothing on disk; exiting here avoids the destruction of requests in
  // progress.
  std::_Exit(0);
}

}  // namespace cardamom
