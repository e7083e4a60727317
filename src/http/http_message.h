// HTTP requests and responses, independent of the HTTP libraries.
#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamom {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Value of the first header whose name equals `name`, ignoring case. Thread safe.
inline std::optional<std::string_view> FindHeader(const std::vector<HttpHeader>& headers,
                                                  std::string_view name) {
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  for (const auto& header : headers) {
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), same)) {
      return header.value;
    }
  }
  return std::nullopt;
}

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  // Server only: identifies the connection that the request arrived on.
  std::uint64_t connection_id = 0;

  std::optional<std::string_view> Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  // Server only: released once the response has been written or its connection has failed.
  std::shared_ptr<const void> held_until_sent;
  // Server only: close the connection without a complete response.
  bool close_without_response = false;

  std::optional<std::string_view> Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

}  // namespace cardamom
