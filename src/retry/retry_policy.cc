#include "retry/retry_policy.h"

#include <algorithm>

namespace cardamom {

void RetryBudget::OnFirstAttempt() {
  m_tokens = std::min(m_most, m_tokens + m_ratio);
}

bool RetryBudget::TryRetry() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

AfterAttempt DecideRetry(const Error& error, const AttemptContext& context) {
  if (context.now >= context.deadline) {
    return AfterAttempt::kReport;
  }
  switch (error.code) {
    case ResultCode::kNotPrimary:
    case ResultCode::kFenced:
    case ResultCode::kNoPrimary:
      return AfterAttempt::kWaitForPrimary;
    case ResultCode::kServerBehind:
      return AfterAttempt::kRetry;
    case ResultCode::kTransport:
    case ResultCode::kConnectionRefused:
    case ResultCode::kBadAnswer:
      if (error.ran == Ran::kNo || context.repeatable) {
        return AfterAttempt::kRetry;
      }
      return AfterAttempt::kReport;
    default:
      return AfterAttempt::kReport;
  }
}

}  // namespace cardamom
