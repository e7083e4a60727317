#include "fleet/relayed_table.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include "async/notifier.h"
#include "async/spawn.h"
#include "core/base64.h"
#include "membership/rendezvous.h"

namespace cardamom {
namespace {

// Longest wait at the store for changes of a table that is not in `m_max_waits`.
constexpr Millis kStoreWait{5000};
// As above, for a table whose rows must be proven to be recent. With the waits at the relays, a
// proxy that is no relay then knows rows that are at most about 4 s old.
constexpr Millis kProvenTableWait{2500};
// Longest wait at a relay, and the additional time within which its answer must arrive. A change
// reaches every proxy within two such requests.
constexpr Millis kRelayWait{1300};
constexpr Millis kRelayReplyMargin{400};
constexpr Millis kRelayReadTimeout{500};
constexpr Millis kSettlePollInterval{25};
// If the store has not answered the first read of a table within this time, it is slow or
// unavailable, and peers are asked as well.
constexpr Millis kFirstStoreAnswerTimeout{250};
// Delay between two reads of the table of members while a fleet starts.
constexpr Millis kMembersRereadDelay{300};
constexpr std::size_t kMaxPeersAsked = 4;
// Delay between two calls of a proxy that is not a relay to a store that does not answer.
constexpr Millis kNonRelayStoreRetryDelay{1200};
// Delay before a relay asks for changes of the members, so that several arrive in one answer.
constexpr Millis kMembersBatchDelay{300};
// An age beyond this, in either direction, proves nothing of use.
constexpr std::chrono::microseconds kMaxConfirmedAge = std::chrono::hours(1);
constexpr int kOk = 200;

Error Unavailable(std::string detail) {
  return Error{ResultCode::kPlatformUnavailable, std::move(detail), Ran::kNo};
}

// `sent_at`: when the request was sent. The age that the reply states is counted back from then,
// since the request arrived later and the reply may have been delayed for any time.
Outcome<TableSnapshot> DecodeTableReply(const std::string& body, BootTime sent_at) {
  auto reply = DecodeJson<PeerTableReply>(body);
  if (!reply) {
    return reply.error();
  }
  if (!reply->era) {
    return Unavailable("the peer does not report the era of its rows");
  }
  TableSnapshot snapshot;
  snapshot.position = {*reply->era, reply->version};
  snapshot.history_gone = reply->history_gone;
  const auto max_age = kMaxConfirmedAge.count();
  if (reply->confirmed_age_us && *reply->confirmed_age_us >= -max_age &&
      *reply->confirmed_age_us <= max_age) {
    const std::chrono::microseconds age(*reply->confirmed_age_us);
    snapshot.confirmed_at = std::min<BootTime>(sent_at - age, BootClock::now());
  }
  try {
    for (auto& row : reply->rows) {
      snapshot.rows.push_back(
          {std::move(row.key), DecodeBase64(row.value_base64), row.version, row.gone});
    }
  } catch (const std::exception& failure) {
    return Error{ResultCode::kBadField, failure.what(), Ran::kNo};
  }
  return snapshot;
}

}  // namespace

RelayedTable::RelayedTable(GatewayContext& context,
                           TablePort table,
                           std::map<std::string, Millis> max_waits,
                           const Fleet& fleet,
                           HomeClient& peers)
    : m_context(context),
      m_table(std::move(table)),
      m_max_waits(std::move(max_waits)),
      m_fleet(fleet),
      m_peers(peers) {}

Millis RelayedTable::StoreWait(const std::string& table) const {
  const auto it = m_max_waits.find(table);
  return it == m_max_waits.end() ? kStoreWait : it->second;
}

TablePort RelayedTable::Port() {
  TablePort port;
  port.read = [this](std::string table, TimePoint deadline) {
    return Read(std::move(table), deadline);
  };
  port.follow = [this](std::string table, StorePosition after, Millis wait) {
    return Follow(std::move(table), after, wait);
  };
  return port;
}

bool RelayedTable::IsFromStore(const std::string& table) const {
  const auto it = m_from_store.find(table);
  return it != m_from_store.end() && it->second;
}

bool RelayedTable::MayAskStore() const {
  return m_fleet.IsRelay() || !m_store_failed_at ||
         Clock::now() - *m_store_failed_at >= kNonRelayStoreRetryDelay;
}

void RelayedTable::RecordStoreResult(bool answered) {
  if (answered) {
    m_store_failed_at.reset();
  } else {
    m_store_failed_at = Clock::now();
  }
}

Millis RelayedTable::LimitWait(const std::string& table, Millis wait) {
  const auto proof = m_proofs_needed.find(table);
  const bool is_needed = proof != m_proofs_needed.end() && proof->second();
  return is_needed ? m_store_clock.LimitWait(std::min(wait, kProvenTableWait), BootClock::now())
                   : wait;
}

void RelayedTable::SetConfirmedAt(Outcome<TableSnapshot>& answer, BootTime sent_at) {
  if (answer && !answer->history_gone) {
    answer->confirmed_at = m_store_clock.RecordAnswer(
        {answer->position.era, answer->complete_at_ms, sent_at, BootClock::now()});
  }
}

asio::awaitable<bool> RelayedTable::WaitUntilSettled(TimePoint deadline) {
  while (!m_fleet.IsSettled() && Clock::now() < deadline) {
    co_await Sleep(kSettlePollInterval);
  }
  co_return m_fleet.IsSettled();
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::Ask(VmEntry vm,
                                                          PeerTableRequest request,
                                                          TimePoint deadline) {
  HttpRequest message;
  message.method = "POST";
  message.target = kPeerTablePath;
  message.headers.push_back({"Content-Type", "application/json"});
  message.body = EncodeJson(request);
  const auto sent_at = BootClock::now();
  const auto response = co_await m_peers.Send(vm, std::move(message), deadline);
  if (!response) {
    co_return Unavailable(vm.id.value() + ": " + response.error().detail);
  }
  if (response->status != kOk) {
    co_return Unavailable(vm.id.value() + ": " + response->body);
  }
  co_return DecodeTableReply(response->body, sent_at);
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::AskRelays(PeerTableRequest request,
                                                                TimePoint deadline) {
  const auto relays = m_fleet.Relays();
  std::string reason = "no relay";
  for (std::size_t i = 0; i < relays.size(); ++i) {
    const auto& relay = relays[m_next_relay++ % relays.size()];
    if (relay.id == m_fleet.self().id || m_peers.IsInBackoff(relay)) {
      continue;
    }
    auto answer = co_await Ask(relay, request, deadline);
    if (answer) {
      co_return answer;
    }
    reason = answer.error().detail;
  }
  co_return Unavailable(std::move(reason));
}

std::vector<VmEntry> RelayedTable::PeersToAsk() const {
  std::vector<std::string> seeds;
  boost::split(seeds, m_context.settings.seeds, boost::is_any_of(","));
  auto peers = RankVms(m_fleet.vms(), m_fleet.self().id.value());
  for (const auto& seed : seeds) {
    VmEntry vm;
    vm.id = VmId(seed);
    vm.peer_address = seed;
    peers.push_back(std::move(vm));
  }
  std::erase_if(peers, [this](const VmEntry& vm) {
    return vm.peer_address == m_fleet.self().peer_address || vm.peer_address.empty();
  });
  peers.resize(std::min(peers.size(), kMaxPeersAsked));
  return peers;
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::ReadFromAnyPeer(std::string table) {
  for (const auto& vm : PeersToAsk()) {
    PeerTableRequest request{.table = table, .any_age = true};
    auto answer = co_await Ask(vm, std::move(request), Clock::now() + kRelayReadTimeout);
    if (answer && answer->position != StorePosition()) {
      co_return answer;
    }
  }
  co_return Unavailable("no peer has loaded " + table);
}

asio::awaitable<void> RelayedTable::AskPeers(std::string table,
                                             std::function<void(const TableSnapshot&)> on_answer) {
  struct Pending {
    std::size_t count = 0;
    Notifier changed;
  };
  const auto pending = std::make_shared<Pending>();
  const auto peers = PeersToAsk();
  pending->count = peers.size();
  for (const auto& vm : peers) {
    Spawn(m_context.io, [this, vm, table, on_answer, pending]() -> asio::awaitable<void> {
      PeerTableRequest request{.table = table, .any_age = true};
      const auto answer = co_await Ask(vm, std::move(request), Clock::now() + kRelayReadTimeout);
      if (answer) {
        on_answer(*answer);
      }
      --pending->count;
      pending->changed.NotifyAll();
    });
  }
  const std::function<bool()> done = [pending] { return pending->count == 0; };
  co_await pending->changed.WaitUntil(done, Clock::now() + kFirstStoreAnswerTimeout);
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::ReadStore(std::string table,
                                                                TimePoint deadline) {
  const auto sent_at = BootClock::now();
  auto answer = co_await m_table.read(table, std::max(deadline, Clock::now() + kRelayReadTimeout));
  SetConfirmedAt(answer, sent_at);
  RecordStoreResult(answer.has_value());
  m_from_store[table] = answer.has_value();
  m_loaded[table] = m_loaded[table] || answer.has_value();
  co_return answer;
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::ReadFirst(std::string table,
                                                                TimePoint deadline) {
  struct Answer {
    std::optional<Outcome<TableSnapshot>> store;
    Notifier changed;
  };
  const auto answer = std::make_shared<Answer>();
  Spawn(m_context.io, [this, table, deadline, answer]() -> asio::awaitable<void> {
    auto read = co_await ReadStore(table, deadline);
    answer->store = std::move(read);
    answer->changed.NotifyAll();
  });
  const std::function<bool()> answered = [answer] { return answer->store.has_value(); };
  co_await answer->changed.WaitUntil(answered, Clock::now() + kFirstStoreAnswerTimeout);
  if (answer->store && *answer->store) {
    co_return std::move(*answer->store);
  }
  auto peer_answer = co_await ReadFromAnyPeer(table);
  if (peer_answer) {
    m_loaded[table] = true;
    co_return peer_answer;
  }
  co_await answer->changed.WaitUntil(answered, deadline + kRelayReadTimeout);
  if (!answer->store) {
    co_return Unavailable("the store does not answer");
  }
  co_return std::move(*answer->store);
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::Read(std::string table, TimePoint deadline) {
  if (!m_loaded[table]) {
    co_return co_await ReadFirst(std::move(table), deadline);
  }
  if (table != Fleet::kTableName) {
    co_await WaitUntilSettled(deadline);
  }
  if (m_fleet.IsSettled() && !m_fleet.IsRelay()) {
    PeerTableRequest request{.table = table};
    auto answer = co_await AskRelays(std::move(request), Clock::now() + kRelayReadTimeout);
    if (answer) {
      m_from_store[table] = false;
      co_return answer;
    }
  }
  if (!MayAskStore()) {
    m_from_store[table] = false;
    co_return Unavailable("no answer from a relay, and none from the store lately");
  }
  co_return co_await ReadStore(std::move(table), deadline);
}

asio::awaitable<Outcome<TableSnapshot>> RelayedTable::Follow(std::string table,
                                                             StorePosition after,
                                                             Millis wait) {
  if (!m_fleet.IsSettled() && table != Fleet::kTableName) {
    co_await WaitUntilSettled(Clock::now() + wait);
  }
  if (!m_fleet.IsSettled()) {
    // The list changes often while a fleet starts, so it is read again after a delay, not followed.
    co_await Sleep(kMembersRereadDelay);
    TableSnapshot reread;
    reread.history_gone = true;
    co_return reread;
  }
  if (!m_fleet.IsRelay()) {
    const auto relay_wait = std::min(wait, kRelayWait);
    PeerTableRequest request{
        .table = table, .after = after.version, .era = after.era, .wait_ms = relay_wait.count()};
    auto answer =
        co_await AskRelays(std::move(request), Clock::now() + relay_wait + kRelayReplyMargin);
    if (answer) {
      m_from_store[table] = false;
      co_return answer;
    }
    wait = std::min(wait, kRelayWait);
    if (!MayAskStore()) {
      m_from_store[table] = false;
      co_return Unavailable("no answer from a relay, and none from the store lately");
    }
  } else if (table == Fleet::kTableName) {
    co_await Sleep(kMembersBatchDelay);
  }
  const auto sent_at = BootClock::now();
  const auto store_wait = LimitWait(table, std::min(wait, StoreWait(table)));
  auto answer = co_await m_table.follow(table, after, store_wait);
  SetConfirmedAt(answer, sent_at);
  RecordStoreResult(answer.has_value());
  m_from_store[table] = answer.has_value();
  co_return answer;
}

}  // namespace cardamom
