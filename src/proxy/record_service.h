// Accepts records: the only way to change anything.
#pragma once

#include <string>

#include "proxy/config_follower.h"

namespace cardamom {

enum class RecordAction { kSubmit, kReplace, kWithdraw };

// An operator's change.
struct RecordChange {
  RecordAction action = RecordAction::kSubmit;
  GroupId group;
  // Identifies the change; the same change sent twice takes effect once.
  std::string change_id;
  // The revision of the record that a replacement or withdrawal saw.
  Revision expected;
  std::string record;
};

// Thread safe; holds no state of its own.
class RecordService {
 public:
  RecordService(ProxyContext& context, PlatformClient& platform, ConfigFollower& config)
      : m_context(context), m_platform(platform), m_config(config) {}

  // Returns the revision at which the change is in force. Errors: kRecordInvalid, kSchemaUnknown,
  // kRecordExists, kRecordNotFound, kRevisionConflict, kPlatformUnavailable; `ran` says whether the
  // change may have been accepted.
  asio::awaitable<Outcome<Revision>> Apply(RecordChange change, TimePoint deadline);

 private:
  // The rows that a change depends on.
  struct Current {
    RevisionRow revision;
    std::uint64_t revision_version = 0;
    std::optional<StoredRecord> record;
    std::uint64_t record_version = 0;
    // Voters of the terms that may still be in use.
    std::vector<EndpointId> voters;
    std::uint64_t term_version = 0;
  };

  asio::awaitable<Outcome<Current>> Load(const GroupId& group, TimePoint deadline);
  static std::optional<Error> Check(const RecordChange& change, const Current& current);

  ProxyContext& m_context;
  PlatformClient& m_platform;
  ConfigFollower& m_config;
};

}  // namespace cardamom
