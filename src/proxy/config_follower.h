// Follows the configuration and the VM list.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <random>

#include "config/config_state.h"
#include "membership/membership.h"
#include "proxy/peer_client.h"
#include "proxy/peer_messages.h"
#include "table/platform_client.h"

namespace cardamom {

// Key of the row that holds the revision.
inline constexpr const char* kRevisionKey = "config/revision";
// Prefix of the rows that hold records.
inline constexpr const char* kRecordPrefix = "record/";

// The revision row.
struct RevisionRow {
  Revision revision;
  // The last changes, newest last; a lost answer is resolved by looking for its change here.
  std::vector<std::string> recent_changes;
};
BOOST_DESCRIBE_STRUCT(RevisionRow, (), (revision, recent_changes))

// Reads a snapshot out of the rows of one read request. Thread safe.
Outcome<ConfigSnapshot> SnapshotOf(const TableReadAnswer& answer);
// The read request for a whole snapshot. Thread safe.
TableReadRequest SnapshotRequest();

// Thread safe. m_mutex is taken after no other lock, and released before hooks run.
class ConfigFollower {
 public:
  // Called after a greater revision, or another VM list, came into force.
  using ChangeHook = std::function<void()>;

  ConfigFollower(ProxyContext& context,
                 PlatformClient& platform,
                 PeerClient& peers,
                 Membership& membership,
                 ChangeHook on_change);

  void Start();
  void Stop() { m_stopped = true; }

  std::map<GroupId, GroupRecord> records() const;
  ConfigSnapshot snapshot() const;
  RevisionAnswer Revision() const;
  // Whether the proxy may rely on its configuration.
  bool IsReady() const;

  // Notes a revision from a peer's message; a greater one is fetched at once.
  void Hear(cardamom::Revision revision);
  // Puts a snapshot in force if it is newer.
  void Adopt(const ConfigSnapshot& snapshot);

 private:
  asio::awaitable<void> Run();
  asio::awaitable<void> FollowVms();
  // Each asks one source for the newest revision; returns whether it answered.
  asio::awaitable<bool> AskPlatform();
  asio::awaitable<bool> AskRelays();
  asio::awaitable<void> AskPeers();
  asio::awaitable<bool> AskPeer(const VmEntry& peer);
  asio::awaitable<bool> FetchFromPlatform();
  asio::awaitable<bool> FetchFromPeer(const VmEntry& peer);
  void Confirm(cardamom::Revision revision, TimePoint at);
  void NotePlatform(bool answered);
  void NoteMeeting(bool answered);
  bool IsBehind() const;

  ProxyContext& m_context;
  PlatformClient& m_platform;
  PeerClient& m_peers;
  Membership& m_membership;
  const ChangeHook m_on_change;
  mutable std::mutex m_mutex;
  ConfigState m_state;
  TimePoint m_confirmed_at;
  bool m_platform_answers = true;
  // Whether each of the last peers that were asked answered.
  std::deque<bool> m_meetings;
  std::atomic<bool> m_stopped{false};
  Notifier m_wake;
  std::mt19937_64 m_random{std::random_device()()};
};

}  // namespace cardamom
