#include "gateway/statement_limits.h"

#include <algorithm>

namespace cardamom {
namespace {

// A statement is not sent if the reply is expected only after the deadline: kReserveFactor times
// the server's expected latency is reserved, but at most this fraction of the statement's time
// limit.
constexpr double kMaxReservedFraction = 0.4;
constexpr int kReserveFactor = 2;

}  // namespace

TimePoint FractionDeadline(const StatementTask& task, double part) {
  const auto span = std::chrono::duration_cast<Duration>((task.deadline - task.received_at) * part);
  return std::min(task.deadline, task.received_at + span);
}

TimePoint LatestSendTime(const StatementTask& task, const Endpoint& endpoint, TimePoint deadline) {
  const auto expected = endpoint.latency.ExpectedLatency(Clock::now()) * kReserveFactor;
  const auto max_reserved = std::chrono::duration_cast<Duration>(
      (task.deadline - task.received_at) * kMaxReservedFraction);
  return std::min(deadline, task.deadline - std::min(expected, max_reserved));
}

EndpointRequest OwnRequest(EndpointOperation operation) {
  EndpointRequest request;
  request.operation = operation;
  return request;
}

}  // namespace cardamom
