// Helpers that build the JSON responses of the proxy's HTTP interfaces.
#pragma once

#include <optional>
#include <string>

#include "http/http_message.h"
#include "proxy/caller_messages.h"

namespace cardamom {

// Response with status 200 and `message` as JSON. Thread safe.
template <typename T>
HttpResponse JsonResponse(const T& message) {
  HttpResponse response;
  response.body = EncodeJson(message);
  return response;
}

// Response with the problem details (RFC 9457) of `error`; `key` is the idempotency key of a write
// whose outcome is unknown. Thread safe.
HttpResponse ProblemResponse(const Error& error, std::optional<std::string> key = std::nullopt);

}  // namespace cardamom
