// Decides whether a failed attempt is retried.
#pragma once

#include "cardamom/error.h"
#include "core/clock.h"

namespace cardamom {

// Token bucket that limits retries to a fraction of the load; each group has one. Not thread safe.
class RetryBudget {
 public:
  // Each first attempt adds `tokens_per_attempt` tokens, up to `max_tokens`; a retry costs one.
  // Starts full.
  RetryBudget(double tokens_per_attempt, double max_tokens)
      : m_tokens_per_attempt(tokens_per_attempt), m_max_tokens(max_tokens), m_tokens(max_tokens) {}

  // Adds the tokens of a first attempt.
  void OnFirstAttempt();
  // Consumes one token. Returns false if less than one is left.
  bool TryConsumeToken();

 private:
  const double m_tokens_per_attempt;
  const double m_max_tokens;
  double m_tokens;
};

enum class RetryDecision {
  // Return the error to the caller.
  kReturnError,
  // Send the request again after a delay.
  kRetry,
  // Wait until a usable primary is known, then send the request again.
  kWaitForPrimary,
};

struct AttemptContext {
  // The request is idempotent: it carries an idempotency key or only reads.
  bool idempotent = false;
  TimePoint deadline;
  TimePoint now;
};

// Chooses what follows the failed attempt that returned `error`. After the deadline nothing is
// retried. Pure and thread safe.
RetryDecision DecideRetry(const Error& error, const AttemptContext& context);

}  // namespace cardamom
