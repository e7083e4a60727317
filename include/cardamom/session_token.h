// The token that carries a session's consistency from proxy to proxy.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "cardamom/error.h"
#include "cardamom/strong.h"

namespace cardamom {

// What a session has seen, a position for each group. A value type; distinct objects may be used
// from distinct threads.
class SessionToken {
 public:
  // Groups that a token names at most; the longest unused one is dropped first.
  static constexpr std::size_t kMaxGroups = 16;

  SessionToken() = default;

  // Reads a token that Format made with the same key. Errors: kBadToken, kForeignToken.
  static Checked<SessionToken> Parse(std::string_view text, std::string_view key);

  // Opaque text, signed with `key`.
  std::string Format(std::string_view key) const;

  // What a read of `group` has to see. `known` is false for a group that the session has not used,
  // or that was dropped.
  struct Need {
    bool known = false;
    Position position;
  };
  Need NeedOf(const GroupId& group) const;

  // Notes that the session has seen `position`; positions only grow.
  void Advance(const GroupId& group, Position position);

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    Position position;
    std::uint64_t used = 0;
  };

  std::uint64_t m_uses = 0;
  std::map<GroupId, Entry> m_entries;
};

}  // namespace cardamom
