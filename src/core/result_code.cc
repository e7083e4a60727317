#include "cardamom/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace cardamom {
namespace {

constexpr std::array kCodes = {
    ResultCodeInfo{ResultCode::kOk, "ok", 200, "The request was carried out."},
    ResultCodeInfo{ResultCode::kBadJson, "bad_json", 400, "The body is not valid JSON."},
    ResultCodeInfo{ResultCode::kBadField, "bad_field", 400,
                   "A field is missing, has the wrong type or is out of range."},
    ResultCodeInfo{ResultCode::kUnknownGroup, "unknown_group", 404,
                   "No record in force names the group."},
    ResultCodeInfo{ResultCode::kBodyTooLarge, "body_too_large", 413,
                   "The body is larger than the configured limit."},
    ResultCodeInfo{ResultCode::kBadToken, "bad_token", 400,
                   "The session token is malformed or its signature does not match."},
    ResultCodeInfo{ResultCode::kForeignToken, "foreign_token", 400,
                   "The session token has a version that this proxy does not know."},
    ResultCodeInfo{ResultCode::kUnknownTransaction, "unknown_transaction", 404,
                   "The transaction does not exist or has ended."},
    ResultCodeInfo{ResultCode::kDeadlineExpired, "deadline_expired", 504,
                   "The deadline passed before the work was sent."},
    ResultCodeInfo{ResultCode::kNoRoute, "no_route", 404, "No such path or method."},
    ResultCodeInfo{ResultCode::kKeyConflict, "key_conflict", 409,
                   "The idempotency key was used before with another statement."},
    ResultCodeInfo{ResultCode::kStatementFailed, "statement_failed", 422,
                   "The database rejected the statement; it had no effect."},
    ResultCodeInfo{ResultCode::kTransactionBusy, "transaction_busy", 409,
                   "Another request of the same transaction is in progress."},
    ResultCodeInfo{ResultCode::kBadHeader, "bad_header", 400,
                   "A header has a value that cannot be used."},
    ResultCodeInfo{ResultCode::kOverloaded, "overloaded", 503,
                   "Queues are full; the work was refused before it was sent."},
    ResultCodeInfo{ResultCode::kNoPrimary, "no_primary", 503,
                   "No primary was known before the deadline."},
    ResultCodeInfo{ResultCode::kReplicationStalled, "replication_stalled", 503,
                   "Replicas do not confirm writes; new writes are refused."},
    ResultCodeInfo{ResultCode::kNotReady, "not_ready", 503,
                   "The proxy has no configuration that it may rely on."},
    ResultCodeInfo{ResultCode::kOwnerUnreachable, "owner_unreachable", 503,
                   "The proxy that owns the transaction or the group cannot be reached."},
    ResultCodeInfo{ResultCode::kNoFreshServer, "no_fresh_server", 503,
                   "No server could satisfy the session and the stated age in time."},
    ResultCodeInfo{ResultCode::kStopping, "stopping", 503,
                   "The proxy is stopping and takes no new work."},
    ResultCodeInfo{ResultCode::kOutcomeUnknown, "outcome_unknown", 504,
                   "The work was sent and its outcome was not learned before the deadline."},
    ResultCodeInfo{ResultCode::kTransactionAborted, "transaction_aborted", 409,
                   "The transaction was rolled back; nothing of it took effect."},
    ResultCodeInfo{ResultCode::kRecordInvalid, "record_invalid", 422, "The record has errors."},
    ResultCodeInfo{ResultCode::kRevisionConflict, "revision_conflict", 409,
                   "The record changed since the revision that the change names."},
    ResultCodeInfo{ResultCode::kRecordNotFound, "record_not_found", 404, "No such record."},
    ResultCodeInfo{ResultCode::kSchemaUnknown, "schema_unknown", 422,
                   "The schema version of the record is not understood."},
    ResultCodeInfo{ResultCode::kPlatformUnavailable, "platform_unavailable", 503,
                   "The platform's table did not answer."},
    ResultCodeInfo{ResultCode::kRecordExists, "record_exists", 409,
                   "A record of that group exists; use replace."},
    ResultCodeInfo{ResultCode::kBadSetting, "bad_setting", 500, "A setting has a wrong value."},
    ResultCodeInfo{ResultCode::kListenFailed, "listen_failed", 500,
                   "A listening address cannot be used."},
    ResultCodeInfo{ResultCode::kTransport, "transport", 502, "A connection failed."},
    ResultCodeInfo{ResultCode::kBadAnswer, "bad_answer", 502,
                   "An answer did not have the expected form."},
    ResultCodeInfo{ResultCode::kServerBehind, "server_behind", 409,
                   "The server has not applied the needed position; nothing ran."},
    ResultCodeInfo{ResultCode::kNotPrimary, "not_primary", 409,
                   "The server is not primary of the named term; nothing ran."},
    ResultCodeInfo{ResultCode::kFenced, "fenced", 409,
                   "The server is fenced at a term that is not lower."},
    ResultCodeInfo{ResultCode::kForbiddenPeer, "forbidden_peer", 403,
                   "The peer key does not match."},
    ResultCodeInfo{ResultCode::kConnectionRefused, "connection_refused", 502,
                   "Nothing listens at the address; nothing ran."},
    ResultCodeInfo{ResultCode::kNoAnswer, "no_answer", 502,
                   "The other side did not answer in time."},
    ResultCodeInfo{ResultCode::kUnmatchedAnswer, "unmatched_answer", 502,
                   "The other side sent a reply that belongs to another request."},
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kCodes;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto it = std::find_if(kCodes.begin(), kCodes.end(),
                               [code](const ResultCodeInfo& info) { return info.code == code; });
  assert(it != kCodes.end());
  return *it;
}

std::string_view ToString(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cardamom
