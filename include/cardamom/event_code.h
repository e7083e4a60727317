// Event codes of the log and the timeline. docs/EVENTS.md describes each; a test checks that both
// list the same events.
#pragma once

#include <span>
#include <string_view>

namespace cardamom {

enum class EventCode : int {
  // 1xx: process.
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kReady = 103,
  kNotReady = 104,
  kSettingsReloaded = 105,
  kSettingsRefused = 106,
  kLogLinesDropped = 107,
  // 2xx: configuration.
  kConfigAdopted = 200,
  kRecordSubmitted = 201,
  kRecordNotUnderstood = 202,
  kPlatformUnreachable = 203,
  kPlatformReachable = 204,
  kMembersChanged = 205,
  kGroupClosed = 206,
  kStoreRestored = 207,
  kStoreAnswerIgnored = 208,
  kConfigurationTooOld = 209,
  // 3xx: failover.
  kPrimarySuspected = 300,
  kTermAllocated = 301,
  kServerFenced = 302,
  kPrimaryPromoted = 303,
  kTermComplete = 304,
  kPromotionFailed = 305,
  kTermLearned = 306,
  kTermReserved = 307,
  kSwitchoverStarted = 308,
  kReservedTermUsed = 309,
  kPromotionOrdered = 310,
  kPrimaryLostLead = 311,
  kCommitMissing = 312,
  kTokenAnnounced = 313,
  kAcknowledgementsHeld = 314,
  kAcknowledgementsReleased = 315,
  kRosterRecorded = 316,
  kLeaseLost = 317,
  kLeaseRegained = 318,
  // 4xx: requests.
  kWriteWaited = 400,
  kOutcomeUnknown = 401,
  kTransactionAbandoned = 402,
  kReadWentToPrimary = 403,
  kRequestRefused = 404,
  kStatementAnswered = 405,
  kStatementRefused = 406,
  kDatabaseUnknown = 407,
  kStatementForwarded = 408,
  kCallerDenied = 420,
  // 5xx: connections.
  kEndpointUnreachable = 500,
  kEndpointReachable = 501,
  kEndpointDropped = 502,
  kEndpointListed = 503,
  kEndpointLeaving = 504,
  kPeerUnreachable = 505,
  kPeerReachable = 506,
  kAnswerRepeated = 507,
  // 52x: quotas.
  kQuotaRefused = 520,
  kQuotaOwned = 521,
  // 54x: limits on callers that are not trusted.
  kCallerLimited = 540,
  // 56x: members.
  kMemberRemoved = 560,
};

struct EventCodeInfo {
  EventCode code;
  std::string_view name;
  std::string_view level;
  std::string_view meaning;
};

// All events in ascending order. Thread safe.
std::span<const EventCodeInfo> AllEventCodes();

// The entry of `code`. Precondition: `code` is one of the enumerators. Thread safe.
const EventCodeInfo& InfoOf(EventCode code);

}  // namespace cardamom
