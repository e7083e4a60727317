#include "proxy/config_follower.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kAnswerTimeout{400};
constexpr Millis kVmListInterval{1000};
// Used once the list contains this VM, since changes are rare from then on.
constexpr Millis kVmListIntervalWhenListed{5000};
// A greater age in an answer of a peer counts as this one; it could overflow when subtracted from a
// time.
constexpr Millis kMaxConfirmedAge = std::chrono::hours(24);
constexpr std::size_t kMaxPeersAsked = 3;
constexpr std::size_t kMaxPeerContacts = 9;

}  // namespace

TableReadRequest MakeSnapshotRequest() {
  TableReadRequest request;
  request.keys.emplace_back(kRevisionKey);
  request.prefixes.emplace_back(kRecordPrefix);
  return request;
}

Outcome<ConfigSnapshot> DecodeSnapshot(const TableReadAnswer& answer) {
  ConfigSnapshot snapshot;
  snapshot.era = answer.era;
  for (const auto& row : answer.rows) {
    if (row.key == kRevisionKey) {
      if (row.version != 0) {
        const auto revision = DecodeJson<RevisionRow>(row.value);
        if (!revision) {
          return revision.error();
        }
        snapshot.revision = revision->revision;
      }
      continue;
    }
    auto record = DecodeJson<StoredRecord>(row.value);
    const auto group = row.key.substr(std::min(row.key.size(), std::strlen(kRecordPrefix)));
    if (!record || record->group.value() != group) {
      // Another writer's row must not keep the other groups from following the configuration. Its
      // text is no record, so the group's last record that was understood stays in force.
      record = StoredRecord{GroupId(group), {}, {}, {}};
    }
    snapshot.records.push_back(std::move(*record));
  }
  return snapshot;
}

std::optional<TimePoint> ConfirmedAt(const RevisionAnswer& answer, TimePoint request_sent_at) {
  // A negative age would confirm the revision for times to come.
  if (answer.confirmed_age_ms < 0) {
    return std::nullopt;
  }
  const auto age = std::min<std::int64_t>(answer.confirmed_age_ms, kMaxConfirmedAge.count());
  return request_sent_at - Millis(age);
}

ConfigFollower::ConfigFollower(ProxyContext& context,
                               PlatformClient& platform,
                               PeerClient& peers,
                               Membership& membership,
                               ChangeHook on_change)
    : m_context(context),
      m_platform(platform),
      m_peers(peers),
      m_membership(membership),
      m_on_change(std::move(on_change)) {}

void ConfigFollower::Start() {
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Run(); });
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await PollVmList(); });
}

std::map<GroupId, GroupRecord> ConfigFollower::records() const {
  const std::lock_guard lock(m_mutex);
  return m_state.records();
}

ConfigSnapshot ConfigFollower::snapshot() const {
  const std::lock_guard lock(m_mutex);
  return m_state.snapshot();
}

RevisionAnswer ConfigFollower::RevisionStatus() const {
  const std::lock_guard lock(m_mutex);
  return {m_state.revision(), ToMillis(Clock::now() - m_confirmed_at).count()};
}

bool ConfigFollower::IsReady() const {
  const std::lock_guard lock(m_mutex);
  const auto limit = Millis(m_context.settings.config_stale_ms);
  const auto now = Clock::now();
  if (m_state.IsFresh(now, limit)) {
    return true;
  }
  // While the platform is unavailable, no new configuration can be accepted. It is then sufficient
  // that most of the peers asked last answered, since they would report a greater revision.
  const auto answered =
      static_cast<std::size_t>(std::count(m_peer_contacts.begin(), m_peer_contacts.end(), true));
  return m_state.revision() != cardamom::Revision() && m_state.IsCurrent(now, limit) &&
         !m_peer_contacts.empty() && 2 * answered > m_peer_contacts.size();
}

bool ConfigFollower::IsBehind() const {
  const std::lock_guard lock(m_mutex);
  return m_state.latest_observed_revision() > m_state.revision();
}

void ConfigFollower::ObserveRevision(cardamom::Revision revision) {
  bool behind = false;
  {
    const std::lock_guard lock(m_mutex);
    m_state.ObserveRevision(revision, Clock::now());
    behind = m_state.latest_observed_revision() > m_state.revision();
  }
  if (behind) {
    m_wakeup.NotifyAll();
  }
}

void ConfigFollower::Confirm(cardamom::Revision revision, TimePoint at) {
  const std::lock_guard lock(m_mutex);
  m_state.Confirm(revision, at);
  m_confirmed_at = std::max(m_confirmed_at, at);
}

void ConfigFollower::Adopt(const ConfigSnapshot& snapshot) {
  ConfigState::AdoptResult result;
  {
    const std::lock_guard lock(m_mutex);
    result = m_state.Adopt(snapshot);
  }
  if (!result.adopted) {
    return;
  }
  m_context.events.Emit(EventCode::kConfigAdopted,
                        {.detail = "revision " + std::to_string(snapshot.revision.value())});
  for (const auto& group : result.unreadable_groups) {
    m_context.events.Emit(EventCode::kRecordNotUnderstood, {.group = group});
  }
  m_context.metrics.SetGauge("config_revision", static_cast<double>(snapshot.revision.value()));
  m_context.metrics.SetGauge("records_not_understood",
                             static_cast<double>(result.unreadable_groups.size()));
  m_on_change();
}

void ConfigFollower::RecordPlatformResult(bool answered) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_platform_reachable == answered) {
      return;
    }
    m_platform_reachable = answered;
  }
  m_context.events.Emit(answered ? EventCode::kPlatformReachable : EventCode::kPlatformUnreachable);
}

void ConfigFollower::RecordPeerContact(bool answered) {
  const std::lock_guard lock(m_mutex);
  m_peer_contacts.push_back(answered);
  if (m_peer_contacts.size() > kMaxPeerContacts) {
    m_peer_contacts.pop_front();
  }
}

asio::awaitable<void> ConfigFollower::Run() {
  bool peers_asked = false;
  while (!m_stopped) {
    if (!peers_asked && m_membership.vms().size() > 1) {
      // Peers may hold changes that a store lacks that came back from an older copy.
      peers_asked = true;
      co_await PollPeers();
    }
    const auto relays = static_cast<std::size_t>(m_context.settings.relays_per_domain);
    const bool is_relay = m_membership.IsRelay(relays);
    bool answered = false;
    if (!is_relay) {
      answered = co_await PollRelays();
    }
    if (!answered) {
      answered = co_await PollPlatform();
    }
    if (!answered) {
      co_await PollPeers();
    }
    if (IsBehind()) {
      // The source that reported the greater revision may have stopped since.
      co_await FetchFromPlatform();
    }
    co_await m_wakeup.WaitUntil([this] { return m_stopped || IsBehind(); },
                                Clock::now() + Millis(m_context.settings.config_poll_ms));
    if (IsBehind()) {
      co_await Sleep(Millis(5));
    }
  }
}

asio::awaitable<bool> ConfigFollower::PollPlatform() {
  const auto request_sent_at = Clock::now();
  TableReadRequest request;
  request.keys.emplace_back(kRevisionKey);
  const auto answer =
      co_await m_platform.Read(std::move(request), request_sent_at + kAnswerTimeout);
  RecordPlatformResult(answer.has_value());
  if (!answer) {
    co_return false;
  }
  const auto snapshot = DecodeSnapshot(*answer);
  if (!snapshot) {
    co_return false;
  }
  if (HasStoreLostChanges(*snapshot)) {
    co_return co_await WriteBack();
  }
  Confirm(snapshot->revision, request_sent_at);
  bool up_to_date = false;
  {
    const std::lock_guard lock(m_mutex);
    up_to_date =
        m_state.IsCurrent(request_sent_at, Millis(0)) && m_state.revision() == snapshot->revision;
  }
  if (!up_to_date) {
    co_return co_await FetchFromPlatform();
  }
  co_return true;
}

bool ConfigFollower::HasStoreLostChanges(const ConfigSnapshot& read) const {
  const std::lock_guard lock(m_mutex);
  return m_state.HasStoreLostChanges(read);
}

asio::awaitable<bool> ConfigFollower::WriteBack() {
  const auto request_sent_at = Clock::now();
  const auto stored =
      co_await m_platform.Read(MakeSnapshotRequest(), request_sent_at + kAnswerTimeout);
  if (!stored) {
    co_return false;
  }
  const auto present = DecodeSnapshot(*stored);
  if (!present || !HasStoreLostChanges(*present)) {
    co_return present.has_value();
  }
  const auto lost = snapshot();
  RevisionRow revision{lost.revision, {}};
  TransactRequest request;
  for (const auto& row : stored->rows) {
    request.expect.push_back({row.key, row.version});
    if (row.key != kRevisionKey) {
      request.deletes.push_back(row.key);
    }
  }
  for (const auto& record : lost.records) {
    const auto key = kRecordPrefix + record.group.value();
    std::erase(request.deletes, key);
    request.puts.push_back({key, EncodeJson(record)});
    revision.recent_changes.push_back(record.change_id);
  }
  request.puts.push_back({kRevisionKey, EncodeJson(revision)});
  const auto written =
      co_await m_platform.Transact(std::move(request), Clock::now() + kAnswerTimeout);
  if (!written || !written->applied || written->era != present->era) {
    co_return false;
  }
  {
    const std::lock_guard lock(m_mutex);
    m_state.OnWrittenBack(present->era);
  }
  m_context.events.Emit(EventCode::kStoreRestored,
                        {.detail = fmt::format("revision {} is written back over {}",
                                               lost.revision.value(), present->revision.value())});
  co_return true;
}

asio::awaitable<bool> ConfigFollower::FetchFromPlatform() {
  const auto request_sent_at = Clock::now();
  const auto answer =
      co_await m_platform.Read(MakeSnapshotRequest(), request_sent_at + kAnswerTimeout);
  if (!answer) {
    co_return false;
  }
  const auto snapshot = DecodeSnapshot(*answer);
  if (!snapshot) {
    co_return false;
  }
  Confirm(snapshot->revision, request_sent_at);
  Adopt(*snapshot);
  co_return true;
}

asio::awaitable<bool> ConfigFollower::PollPeer(const VmEntry& peer) {
  const auto request_sent_at = Clock::now();
  const auto answer = co_await m_peers.Get<RevisionAnswer>(peer, "/peer/v1/revision",
                                                           request_sent_at + kAnswerTimeout);
  RecordPeerContact(answer.has_value());
  if (!answer) {
    co_return false;
  }
  const auto confirmed_at = ConfirmedAt(*answer, request_sent_at);
  if (!confirmed_at) {
    co_return false;
  }
  Confirm(answer->revision, *confirmed_at);
  bool behind = false;
  {
    const std::lock_guard lock(m_mutex);
    behind = answer->revision > m_state.revision();
  }
  if (behind) {
    co_return co_await FetchFromPeer(peer);
  }
  co_return true;
}

asio::awaitable<bool> ConfigFollower::FetchFromPeer(const VmEntry& peer) {
  const auto snapshot =
      co_await m_peers.Get<ConfigSnapshot>(peer, "/peer/v1/config", Clock::now() + kAnswerTimeout);
  if (!snapshot) {
    co_return false;
  }
  Adopt(*snapshot);
  co_return true;
}

asio::awaitable<bool> ConfigFollower::PollRelays() {
  const auto relays = static_cast<std::size_t>(m_context.settings.relays_per_domain);
  for (const auto& relay : m_membership.RelayPeers(relays)) {
    const bool answered = co_await PollPeer(relay);
    bool fresh = false;
    {
      const std::lock_guard lock(m_mutex);
      fresh = m_state.IsFresh(Clock::now(), 4 * Millis(m_context.settings.config_poll_ms));
    }
    if (answered && fresh) {
      co_return true;
    }
  }
  co_return false;
}

asio::awaitable<void> ConfigFollower::PollPeers() {
  auto peers = m_membership.vms();
  std::erase_if(peers, [this](const VmEntry& vm) { return vm.id == m_membership.self().id; });
  std::shuffle(peers.begin(), peers.end(), m_random);
  peers.resize(std::min(peers.size(), kMaxPeersAsked));
  for (const auto& peer : peers) {
    co_await PollPeer(peer);
  }
}

asio::awaitable<void> ConfigFollower::PollVmList() {
  std::string tag;
  while (!m_stopped) {
    const auto answer = co_await m_platform.ListVms(tag, Clock::now() + kAnswerTimeout);
    if (answer) {
      tag = answer->etag;
    }
    if (answer && answer->list && m_membership.Update(answer->list->vms)) {
      m_peers.RemoveUnlisted(answer->list->vms);
      m_on_change();
    }
    const bool listed =
        m_membership.Find(m_membership.self().id).has_value() && m_membership.vms().size() > 1;
    co_await Sleep(listed ? kVmListIntervalWhenListed : kVmListInterval);
  }
}

}  // namespace cardamom
