// Accepts changes of group records, the only way to change the configuration.
#pragma once

#include <string>

#include "proxy/config_follower.h"

namespace cardamom {

enum class RecordAction { kSubmit, kReplace, kWithdraw };

// An operator's change of one record.
struct RecordChange {
  RecordAction action = RecordAction::kSubmit;
  GroupId group;
  // Identifies the change; the same change sent twice takes effect once.
  std::string change_id;
  // For kReplace and kWithdraw: the revision of the record that the operator saw; the change is
  // refused if the record has changed since.
  Revision expected;
  // Text of the new record; unused by kWithdraw.
  std::string record;
};

// Thread safe; holds no state of its own. Precondition: calling coroutines run on a strand.
class RecordService {
 public:
  // The arguments must outlive this object.
  RecordService(ProxyContext& context, PlatformClient& platform, ConfigFollower& config)
      : m_context(context), m_platform(platform), m_config(config) {}

  // Stores the change and returns a revision that contains it. Errors: kRecordInvalid,
  // kSchemaUnknown, kRecordExists, kRecordNotFound, kRevisionConflict, kPlatformUnavailable; `ran`
  // is Ran::kUnknown if the change may have been accepted.
  asio::awaitable<Outcome<Revision>> Apply(RecordChange change, TimePoint deadline);

 private:
  // The rows of the platform's table that a change depends on; version 0 if a row is absent.
  struct CurrentRows {
    RevisionRow revision;
    std::uint64_t revision_version = 0;
    std::optional<StoredRecord> record;
    std::uint64_t record_version = 0;
    // Voters of the terms that may still be in use.
    std::vector<EndpointId> voters;
    std::uint64_t term_version = 0;
  };

  asio::awaitable<Outcome<CurrentRows>> LoadCurrentRows(const GroupId& group, TimePoint deadline);
  // A stored record that cannot be parsed is replaced by the one in force for the check.
  std::optional<Error> CheckAgainstCurrent(const RecordChange& change,
                                           const CurrentRows& current) const;

  ProxyContext& m_context;
  PlatformClient& m_platform;
  ConfigFollower& m_config;
};

}  // namespace cardamom
