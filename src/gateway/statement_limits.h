// How long the parts of a statement's execution may take, and how often they are repeated.
#pragma once

#include "gateway/endpoint.h"
#include "gateway/statement_task.h"
#include "statement/endpoint_link.h"

namespace cardamom {

// A read is retried at another server after this fraction of its time limit without an answer.
inline constexpr double kReadAttemptFraction = 0.45;
// A statement waits for a primary for this fraction of its time limit. It is refused after that, so
// that the caller still has time to retry.
inline constexpr double kPrimaryWaitFraction = 0.6;
inline constexpr int kMaxAttempts = 4;
// Delay before a retry at a server whose queue was full, multiplied by the number of attempts so
// far.
inline constexpr Millis kBusyPause{30};
inline constexpr int kMaxBusyRetries = 2;
// A commit that has had no answer for this long is reported as overdue.
inline constexpr Millis kCommitOverdue{600};

// The time at which `part` of the statement's time limit has passed. Pure and thread safe.
TimePoint FractionDeadline(const StatementTask& task, double part);

// Until when a statement may be queued for `endpoint` and still be sent. Must be called on the
// thread of the endpoint.
TimePoint LatestSendTime(const StatementTask& task, const Endpoint& endpoint, TimePoint deadline);

// A request of the proxy itself, without a caller's statement. Thread safe.
EndpointRequest OwnRequest(EndpointOperation operation);

}  // namespace cardamom
