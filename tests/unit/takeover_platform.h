// The platform of the takeover model: promotion orders, and the store with the rows that allocate
// tokens.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "failover/fence_row.h"
#include "takeover_group.h"
#include "takeover_world.h"

namespace cardamom::takeover_model {

class Platform {
 public:
  Platform(World& world, Group& group) : m_world(world), m_group(group) {}

  // Sends an order for a server, or an announcement for none. Returns its number.
  int Order(std::optional<int> server, std::uint64_t token);
  // Whether the platform accepted the order; nothing if it has not answered.
  std::optional<bool> Answer(int number) const;
  void Advance();

  int promoted() const { return m_promoted; }
  bool has_pending_orders() const { return !m_orders.empty(); }

 private:
  struct PendingOrder {
    int number = 0;
    std::optional<int> server;
    std::uint64_t token = 0;
    // When the order is accepted or rejected; once accepted, when the server is promoted.
    std::int64_t at = 0;
    bool accepted = false;
  };

  // Returns whether the order remains pending.
  bool Process(PendingOrder& order);

  World& m_world;
  Group& m_group;
  std::vector<PendingOrder> m_orders;
  std::map<int, bool> m_answers;
  std::uint64_t m_greatest_token = 0;
  int m_sent = 0;
  int m_promoted = 0;
};

// What a holder tells the proxies about the outcome of its attempt.
struct Release {
  std::uint64_t token = 0;
  // Acknowledgements of this and newer terms are valid, and those of the term before up to `base`.
  // Nothing if the holder learned of no term.
  std::optional<Term> term;
  // The log of the promoted server when it was compared; nothing if none was promoted.
  std::optional<Position> base;
};

// What the store tells proxies about the latest takeover. The token is that of `release`, whose
// other members are valid once the takeover has ended.
struct Notice {
  bool released = false;
  Release release;
};

// The notice as a proxy has read it; version 0 if there is none.
struct NoticeRow {
  StoreEra era;
  std::uint64_t version = 0;
  std::optional<Notice> notice;
};

class Store {
 public:
  struct Loaded {
    StoreEra era;
    FenceRow row;
    std::uint64_t version = 0;
    std::int64_t now_ms = 0;
    // An era other than the first one holds no row yet.
    bool history_lost = false;
    std::optional<GroupRoster> roster;
  };

  explicit Store(World& world);

  Loaded Load() const;
  // Replaces the row unless it was written since it was loaded. Returns whether the store answered
  // that it did.
  bool Replace(const Loaded& loaded, const FenceRow& row);
  // Time that a call takes.
  int Latency();

  NoticeRow LoadNotice() const { return {m_era, m_notice.version, m_notice.notice}; }
  // As Replace. Draws from the fleet's source of randomness.
  bool ReplaceNotice(const NoticeRow& followed, const Notice& notice);

  // Becomes unavailable or available again, from an older copy if `restores` allows it. Returns
  // whether it is available again.
  bool Change();
  // Carries out late writes.
  void Advance();

  bool available() const { return m_available; }
  std::int64_t unavailable_since() const { return m_unavailable_since; }
  std::int64_t available_since() const { return m_available_since; }
  StoreEra era() const { return m_era; }
  std::int64_t era_began() const { return m_era_began; }
  // Whether each token was allocated once.
  bool safe() const { return m_safe; }

 private:
  struct Row {
    FenceRow row;
    std::uint64_t version = 0;
  };
  struct Copy {
    std::int64_t taken_at = 0;
    std::map<StoreEra, Row> rows;
    std::uint64_t version = 0;
    NoticeRow notice;
  };
  struct LateWrite {
    std::int64_t at = 0;
    Loaded loaded;
    FenceRow row;
  };
  struct LateNotice {
    std::int64_t at = 0;
    std::uint64_t version = 0;
    Notice notice;
  };

  // Era of the row that holders use: without the rule, all use one row.
  StoreEra RowEra() const;
  bool Write(const Loaded& loaded, const FenceRow& row);
  bool WriteNotice(std::uint64_t version, const Notice& notice);
  void KeepCopy();
  void Restore();

  World& m_world;
  bool m_available = true;
  std::int64_t m_unavailable_since = 0;
  std::int64_t m_available_since = 0;
  StoreEra m_era;
  std::int64_t m_era_began = 0;
  std::map<StoreEra, Row> m_rows;
  std::uint64_t m_version = 0;
  std::vector<Copy> m_copies;
  std::vector<LateWrite> m_late_writes;
  NoticeRow m_notice;
  std::vector<LateNotice> m_late_notices;
  std::set<std::uint64_t> m_tokens;
  bool m_safe = true;
};

}  // namespace cardamom::takeover_model
