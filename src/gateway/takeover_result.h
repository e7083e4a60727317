// How a try to replace a primary ended.
#pragma once

namespace cardamom {

enum class TakeoverResult {
  // A primary leads.
  kSettled,
  // Another proxy is at work, or the store does not answer.
  kGaveWay,
  // Replicas were stopped and stay so until the next try, which should follow at once.
  kUnfinished,
};

}  // namespace cardamom
