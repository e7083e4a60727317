#include "proxy/record_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "failover/term_row.h"
#include "proxy/term_store.h"

namespace cardamom {
namespace {

constexpr std::size_t kMaxRecentChanges = 256;
constexpr Millis kAnswerTimeout{500};
constexpr Millis kRetryDelay{5};

std::string RecordKey(const GroupId& group) {
  return kRecordPrefix + group.value();
}

std::optional<Error> CheckText(const RecordChange& change) {
  if (change.action == RecordAction::kWithdraw) {
    return std::nullopt;
  }
  const auto check = ParseRecord(change.record);
  if (check.record && check.record->group == change.group) {
    return std::nullopt;
  }
  if (check.record) {
    return Error{ResultCode::kRecordInvalid, "/group: differs from the group of the request"};
  }
  std::string detail;
  for (const auto& problem : check.problems) {
    detail += fmt::format("{}{}: {}", detail.empty() ? "" : "; ", problem.path, problem.message);
  }
  return Error{check.schema_unknown ? ResultCode::kSchemaUnknown : ResultCode::kRecordInvalid,
               detail};
}

}  // namespace

asio::awaitable<Outcome<RecordService::CurrentRows>> RecordService::LoadCurrentRows(
    const GroupId& group,
    TimePoint deadline) {
  TableReadRequest request;
  request.keys.emplace_back(kRevisionKey);
  request.keys.push_back(RecordKey(group));
  request.keys.push_back(TermRowKey(group));
  const auto answer = co_await m_platform.Read(std::move(request), deadline);
  if (!answer) {
    co_return answer.error();
  }
  CurrentRows current;
  for (const auto& row : answer->rows) {
    if (row.version == 0) {
      continue;
    }
    if (row.key == kRevisionKey) {
      auto revision = DecodeJson<RevisionRow>(row.value);
      if (!revision) {
        co_return Error{ResultCode::kPlatformUnavailable, revision.error().detail};
      }
      current.revision = std::move(*revision);
      current.revision_version = row.version;
    } else if (row.key == RecordKey(group)) {
      auto record = DecodeJson<StoredRecord>(row.value);
      // A malformed row has revision 0, as DecodeSnapshot shows it, so that it can be replaced.
      current.record =
          record && record->group == group ? std::move(*record) : StoredRecord{group, {}, {}, {}};
      current.record_version = row.version;
    } else {
      auto terms = DecodeJson<TermRow>(row.value);
      if (!terms) {
        co_return Error{ResultCode::kPlatformUnavailable, terms.error().detail};
      }
      current.term_version = row.version;
      for (const auto& allocation : terms->allocations) {
        current.voters.insert(current.voters.end(), allocation.voters.begin(),
                              allocation.voters.end());
      }
    }
  }
  co_return current;
}

std::optional<Error> RecordService::CheckAgainstCurrent(const RecordChange& change,
                                                        const CurrentRows& current) const {
  if (change.action == RecordAction::kSubmit) {
    if (current.record) {
      return Error{ResultCode::kRecordExists, "the group has a record; use replace"};
    }
    return std::nullopt;
  }
  if (!current.record) {
    return Error{ResultCode::kRecordNotFound, "the group has no record"};
  }
  if (current.record->revision != change.expected) {
    return Error{ResultCode::kRevisionConflict, fmt::format("the record changed at revision {}",
                                                            current.record->revision.value())};
  }
  if (change.action == RecordAction::kWithdraw) {
    return std::nullopt;
  }
  const auto new_record = ParseRecord(change.record);
  auto current_record = ParseRecord(current.record->record).record;
  if (!current_record || current_record->group != change.group) {
    const auto in_force = m_config.records();
    const auto it = in_force.find(change.group);
    if (it == in_force.end()) {
      return std::nullopt;
    }
    current_record = it->second;
  }
  for (const auto& endpoint : current_record->endpoints) {
    const bool is_voter = std::find(current.voters.begin(), current.voters.end(), endpoint.id) !=
                          current.voters.end();
    const auto* new_endpoint = new_record.record->FindEndpoint(endpoint.id);
    if (new_endpoint == nullptr && is_voter) {
      // Without this voter, a later promotion may not reach the majority that it needs.
      return Error{ResultCode::kRecordInvalid,
                   fmt::format("/endpoints: {} still votes; mark it leaving first and wait until "
                               "the group has moved on",
                               endpoint.id.value())};
    }
    if (new_endpoint != nullptr && is_voter && new_endpoint->address != endpoint.address) {
      return Error{ResultCode::kRecordInvalid,
                   fmt::format("/endpoints: the address of {} cannot change while it votes",
                               endpoint.id.value())};
    }
  }
  return std::nullopt;
}

asio::awaitable<Outcome<Revision>> RecordService::Apply(RecordChange change, TimePoint deadline) {
  if (auto invalid = CheckText(change)) {
    co_return *invalid;
  }
  bool may_have_run = false;
  for (;;) {
    const auto current =
        co_await LoadCurrentRows(change.group, std::min(deadline, Clock::now() + kAnswerTimeout));
    if (!current && Clock::now() < deadline) {
      co_await Sleep(kRetryDelay);
      continue;
    }
    if (!current) {
      co_return Error{current.error().code, current.error().detail,
                      may_have_run ? Ran::kUnknown : Ran::kNo};
    }
    if (current->revision.revision < m_config.RevisionStatus().revision) {
      // The store lacks changes in force. The relays write them back.
      if (Clock::now() >= deadline) {
        co_return Error{ResultCode::kPlatformUnavailable, "the store lacks confirmed changes",
                        may_have_run ? Ran::kUnknown : Ran::kNo};
      }
      co_await Sleep(kRetryDelay);
      continue;
    }
    const auto& recent_changes = current->revision.recent_changes;
    if (std::find(recent_changes.begin(), recent_changes.end(), change.change_id) !=
        recent_changes.end()) {
      co_return current->revision.revision;
    }
    if (auto refused = CheckAgainstCurrent(change, *current)) {
      co_return *refused;
    }
    const Revision next_revision(current->revision.revision.value() + 1);
    RevisionRow row{next_revision, recent_changes};
    row.recent_changes.push_back(change.change_id);
    if (row.recent_changes.size() > kMaxRecentChanges) {
      row.recent_changes.erase(row.recent_changes.begin());
    }
    TransactRequest request;
    request.expect.push_back({kRevisionKey, current->revision_version});
    request.expect.push_back({RecordKey(change.group), current->record_version});
    // A term allocated since the rows were read may have voters that the change removes.
    request.expect.push_back({TermRowKey(change.group), current->term_version});
    request.puts.push_back({kRevisionKey, EncodeJson(row)});
    if (change.action == RecordAction::kWithdraw) {
      request.deletes.push_back(RecordKey(change.group));
    } else {
      request.puts.push_back(
          {RecordKey(change.group),
           EncodeJson(StoredRecord{change.group, next_revision, change.change_id, change.record})});
    }
    const auto answer = co_await m_platform.Transact(
        std::move(request), std::min(deadline, Clock::now() + kAnswerTimeout));
    if (answer && answer->applied) {
      m_context.events.Emit(
          EventCode::kRecordSubmitted,
          {.group = change.group, .detail = "revision " + std::to_string(next_revision.value())});
      m_config.ObserveRevision(next_revision);
      co_return next_revision;
    }
    may_have_run = may_have_run || !answer;
    if (Clock::now() >= deadline) {
      co_return Error{ResultCode::kPlatformUnavailable, "no answer before the deadline",
                      may_have_run ? Ran::kUnknown : Ran::kNo};
    }
    co_await Sleep(kRetryDelay);
  }
}

}  // namespace cardamom
