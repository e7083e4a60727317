#include "cardamom/event_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace cardamom {
namespace {

constexpr std::array kEvents = {
    EventCodeInfo{EventCode::kProcessStarted, "process_started", "info",
                  "The process listens on its addresses."},
    EventCodeInfo{EventCode::kProcessStopping, "process_stopping", "info",
                  "A graceful stop began."},
    EventCodeInfo{EventCode::kProcessStopped, "process_stopped", "info",
                  "All work in progress has ended."},
    EventCodeInfo{EventCode::kReady, "ready", "info", "The proxy takes new callers."},
    EventCodeInfo{EventCode::kNotReady, "not_ready", "warn", "The proxy takes no new callers."},
    EventCodeInfo{EventCode::kSettingsReloaded, "settings_reloaded", "info",
                  "The settings were read again."},
    EventCodeInfo{EventCode::kSettingsRefused, "settings_refused", "warn",
                  "Changed settings have errors; the ones before stay in force."},
    EventCodeInfo{EventCode::kLogLinesDropped, "log_lines_dropped", "warn",
                  "The reader of the log was too slow; lines were dropped."},
    EventCodeInfo{EventCode::kConfigAdopted, "config_adopted", "info",
                  "A greater revision of the configuration is in force."},
    EventCodeInfo{EventCode::kRecordSubmitted, "record_submitted", "info",
                  "A record was accepted by the platform's table."},
    EventCodeInfo{EventCode::kRecordNotUnderstood, "record_not_understood", "warn",
                  "A record has an unknown schema version; the last understood one stays."},
    EventCodeInfo{EventCode::kPlatformUnreachable, "platform_unreachable", "warn",
                  "The platform's table does not answer."},
    EventCodeInfo{EventCode::kPlatformReachable, "platform_reachable", "info",
                  "The platform's table answers again."},
    EventCodeInfo{EventCode::kMembersChanged, "members_changed", "info",
                  "The list of proxies changed; homes are chosen anew."},
    EventCodeInfo{EventCode::kGroupClosed, "group_closed", "info",
                  "The proxy is no home of the group; its links are closed."},
    EventCodeInfo{EventCode::kStoreRestored, "store_restored", "warn",
                  "The store came back from an older copy; versions are given out again."},
    EventCodeInfo{EventCode::kStoreAnswerIgnored, "store_answer_ignored", "info",
                  "An answer of the store is older than what is held."},
    EventCodeInfo{EventCode::kConfigurationTooOld, "configuration_too_old", "warn",
                  "Callers with keys were refused because the configuration is too old."},
    EventCodeInfo{EventCode::kPrimarySuspected, "primary_suspected", "warn",
                  "The steward holds the primary for failed."},
    EventCodeInfo{EventCode::kTermAllocated, "term_allocated", "info",
                  "A term was allocated in the platform's table."},
    EventCodeInfo{EventCode::kServerFenced, "server_fenced", "info",
                  "A server answered a fence request."},
    EventCodeInfo{EventCode::kPrimaryPromoted, "primary_promoted", "info",
                  "A server opened a term as its primary."},
    EventCodeInfo{EventCode::kTermComplete, "term_complete", "info",
                  "A majority of the voters holds the first entry of the term."},
    EventCodeInfo{EventCode::kPromotionFailed, "promotion_failed", "warn",
                  "A promotion did not finish; it is tried again at a greater term."},
    EventCodeInfo{EventCode::kTermLearned, "term_learned", "info",
                  "The proxy learned of a greater term and its primary."},
    EventCodeInfo{EventCode::kTermReserved, "term_reserved", "info",
                  "The steward reserved a term in advance."},
    EventCodeInfo{EventCode::kSwitchoverStarted, "switchover_started", "info",
                  "A planned change of primary began."},
    EventCodeInfo{EventCode::kReservedTermUsed, "reserved_term_used", "info",
                  "A promotion used the reserved term because the table did not answer."},
    EventCodeInfo{EventCode::kPromotionOrdered, "promotion_ordered", "info",
                  "The platform was ordered to make a server the primary."},
    EventCodeInfo{EventCode::kPrimaryLostLead, "primary_lost_lead", "info",
                  "A server that was taken for the primary does not lead."},
    EventCodeInfo{EventCode::kCommitMissing, "commit_missing", "warn",
                  "The log of a new primary ends before a commit that was acknowledged."},
    EventCodeInfo{EventCode::kTokenAnnounced, "token_announced", "info",
                  "The platform was told a fencing token, so that earlier orders are void."},
    EventCodeInfo{EventCode::kAcknowledgementsHeld, "acknowledgements_held", "info",
                  "Acknowledgements of commits are held back until a takeover has ended."},
    EventCodeInfo{EventCode::kAcknowledgementsReleased, "acknowledgements_released", "info",
                  "A takeover has ended; acknowledgements that were held back are judged."},
    EventCodeInfo{EventCode::kWriteWaited, "write_waited", "debug",
                  "A write waited for a change of primary."},
    EventCodeInfo{EventCode::kOutcomeUnknown, "outcome_unknown", "warn",
                  "A caller was told that the outcome of its work is unknown."},
    EventCodeInfo{EventCode::kTransactionAbandoned, "transaction_abandoned", "info",
                  "An idle transaction was rolled back."},
    EventCodeInfo{EventCode::kReadWentToPrimary, "read_went_to_primary", "debug",
                  "No replica could serve a read."},
    EventCodeInfo{EventCode::kRequestRefused, "request_refused", "debug",
                  "A request was refused as not run."},
    EventCodeInfo{EventCode::kStatementAnswered, "statement_answered", "info",
                  "A server answered a statement of a session."},
    EventCodeInfo{EventCode::kStatementRefused, "statement_refused", "warn",
                  "A statement was refused; nothing of the attempt is kept."},
    EventCodeInfo{EventCode::kDatabaseUnknown, "database_unknown", "info",
                  "A caller asked for a database that no route names."},
    EventCodeInfo{EventCode::kStatementForwarded, "statement_forwarded", "info",
                  "A statement went to a home proxy of its group."},
    EventCodeInfo{EventCode::kCallerDenied, "caller_denied", "warn",
                  "Callers were refused because of their keys; at most one event a second."},
    EventCodeInfo{EventCode::kEndpointUnreachable, "endpoint_unreachable", "warn",
                  "An endpoint does not answer this proxy."},
    EventCodeInfo{EventCode::kEndpointReachable, "endpoint_reachable", "info",
                  "An endpoint answers this proxy again."},
    EventCodeInfo{EventCode::kEndpointDropped, "endpoint_dropped", "info",
                  "An endpoint left the records; its connections are closed."},
    EventCodeInfo{EventCode::kEndpointListed, "endpoint_listed", "info",
                  "An endpoint appeared in the list of servers."},
    EventCodeInfo{EventCode::kEndpointLeaving, "endpoint_leaving", "info",
                  "An endpoint announced that it leaves."},
    EventCodeInfo{EventCode::kPeerUnreachable, "peer_unreachable", "warn",
                  "Another proxy does not answer; its groups are asked elsewhere."},
    EventCodeInfo{EventCode::kPeerReachable, "peer_reachable", "info",
                  "Another proxy answers again."},
    EventCodeInfo{EventCode::kAnswerRepeated, "answer_repeated", "warn",
                  "An endpoint sent answers that belong to no request; at most one event in 10 s "
                  "for each endpoint."},
    EventCodeInfo{EventCode::kQuotaRefused, "quota_refused", "info",
                  "Operations were refused because their organisation's quota is used up."},
    EventCodeInfo{EventCode::kQuotaOwned, "quota_owned", "info",
                  "The proxy became an owner of an organisation's quota."},
    EventCodeInfo{EventCode::kCallerLimited, "caller_limited", "warn",
                  "Callers exceeded a limit and were refused or closed; at most one event in 10 s "
                  "for each limit."},
    EventCodeInfo{EventCode::kMemberRemoved, "member_removed", "info",
                  "The row of a VM that is gone was removed from the members."},
};

}  // namespace

std::span<const EventCodeInfo> AllEventCodes() {
  return kEvents;
}

const EventCodeInfo& InfoOf(EventCode code) {
  const auto it = std::find_if(kEvents.begin(), kEvents.end(),
                               [code](const EventCodeInfo& info) { return info.code == code; });
  assert(it != kEvents.end());
  return *it;
}

}  // namespace cardamom
