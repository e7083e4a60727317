#include "proxy/json_responses.h"

#include <utility>

namespace cardamom {

HttpResponse ProblemResponse(const Error& error, std::optional<std::string> key) {
  const auto& info = InfoOf(error.code);
  ProblemDetails problem;
  problem.title = info.name;
  problem.status = info.http_status;
  problem.detail = error.detail;
  problem.code = static_cast<int>(error.code);
  problem.ran = ToString(error.ran);
  problem.key = std::move(key);
  HttpResponse response;
  response.status = info.http_status;
  response.body = EncodeJson(problem);
  response.content_type = "application/problem+json";
  return response;
}

}  // namespace cardamom
