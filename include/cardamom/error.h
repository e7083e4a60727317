// The error type of the system and the result types that carry it.
#pragma once

#include <string>
#include <utility>

#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>

#include "cardamom/result_code.h"

namespace cardamom {

// A failed request or decision. A value type; distinct objects may be used from distinct threads.
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string detail;
  Ran ran = Ran::kNo;
};

// Whether the other side could not be reached or did not answer. Thread safe.
inline bool IsConnectionFailure(const Error& error) {
  return error.code == ResultCode::kTransport || error.code == ResultCode::kConnectionRefused ||
         error.code == ResultCode::kNoAnswer;
}

// Result of an asynchronous operation. Boost.LEAF keeps error objects in thread-local slots, so
// they may not cross a co_await; such results carry the error by value instead.
template <typename T>
using Outcome = boost::system::result<T, Error>;

// Result of a synchronous factory or check; its error object is an `Error`.
template <typename T>
using LeafResult = boost::leaf::result<T>;

// Boost calls this when value() is called on an Outcome that holds an error. Throws
// std::runtime_error. Thread safe.
[[noreturn]] inline void throw_exception_from_error(const Error& error,
                                                    const boost::source_location& /*where*/) {
  throw std::runtime_error(std::string(InfoOf(error.code).name) + ": " + error.detail);
}

}  // namespace cardamom
