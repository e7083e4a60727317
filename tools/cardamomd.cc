// The proxy daemon, or the session gateway if the first argument is "gateway".
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "gateway_daemon.h"
#include "proxy/proxy.h"

namespace {

using cardamom::Error;
using cardamom::LeafResult;
using cardamom::Settings;

constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;

std::optional<std::string> FromEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

void PrintHelp() {
  std::cout << "cardamomd: database proxy with session consistency\n\n"
               "  --check-settings  check the settings and exit\n";
  for (const auto& setting : cardamom::TextSettings()) {
    std::cout << "  --" << setting.name << "  " << setting.meaning << "\n";
  }
  for (const auto& setting : cardamom::NumberSettings()) {
    std::cout << "  --" << setting.name << "  " << setting.meaning << " (" << setting.min << " to "
              << setting.max << " " << setting.unit << ", default " << setting.default_value
              << ")\n";
  }
}

int ReportError(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " " << cardamom::InfoOf(error.code).name
            << ": " << error.detail << "\n";
  return error.code == cardamom::ResultCode::kBadSetting ? kExitSettings : kExitListen;
}

int Run(const Settings& settings) {
  cardamom::EventLog::ConfigureLogging(
      settings.log_format == "json" ? cardamom::LogFormat::kJson : cardamom::LogFormat::kText,
      settings.log_level);
  boost::asio::io_context context;
  auto proxy = cardamom::Proxy::Create(context, settings);
  if (!proxy) {
    return ReportError(proxy.error());
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& /*ec*/, int /*signal*/) {
    (*proxy)->Stop([&context] { context.stop(); });
    // A second signal ends the process at once.
    signals.async_wait([](const boost::system::error_code& ec, int signal) {
      if (!ec) {
        std::_Exit(128 + signal);
      }
    });
  });
  std::cout << "callers " << (*proxy)->caller_address().ToString() << " peers "
            << (*proxy)->peer_address().ToString() << " operations "
            << (*proxy)->operations_address().ToString() << std::endl;
  std::vector<std::jthread> workers;
  for (std::int64_t i = 1; i < settings.threads; ++i) {
    workers.emplace_back([&context] { context.run(); });
  }
  context.run();
  workers.clear();
  // Nothing depends on the coroutines that still wait; exiting here avoids their destruction.
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> arguments(argv + 1, argv + argc);
  if (!arguments.empty() && arguments.front() == "gateway") {
    arguments.erase(arguments.begin());
    return cardamom::RunGateway(std::move(arguments));
  }
  if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
    PrintHelp();
    return EXIT_SUCCESS;
  }
  const bool check_only = std::erase(arguments, "--check-settings") > 0;
  return boost::leaf::try_handle_all(
      [&]() -> LeafResult<int> {
        BOOST_LEAF_AUTO(settings, Settings::Read(arguments, &FromEnvironment));
        if (check_only) {
          std::cout << "the settings are valid\n";
          return EXIT_SUCCESS;
        }
        return Run(settings);
      },
      [](const Error& error) { return ReportError(error); }, [] { return kExitSettings; });
}
