// Decides whether a failed attempt is retried.
#pragma once

#include "cardamom/error.h"
#include "core/clock.h"

namespace cardamom {

// Token bucket that limits retries to a fraction of the load; each group has one. Not thread safe.
class RetryBudget {
 public:
  // Each first attempt adds `ratio` tokens, up to `most`; a retry costs one. Starts full.
  RetryBudget(double ratio, double most) : m_ratio(ratio), m_most(most), m_tokens(most) {}

  // Adds the tokens of a first attempt.
  void OnFirstAttempt();
  // Consumes one token. Returns false if less than one is left.
  bool TryRetry();

 private:
  const double m_ratio;
  const double m_most;
  double m_tokens;
};

enum class AfterAttempt {
  // Return the error to the caller.
  kReport,
  // Send the request again after a delay.
  kRetry,
  // Wait until a usable primary is known, then send the request again.
  kWaitForPrimary,
};

struct AttemptContext {
  // The request is idempotent: it carries an idempotency key or only reads.
  bool repeatable = false;
  TimePoint deadline;
  TimePoint now;
};

// Chooses what follows the failed attempt that returned `error`. After the deadline nothing is
// retried. Pure and thread safe.
AfterAttempt DecideRetry(const Error& error, const AttemptContext& context);

}  // namespace cardamom
