// Notices of takeovers in the store, for proxies that the holder of a token does not reach.
//
// The notices are rows of the table of members, since every proxy follows it and knows how current
// its copy is: that is what a proxy's lease rests on, see failover/acknowledgement_lease.h.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "async/notifier.h"
#include "core/json.h"
#include "directory/table_follower.h"
#include "failover/acknowledgement_hold.h"
#include "gateway/gateway_context.h"

namespace cardamom {

// The latest takeover of a group. A value type.
struct TakeoverNotice {
  std::string group;
  std::uint64_t token = 0;
  // The takeover has ended; see HoldRelease for the members that follow.
  bool released = false;
  Term term;
  std::optional<Position> base;
};
BOOST_DESCRIBE_STRUCT(TakeoverNotice, (), (group, token, released, term, base))

// Not thread safe: all use is on the thread of the context.
class TakeoverNotices {
 public:
  // `table` accesses the store directly; `members` follows the table of members. The references
  // must outlive the object and its calls.
  TakeoverNotices(GatewayContext& context, TablePort table, const TableFollower& members);

  // Applies the notices among the followed rows to the gates of their groups, each once. To be
  // called after each change of the rows.
  void AdoptRows();

  // Writes that a takeover with `token` is under way. Returns false if the store has not confirmed
  // it by `deadline`, or has a notice of a greater token.
  asio::awaitable<bool> Post(GroupId group, std::uint64_t token, TimePoint deadline);

  // Starts to write that the takeover has ended, if the followed rows or an earlier call of Post
  // show that one of its token or a lower one is under way. Gives up after 30 s.
  void PostRelease(const GroupId& group, const HoldRelease& release);

 private:
  // The notice among the followed rows, and the version of its row; version 0 if there is none.
  struct Followed {
    std::optional<TakeoverNotice> notice;
    StoreVersion version;
  };
  Followed Find(const GroupId& group) const;
  // Replaces the notice of a group unless it is of a greater token.
  asio::awaitable<bool> Write(TakeoverNotice notice, TimePoint deadline);

  GatewayContext& m_context;
  const TablePort m_table;
  const TableFollower& m_members;
  // Positions of the rows that were applied, by key.
  std::map<std::string, StorePosition> m_adopted;
  // Tokens of the notices that this proxy began to write, by group.
  std::map<GroupId, std::uint64_t> m_posted;
  Notifier m_changed;
};

}  // namespace cardamom
