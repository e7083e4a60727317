// What the proxies of the takeover model read of the store, and how holders write to it that a
// takeover is under way or has ended: src/fleet/takeover_notices.h, with the leases that rest on
// it.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "cardamom/strong.h"
#include "failover/acknowledgement_lease.h"
#include "takeover_group.h"
#include "takeover_platform.h"
#include "takeover_world.h"

namespace cardamom::takeover_model {

// One proxy's copy of the notice and of the server list. The proxy may be cut off from the store.
class StoreView {
 public:
  // `listed_since`: when the process began to see the servers that are listed now.
  StoreView(World& world,
            const Group& group,
            const Store& store,
            int index,
            std::int64_t listed_since);

  void Advance();
  // The notice, once after each change.
  std::optional<Notice> TakeNotice();
  const NoticeRow& followed() const { return m_followed; }

  bool HasLease() const;
  // Asks some of the servers whether one is a witness of all commits up to `commit`.
  bool IsWitnessed(Position commit) const;

 private:
  struct Listed {
    std::int64_t started_ms = 0;
    std::int64_t since = 0;
    bool leaving = false;
  };
  using Servers = std::array<std::optional<Listed>, kMaxServers>;
  struct Read {
    std::int64_t sent_at = 0;
    std::int64_t arrives_at = 0;
    NoticeRow row;
    Servers servers;
  };

  Servers ListServers() const;
  void Adopt(const Read& read);
  BootTime TimeOf(std::int64_t at) const { return BootTime(Millis(at)); }

  World& m_world;
  const Group& m_group;
  const Store& m_store;
  const int m_index;
  bool m_cut_off = false;
  std::int64_t m_read_at = 0;
  std::optional<Read> m_read;
  NoticeRow m_followed;
  bool m_is_new = false;
  Servers m_servers;
  std::optional<StoreEra> m_era;
  std::int64_t m_era_seen_at = 0;
  std::optional<std::int64_t> m_confirmed_at;
};

// Writes the notices of one holder.
class NoticeWriter {
 public:
  NoticeWriter(World& world, Store& store) : m_world(world), m_store(store) {}

  void Post(std::uint64_t token);
  // Nothing until it is known whether the notice was written.
  std::optional<bool> is_posted() const { return m_is_posted; }
  void PostRelease(const Release& release, const NoticeRow& followed);
  void Advance(const NoticeRow& followed);

 private:
  struct Writing {
    Notice notice;
    std::int64_t deadline = 0;
    std::int64_t next_at = 0;
    // The row that a call under way replaces.
    std::optional<NoticeRow> sent;
  };

  // Whether the notice was written; nothing while that is not known.
  std::optional<bool> Continue(Writing& writing, const NoticeRow& followed);

  World& m_world;
  Store& m_store;
  std::vector<Writing> m_writings;
  std::uint64_t m_posted_token = 0;
  std::optional<bool> m_is_posted;
  bool m_must_release = false;
};

}  // namespace cardamom::takeover_model
