// Start-up shared by the stand-ins.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace cardamom {

// Runs `context` on `threads` threads until SIGTERM or SIGINT, after printing "listening ADDRESS".
void RunUntilSignal(boost::asio::io_context& context,
                    std::size_t threads,
                    const std::string& address);

}  // namespace cardamom
