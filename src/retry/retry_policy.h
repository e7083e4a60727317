// Decides what follows a failed attempt.
#pragma once

#include "cardamom/error.h"
#include "core/clock.h"

namespace cardamom {

// A token bucket for each group: retries may add only a part to the load.
class RetryBudget {
 public:
  // Each first attempt earns `ratio` of a retry; at most `most` retries are saved up.
  RetryBudget(double ratio, double most) : m_ratio(ratio), m_most(most), m_tokens(most) {}

  void OnFirstAttempt();
  // Takes one retry from the budget if it holds one.
  bool TryRetry();

 private:
  const double m_ratio;
  const double m_most;
  double m_tokens;
};

enum class AfterAttempt {
  // Give the result to the caller.
  kReport,
  // Ask again, after a pause.
  kRetry,
  // Wait for news of the primary, then ask again.
  kWaitForPrimary,
};

struct AttemptContext {
  // The request may run more than once without harm: it carries a key or only reads.
  bool repeatable = false;
  TimePoint deadline;
  TimePoint now;
};

// Pure and thread safe.
AfterAttempt DecideRetry(const Error& error, const AttemptContext& context);

}  // namespace cardamom
