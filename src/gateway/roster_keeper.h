// Keeps the roster in the fence row of each group up to date.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "directory/table_port.h"
#include "gateway/fence_store.h"
#include "gateway/group_client.h"

namespace cardamom {

// What the rest of the proxy tells the keeper.
struct RosterHooks {
  // Whether this proxy is the one that records the roster of `group`.
  std::function<bool(const GroupId& group)> is_owner;
  std::function<bool()> is_store_available;
  // Era of the store in its latest answer.
  std::function<StoreEra()> store_era;
};

// Not thread safe: all use is on the thread of `context`, which must outlive the object.
class RosterKeeper {
 public:
  RosterKeeper(GatewayContext& context, TablePort table, RosterHooks hooks);

  // Starts to record the roster of `group` if this proxy is its owner and knows that the recorded
  // one is out of date. May be called on every tick: the store and the servers are asked at most
  // once in 1 s. Returns whether a write is in progress.
  bool Maintain(const std::shared_ptr<GroupClient>& group);

 private:
  struct State {
    // The roster in the row when this process last read or wrote it, and the era and the last token
    // of that row. The holder of a later token may have added servers.
    std::optional<GroupRoster> recorded;
    StoreEra era;
    std::uint64_t token = 0;
    TimePoint next_attempt_at;
    bool running = false;
  };

  // Whether the row holds the recorded roster still, as far as this process knows.
  bool IsRowUnchanged(const State& state, const GroupClient& group) const;
  bool IsDue(const State& state, const GroupClient& group) const;
  asio::awaitable<void> Record(std::shared_ptr<GroupClient> group);
  // Whether `row` was replaced by one with the roster.
  asio::awaitable<bool> Write(std::shared_ptr<GroupClient> group,
                              LoadedFenceRow loaded,
                              GroupRoster roster);
  void SetRecorded(const GroupId& group, const LoadedFenceRow& loaded);

  GatewayContext& m_context;
  const FenceStore m_fences;
  const RosterHooks m_hooks;
  std::map<GroupId, State> m_states;
};

}  // namespace cardamom
