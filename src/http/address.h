// An IP address and a port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

struct Address {
  std::string host;
  std::uint16_t port = 0;

  // Parses "host:port", where host is an IPv4 address or an IPv6 address in brackets. Returns
  // nullopt if `text` has no valid port or host is no IP address. Thread safe.
  static std::optional<Address> Parse(std::string_view text);

  // The form that Parse reads; an IPv6 address is put in brackets.
  std::string ToString() const;

  auto operator<=>(const Address&) const = default;
};

}  // namespace cardamom
