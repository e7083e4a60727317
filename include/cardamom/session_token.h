// The token that a session carries from proxy to proxy, so that its reads include what it has seen.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "cardamom/error.h"
#include "cardamom/strong.h"

namespace cardamom {

// The latest log position that a session has seen, for each group. A value type; distinct objects
// may be used from distinct threads.
class SessionToken {
 public:
  // Maximum number of groups in a token; the least recently used one is dropped first.
  static constexpr std::size_t kMaxGroups = 16;

  SessionToken() = default;

  // Parses a token that Format made with the same key. Errors: kBadToken (malformed, or not signed
  // with `key`), kForeignToken (a token version that this proxy does not support).
  static LeafResult<SessionToken> Parse(std::string_view text, std::string_view key);

  // Returns the token as opaque text, signed with `key`.
  std::string Format(std::string_view key) const;

  // The position that a read of a group has to include. `has_position` is false for a group
  // that the session has not used, or that was dropped.
  struct Requirement {
    bool has_position = false;
    Position position;
  };
  Requirement RequirementFor(const GroupId& group) const;

  // Records that the session has used `group` and seen `position`. Never lowers the position.
  void Advance(const GroupId& group, Position position);

  // Number of groups in the token.
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    Position position;
    // Value of m_use_count at the last use of the group.
    std::uint64_t last_use = 0;
  };

  std::uint64_t m_use_count = 0;
  std::map<GroupId, Entry> m_entries;
};

}  // namespace cardamom
