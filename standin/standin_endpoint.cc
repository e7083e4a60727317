// Stand-in for a database server that implements the endpoint contract, for tests and
// demonstrations.
#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include "standin/endpoint_server.h"
#include "standin/run_standin.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  po::options_description options("standin_endpoint");
  auto add = options.add_options();
  add("help", "print this text");
  add("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "address to listen on");
  add("id", po::value<std::string>()->required(), "endpoint id");
  add("slots", po::value<std::size_t>()->default_value(5), "statements that run at once");
  add("connections", po::value<std::size_t>()->default_value(80), "connections at most");
  add("connect-ms", po::value<int>()->default_value(10), "cost of a new connection");
  add("service-us", po::value<int>()->default_value(0), "time that a statement takes");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
      std::cout << options;
      return EXIT_SUCCESS;
    }
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << failure.what() << "\n";
    return EXIT_FAILURE;
  }
  const auto listen = cardamom::Address::Parse(values["listen"].as<std::string>());
  if (!listen) {
    std::cerr << "bad --listen\n";
    return EXIT_FAILURE;
  }
  boost::asio::io_context context;
  const auto server = cardamom::EndpointServer::Create(
      context, {*listen, cardamom::EndpointId(values["id"].as<std::string>()),
                values["slots"].as<std::size_t>(), values["connections"].as<std::size_t>(),
                cardamom::Millis(values["connect-ms"].as<int>()),
                std::chrono::microseconds(values["service-us"].as<int>())});
  if (!server) {
    std::cerr << server.error().detail << "\n";
    return EXIT_FAILURE;
  }
  cardamom::RunUntilSignal(context, 2, (*server)->address().ToString());
}
