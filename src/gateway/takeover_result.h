// How an attempt to replace a primary ended.
#pragma once

namespace cardamom {

enum class TakeoverResult {
  // The group has a working primary.
  kHasPrimary,
  // Another proxy is replacing the primary, the store does not answer, or no replacement is
  // known to be safe.
  kBackedOff,
  // Replicas are stopped and stay so until the next attempt, which should follow at once.
  kUnfinished,
};

}  // namespace cardamom
