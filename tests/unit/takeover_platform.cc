#include "takeover_platform.h"

#include <algorithm>

namespace cardamom::takeover_model {
namespace {

constexpr int kMinPromotion = 300;
constexpr int kMaxPromotion = 1000;
constexpr int kMaxOrderDelay = 12'000;
constexpr int kMaxCopyAge = 9000;
constexpr int kMaxWriteDelay = 5000;
constexpr int kStoreTimeout = 800;

}  // namespace

int Platform::Order(std::optional<int> server, std::uint64_t token) {
  const auto& options = m_world.options();
  const bool in_time = options.slow_platform ? m_world.OneIn(5) : !m_world.OneIn(3);
  const bool late = options.delayed_orders && !in_time;
  const auto delay = m_world.Pick(late ? kMaxOrderDelay : 60);
  m_orders.push_back({++m_sent, server, token, m_world.now() + delay, false});
  return m_sent;
}

std::optional<bool> Platform::Answer(int number) const {
  const auto it = m_answers.find(number);
  return it == m_answers.end() ? std::nullopt : std::optional(it->second);
}

void Platform::Advance() {
  for (std::size_t i = 0; i < m_orders.size();) {
    if (m_world.now() >= m_orders[i].at && !Process(m_orders[i])) {
      m_orders.erase(m_orders.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
}

bool Platform::Process(PendingOrder& order) {
  if (order.accepted) {
    if (m_group.At(*order.server).up) {
      m_world.Trace("the order of token {} is carried out", order.token);
      m_group.Promote(*order.server);
      ++m_promoted;
    }
    return false;
  }
  const bool fenced = order.token < m_greatest_token && !m_world.IsDisabled(Rule::kFencingToken);
  m_greatest_token = std::max(m_greatest_token, order.token);
  const bool runs = order.server && m_group.At(*order.server).up;
  const bool answered = !m_world.OneIn(8);
  if (answered) {
    m_answers[order.number] = !fenced && runs;
  }
  m_world.Trace("the platform {} token {} for {}", fenced || !runs ? "rejects" : "accepts",
                order.token, order.server ? fmt::format("s{}", *order.server) : "no server");
  if (fenced || !runs || m_group.At(*order.server).is_primary) {
    return false;
  }
  order.accepted = true;
  order.at = m_world.now() + kMinPromotion + m_world.Pick(kMaxPromotion - kMinPromotion);
  return true;
}

Store::Store(World& world) : m_world(world) {
  if (!world.options().fleet_restarts) {
    return;
  }
  // The roster was recorded before the walk begins; a copy is not older than that.
  FenceRow row;
  row.roster = GroupRoster();
  for (int i = 0; i < kServersAtStart; ++i) {
    row.roster->servers.push_back({IdOf(i), 1});
  }
  m_rows[StoreEra()] = {row, ++m_version};
  m_copies.push_back({0, m_rows, m_version, m_notice});
}

StoreEra Store::RowEra() const {
  return m_world.IsDisabled(Rule::kTokensGrowOverEras) ? StoreEra() : m_era;
}

Store::Loaded Store::Load() const {
  const auto era = RowEra();
  std::vector<FenceRow> latest_first;
  for (auto it = m_rows.rbegin(); it != m_rows.rend(); ++it) {
    latest_first.push_back(it->second.row);
  }
  const auto roster = FindLatestRoster(latest_first);
  const auto it = m_rows.find(era);
  if (it == m_rows.end()) {
    return {era, InitialFenceRow(era), 0, m_world.now(), era > StoreEra(), roster};
  }
  return {era, it->second.row, it->second.version, m_world.now(), false, roster};
}

bool Store::Write(const Loaded& loaded, const FenceRow& row) {
  const auto it = m_rows.find(loaded.era);
  const auto version = it == m_rows.end() ? 0 : it->second.version;
  if (version != loaded.version) {
    return false;
  }
  m_rows[loaded.era] = {row, ++m_version};
  KeepCopy();
  return true;
}

void Store::KeepCopy() {
  if (m_world.options().restores) {
    m_copies.push_back({m_world.now(), m_rows, m_version, m_notice});
  }
}

// A write that was prepared in an earlier era may find its version given out again.
bool Store::WriteNotice(std::uint64_t version, const Notice& notice) {
  if (version != m_notice.version) {
    return false;
  }
  m_notice.version = ++m_version;
  m_notice.notice = notice;
  KeepCopy();
  m_world.Trace("the store has a notice of token {}{}", notice.release.token,
                notice.released ? ", which has ended" : "");
  return true;
}

bool Store::ReplaceNotice(const NoticeRow& followed, const Notice& notice) {
  if (!m_available) {
    return false;
  }
  if (m_world.options().slow_store && m_world.PickForFleet(12) == 0) {
    const auto delay = m_world.PickForFleet(kMaxWriteDelay);
    m_late_notices.push_back({m_world.now() + delay, followed.version, notice});
    return false;
  }
  return WriteNotice(followed.version, notice) && followed.era == m_era;
}

bool Store::Replace(const Loaded& loaded, const FenceRow& row) {
  if (!m_available) {
    return false;
  }
  if (m_world.options().slow_store && m_world.OneIn(12)) {
    const auto delay = m_world.Pick(kMaxWriteDelay);
    m_late_writes.push_back({m_world.now() + delay, loaded, row});
    return false;
  }
  // The answer names the era in which the write was carried out.
  const bool written = Write(loaded, row) && loaded.era == RowEra();
  if (written && row.token != loaded.row.token && !m_tokens.insert(row.token).second) {
    m_world.Trace("token {} is allocated TWICE", row.token);
    m_safe = false;
  }
  return written;
}

int Store::Latency() {
  const bool slow = m_world.options().slow_store && m_world.OneIn(6);
  return m_world.Pick(slow ? kStoreTimeout : 40);
}

bool Store::Change() {
  if (m_available) {
    if (m_world.OneIn(4)) {
      m_available = false;
      m_unavailable_since = m_world.now();
      m_world.Trace("the store is unavailable");
    }
    return false;
  }
  if (m_world.OneIn(2)) {
    return false;
  }
  m_available = true;
  m_available_since = m_world.now();
  if (m_world.options().restores && m_world.OneIn(2)) {
    Restore();
  }
  m_world.Trace("the store is available, era {}", m_era.value());
  return true;
}

void Store::Restore() {
  const auto taken_at = m_world.now() - m_world.Pick(kMaxCopyAge);
  Copy restored;
  for (const auto& copy : m_copies) {
    if (copy.taken_at <= taken_at) {
      restored = copy;
    }
  }
  m_rows = std::move(restored.rows);
  m_version = restored.version;
  m_notice = std::move(restored.notice);
  m_era = StoreEra(m_era.value() + 1);
  m_era_began = m_world.now();
  m_copies.push_back({m_world.now(), m_rows, m_version, m_notice});
}

void Store::Advance() {
  if (!m_available) {
    return;
  }
  std::erase_if(m_late_writes, [this](const LateWrite& write) {
    if (m_world.now() < write.at) {
      return false;
    }
    const bool written = Write(write.loaded, write.row);
    m_world.Trace("late write of token {}: {}", write.row.token, written ? "done" : "no effect");
    return true;
  });
  std::erase_if(m_late_notices, [this](const LateNotice& late) {
    const bool due = m_world.now() >= late.at;
    if (due) {
      WriteNotice(late.version, late.notice);
    }
    return due;
  });
}

}  // namespace cardamom::takeover_model
