// Stand-in for the platform's table, object store and VM list, for tests and demonstrations.
#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include "standin/platform_server.h"
#include "standin/run_standin.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  po::options_description options("standin_platform");
  options.add_options()("help", "print this text")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:0"), "address to listen on");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << failure.what() << "\n";
    return EXIT_FAILURE;
  }
  if (values.contains("help")) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  const auto listen = cardamom::Address::Parse(values["listen"].as<std::string>());
  if (!listen) {
    std::cerr << "bad --listen\n";
    return EXIT_FAILURE;
  }
  boost::asio::io_context context;
  const auto server = cardamom::PlatformServer::Create(context, *listen);
  if (!server) {
    std::cerr << server.error().detail << "\n";
    return EXIT_FAILURE;
  }
  cardamom::RunUntilSignal(context, 2, (*server)->address().ToString());
}
