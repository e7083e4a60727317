// Main loop shared by the stand-in programs.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace cardamom {

// Prints "listening ADDRESS" and runs `context` on `threads` threads until SIGTERM or SIGINT. Does
// not return: exits the process with status 0.
void RunUntilSignal(boost::asio::io_context& context,
                    std::size_t threads,
                    const std::string& address);

}  // namespace cardamom
