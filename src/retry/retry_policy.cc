#include "retry/retry_policy.h"

#include <algorithm>

namespace cardamom {

void RetryBudget::OnFirstAttempt() {
  m_tokens = std::min(m_max_tokens, m_tokens + m_tokens_per_attempt);
}

bool RetryBudget::TryConsumeToken() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

RetryDecision DecideRetry(const Error& error, const AttemptContext& context) {
  if (context.now >= context.deadline) {
    return RetryDecision::kReturnError;
  }
  switch (error.code) {
    case ResultCode::kNotPrimary:
    case ResultCode::kFenced:
    case ResultCode::kNoPrimary:
      return RetryDecision::kWaitForPrimary;
    case ResultCode::kServerBehind:
      return RetryDecision::kRetry;
    case ResultCode::kTransport:
    case ResultCode::kConnectionRefused:
    case ResultCode::kBadAnswer:
      if (error.ran == Ran::kNo || context.idempotent) {
        return RetryDecision::kRetry;
      }
      return RetryDecision::kReturnError;
    default:
      return RetryDecision::kReturnError;
  }
}

}  // namespace cardamom
