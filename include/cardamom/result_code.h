// Result codes. docs/ERRORS.md describes each; a test checks that both list the same codes.
#pragma once

#include <span>
#include <string_view>

namespace cardamom {

enum class ResultCode : int {
  kOk = 0,
  // 1xx: the request itself.
  kBadJson = 100,
  kBadField = 101,
  kUnknownGroup = 102,
  kBodyTooLarge = 103,
  kBadToken = 104,
  kForeignToken = 105,
  kUnknownTransaction = 106,
  kDeadlineExpired = 107,
  kNoRoute = 108,
  kKeyConflict = 109,
  kStatementFailed = 110,
  kTransactionBusy = 111,
  kBadHeader = 112,
  // 2xx: nothing was executed; the caller may retry.
  kOverloaded = 200,
  kNoPrimary = 201,
  kReplicationStalled = 202,
  kNotReady = 203,
  kOwnerUnreachable = 204,
  kNoFreshServer = 205,
  kStopping = 206,
  // 3xx: outcome of work that was sent to a server.
  kOutcomeUnknown = 300,
  kTransactionAborted = 301,
  // 4xx: records and configuration.
  kRecordInvalid = 400,
  kRevisionConflict = 401,
  kRecordNotFound = 402,
  kSchemaUnknown = 403,
  kPlatformUnavailable = 404,
  kRecordExists = 405,
  // 5xx: settings and start.
  kBadSetting = 500,
  kListenFailed = 501,
  // 6xx: requests between the system's processes and to external systems.
  kTransport = 600,
  kBadAnswer = 601,
  kServerBehind = 602,
  kNotPrimary = 603,
  kFenced = 604,
  kForbiddenPeer = 605,
  kConnectionRefused = 606,
  kNoAnswer = 607,
  kUnmatchedAnswer = 608,
};

// Whether the work of a request was executed.
enum class Ran { kNo, kYes, kUnknown };

struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  // Status of the HTTP response that carries the code.
  int http_status;
  std::string_view meaning;
};

// All codes in ascending order. Thread safe.
std::span<const ResultCodeInfo> AllResultCodes();

// The entry of `code`. Precondition: `code` is one of the enumerators. Thread safe.
const ResultCodeInfo& InfoOf(ResultCode code);

// "no", "yes" or "unknown". Thread safe.
std::string_view ToString(Ran ran);

}  // namespace cardamom
