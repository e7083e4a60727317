#include "http/address.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace cardamom {

std::optional<Address> Address::Parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto port_text = text.substr(colon + 1);
  Address address{std::string(host), 0};
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), address.port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(address.host, ec);
  if (ec) {
    return std::nullopt;
  }
  return address;
}

std::string Address::ToString() const {
  if (host.find(':') != std::string::npos) {
    return "[" + host + "]:" + std::to_string(port);
  }
  return host + ":" + std::to_string(port);
}

}  // namespace cardamom
