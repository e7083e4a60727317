// Answers of the proxy's own interfaces.
#pragma once

#include <optional>
#include <string>

#include "http/http_message.h"
#include "proxy/caller_messages.h"

namespace cardamom {

template <typename T>
HttpResponse JsonResponse(const T& message) {
  HttpResponse response;
  response.body = Encode(message);
  return response;
}

// Problem details for `error`. Thread safe.
HttpResponse ProblemResponse(const Error& error, std::optional<std::string> key = std::nullopt);

}  // namespace cardamom
