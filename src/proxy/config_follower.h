// Keeps this proxy's configuration and VM list up to date.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <random>

#include "config/config_state.h"
#include "membership/membership.h"
#include "proxy/peer_client.h"
#include "proxy/peer_messages.h"
#include "table/platform_client.h"

namespace cardamom {

// Key of the row of the platform's table that holds the revision.
inline constexpr const char* kRevisionKey = "config/revision";
// Key prefix of the rows of the platform's table that hold group records.
inline constexpr const char* kRecordPrefix = "record/";

// Value of the row at kRevisionKey.
struct RevisionRow {
  Revision revision;
  // IDs of the latest changes, newest last. After a lost answer, the writer looks for the ID of its
  // change here to find out whether the change took effect.
  std::vector<std::string> recent_changes;
};
BOOST_DESCRIBE_STRUCT(RevisionRow, (), (revision, recent_changes))

// Decodes a snapshot from the answer to MakeSnapshotRequest(). Errors: kBadJson, kBadField. Thread
// safe.
Outcome<ConfigSnapshot> DecodeSnapshot(const TableReadAnswer& answer);
// When the platform confirmed the revision that a peer reports in the answer to a request sent at
// `request_sent_at`; nothing if the answer's age is negative. Pure and thread safe.
std::optional<TimePoint> ConfirmedAt(const RevisionAnswer& answer, TimePoint request_sent_at);
// Returns a read request for the revision and all records. Thread safe.
TableReadRequest MakeSnapshotRequest();

// Polls for a greater revision of the configuration and fetches it: a relay (a proxy that reads the
// platform's table on behalf of its failure domain) polls the platform; other proxies poll the
// relays of their domain, then the platform. If neither answers, a proxy polls random peers.
//
// Thread safe. No other lock is held when m_mutex is taken, and m_mutex is released before hooks
// run.
class ConfigFollower {
 public:
  // Called after a greater revision or a changed VM list has taken effect.
  using ChangeHook = std::function<void()>;

  // The arguments must outlive this object.
  ConfigFollower(ProxyContext& context,
                 PlatformClient& platform,
                 PeerClient& peers,
                 Membership& membership,
                 ChangeHook on_change);

  // Starts the polling coroutines. Call once; the follower must outlive them.
  void Start();
  // Makes the coroutines end after their current requests and pauses; does not wait for them.
  void Stop() { m_stopped = true; }

  // Records in effect, by group.
  std::map<GroupId, GroupRecord> records() const;
  ConfigSnapshot snapshot() const;
  // Revision in effect, and the time in ms since a source last reported the newest revision, which
  // may be greater while it is being fetched.
  RevisionAnswer RevisionStatus() const;
  // Whether the proxy may rely on its configuration: a greater revision, if any, was first observed
  // at most config_stale_ms ago, and the newest revision was confirmed within that time. Instead of
  // the confirmation it suffices, unless the revision in effect is 0, that most of the last peers
  // that were asked answered.
  bool IsReady() const;

  // Records that `revision` exists; one greater than the revision in effect is fetched at once.
  void ObserveRevision(cardamom::Revision revision);
  // Applies `snapshot` if it is newer than the one in effect.
  void Adopt(const ConfigSnapshot& snapshot);

 private:
  asio::awaitable<void> Run();
  asio::awaitable<void> PollVmList();
  // Each of these requests the newest revision from one kind of source, and fetches the
  // configuration if that revision is greater. Returns whether the source answered and the fetch,
  // if any, succeeded; PollRelays also requires that the revision was confirmed recently.
  asio::awaitable<bool> PollPlatform();
  asio::awaitable<bool> PollRelays();
  asio::awaitable<void> PollPeers();
  asio::awaitable<bool> PollPeer(const VmEntry& peer);
  // Each of these reads the whole configuration and applies it; returns whether it was read.
  asio::awaitable<bool> FetchFromPlatform();
  asio::awaitable<bool> FetchFromPeer(const VmEntry& peer);
  bool HasStoreLostChanges(const ConfigSnapshot& read) const;
  // Writes the configuration in force to a store that came back from an older copy. Returns whether
  // the store holds it now.
  asio::awaitable<bool> WriteBack();
  // Records that a source reported `revision` as the newest at time `at`.
  void Confirm(cardamom::Revision revision, TimePoint at);
  // Emits an event when the platform becomes reachable or unreachable.
  void RecordPlatformResult(bool answered);
  // Records whether a peer that was asked answered; IsReady counts the latest of these.
  void RecordPeerContact(bool answered);
  // Whether a revision greater than the one in effect has been observed.
  bool IsBehind() const;

  ProxyContext& m_context;
  PlatformClient& m_platform;
  PeerClient& m_peers;
  Membership& m_membership;
  const ChangeHook m_on_change;
  mutable std::mutex m_mutex;
  ConfigState m_state;
  TimePoint m_confirmed_at;
  bool m_platform_reachable = true;
  // For each of the last peers that were asked, whether it answered.
  std::deque<bool> m_peer_contacts;
  std::atomic<bool> m_stopped{false};
  Notifier m_wakeup;
  std::mt19937_64 m_random{std::random_device()()};
};

}  // namespace cardamom
