#include "takeover_notices.h"

#include <algorithm>
#include <utility>

namespace cardamom::takeover_model {
namespace {

// A relay confirms its copy at this interval at the latest.
constexpr int kConfirmInterval = 1600;
constexpr int kReadTime = 40;
constexpr int kSlowReadTime = 800;
// An answer soon after a restore of the store does not show that the copy is current.
constexpr std::int64_t kEraSettleTime = 1200;
// Mean number of ticks between changes of what a proxy reaches: about 4 s.
constexpr int kCutInterval = 200;

constexpr std::int64_t kPostTime = 1000;
constexpr std::int64_t kReleaseTime = 4000;
constexpr std::int64_t kRetryPause = 60;
constexpr int kWriteTime = 40;
constexpr int kSlowWriteTime = 800;

}  // namespace

StoreView::StoreView(World& world,
                     const Group& group,
                     const Store& store,
                     int index,
                     std::int64_t listed_since)
    : m_world(world), m_group(group), m_store(store), m_index(index), m_servers(ListServers()) {
  for (auto& server : m_servers) {
    if (server) {
      server->since = listed_since;
    }
  }
}

StoreView::Servers StoreView::ListServers() const {
  Servers servers;
  for (int i = 0; i < kMaxServers; ++i) {
    const auto& server = m_group.At(i);
    if (server.listed) {
      servers[static_cast<std::size_t>(i)] = {server.listed_started_ms, m_world.now(),
                                              server.leaving};
    }
  }
  return servers;
}

void StoreView::Advance() {
  if (m_world.PickForFleet(kCutInterval) == 0) {
    m_cut_off = !m_cut_off && m_world.PickForFleet(2) == 0;
    m_world.Trace("vm-{} {} the store", m_index, m_cut_off ? "does not reach" : "reaches");
  }
  if (!m_read && !m_cut_off && m_store.available() && m_world.now() >= m_read_at) {
    const bool is_slow = m_world.PickForFleet(8) == 0;
    const int time = m_world.PickForFleet(is_slow ? kSlowReadTime : kReadTime);
    m_read = {m_world.now(), m_world.now() + time, m_store.LoadNotice(), ListServers()};
  }
  if (m_read && m_world.now() >= m_read->arrives_at) {
    Adopt(*std::exchange(m_read, std::nullopt));
    m_read_at = m_world.now() + m_world.PickForFleet(kConfirmInterval);
  }
}

void StoreView::Adopt(const Read& read) {
  if (m_era && read.row.era < *m_era) {
    return;
  }
  if (!m_era || read.row.era > *m_era) {
    m_era = read.row.era;
    m_era_seen_at = m_world.now();
    m_confirmed_at.reset();
  }
  if (read.sent_at >= m_era_seen_at + kEraSettleTime) {
    m_confirmed_at = read.sent_at;
  }
  m_is_new = m_is_new || read.row.version != m_followed.version || read.row.era != m_followed.era;
  m_followed = read.row;
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    const auto before = std::exchange(m_servers[i], read.servers[i]);
    if (before && m_servers[i] && before->started_ms == m_servers[i]->started_ms) {
      m_servers[i]->since = before->since;
    }
  }
}

std::optional<Notice> StoreView::TakeNotice() {
  return std::exchange(m_is_new, false) ? m_followed.notice : std::nullopt;
}

bool StoreView::HasLease() const {
  if (m_world.IsDisabled(Rule::kAcknowledgementLease)) {
    return true;
  }
  const auto confirmed_at = m_confirmed_at ? std::optional(TimeOf(*m_confirmed_at)) : std::nullopt;
  return HasAcknowledgementLease(BootTime(), confirmed_at, TimeOf(m_world.now()));
}

bool StoreView::IsWitnessed(Position commit) const {
  if (m_world.IsDisabled(Rule::kWitness)) {
    return true;
  }
  for (int i = 0; i < kMaxServers; ++i) {
    const auto& listed = m_servers[static_cast<std::size_t>(i)];
    const auto& server = m_group.At(i);
    if (!listed || !server.up || m_world.PickForFleet(2) == 0) {
      continue;
    }
    WitnessCandidate candidate;
    candidate.is_primary = server.is_primary;
    candidate.leaving = listed->leaving;
    candidate.listed_for = Millis(m_world.now() - listed->since);
    candidate.received = server.received();
    const bool is_old_link = Millis(m_world.now() - server.since) >= kWitnessListedFor;
    if (is_old_link && IsWitnessOf(candidate, commit)) {
      m_world.Trace("s{} shows vm-{} that it has {}.{}", i, m_index, commit.term.value(),
                    commit.index.value());
      return true;
    }
  }
  return false;
}

void NoticeWriter::Post(std::uint64_t token) {
  m_is_posted.reset();
  m_posted_token = token;
  m_must_release = true;
  const Notice notice{false, {token, std::nullopt, std::nullopt}};
  m_writings.push_back({notice, m_world.now() + kPostTime, m_world.now(), std::nullopt});
}

void NoticeWriter::PostRelease(const Release& release, const NoticeRow& followed) {
  const auto& notice = followed.notice;
  const bool is_followed = notice && !notice->released && notice->release.token <= release.token;
  if (std::exchange(m_must_release, false) || is_followed) {
    m_writings.push_back(
        {{true, release}, m_world.now() + kReleaseTime, m_world.now(), std::nullopt});
  }
}

void NoticeWriter::Advance(const NoticeRow& followed) {
  std::vector<Writing> unfinished;
  for (auto& writing : m_writings) {
    const auto written = Continue(writing, followed);
    if (!written) {
      unfinished.push_back(writing);
    } else if (!writing.notice.released && writing.notice.release.token == m_posted_token) {
      m_is_posted = written;
    }
  }
  m_writings = std::move(unfinished);
}

std::optional<bool> NoticeWriter::Continue(Writing& writing, const NoticeRow& followed) {
  if (writing.sent && m_world.now() >= writing.next_at) {
    const auto sent = *std::exchange(writing.sent, std::nullopt);
    if (m_store.ReplaceNotice(sent, writing.notice)) {
      return true;
    }
    writing.next_at = m_world.now() + kRetryPause;
  }
  if (m_world.now() >= writing.deadline) {
    return false;
  }
  if (writing.sent || m_world.now() < writing.next_at) {
    return std::nullopt;
  }
  const auto token = writing.notice.release.token;
  const auto& held = followed.notice;
  if (held && held->release.token > token) {
    return false;
  }
  if (held && held->release.token == token && (held->released || !writing.notice.released)) {
    return held->released == writing.notice.released;
  }
  const bool is_slow = m_world.options().slow_store && m_world.PickForFleet(6) == 0;
  writing.next_at = m_world.now() + m_world.PickForFleet(is_slow ? kSlowWriteTime : kWriteTime);
  writing.sent = followed;
  return std::nullopt;
}

}  // namespace cardamom::takeover_model
