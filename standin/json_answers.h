// Builds the JSON responses of the stand-in servers.
#pragma once

#include "cardamom/error.h"
#include "core/json.h"
#include "endpoint/endpoint_messages.h"
#include "http/http_message.h"

namespace cardamom {

// Response with `message` as JSON. Thread safe.
template <typename T>
HttpResponse JsonAnswer(const T& message, int status = 200) {
  HttpResponse response;
  response.status = status;
  response.body = EncodeJson(message);
  return response;
}

// Response with `error` and its HTTP status. A database server adds its fenced term and the last
// position that its reads see, if the error depends on them. Thread safe.
inline HttpResponse ErrorAnswer(const Error& error, Term term = {}, Position applied = {}) {
  return JsonAnswer(ServerError{static_cast<int>(error.code), error.detail, term, applied},
                    InfoOf(error.code).http_status);
}

}  // namespace cardamom
