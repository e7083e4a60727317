// Reads and follows the store's tables: relays ask the store, the other proxies ask the relays.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/home_client.h"
#include "organisation/store_clock.h"

namespace cardamom {

// Two proxies of a failure domain are its relays. The others ask them in round robin, so that a
// relay that is suspended, cut off from the store or out of date delays a change by one request at
// most. They ask the store themselves if no relay answers. Not thread safe: all use is on the
// thread of the context.
class RelayedTable {
 public:
  // `table` accesses the store directly. `max_waits` limits, for each table, how long one call to
  // the store waits for changes, and thereby how long it takes to notice that the store accepts a
  // relay's calls but does not answer them. The references must outlive the object.
  RelayedTable(GatewayContext& context,
               TablePort table,
               std::map<std::string, Millis> max_waits,
               const Fleet& fleet,
               HomeClient& peers);

  // From now on, answers for `table` must prove often enough that its rows are current, as long as
  // `is_needed` returns true.
  void RequireProof(std::string table, std::function<bool()> is_needed) {
    m_proofs_needed[std::move(table)] = std::move(is_needed);
  }

  // Returns a port that can read and follow tables but not write them. The object must outlive the
  // port.
  TablePort Port();

  // Asks some members of the list and the configured seeds for the rows of `table` that they have
  // loaded, all at once. Calls `on_answer` for each answer; returns once all have answered, or
  // after 250 ms, though later answers are passed on too.
  asio::awaitable<void> AskPeers(std::string table,
                                 std::function<void(const TableSnapshot&)> on_answer);

  // Whether the last answer for `table` came from the store itself, so that peers may rely on it.
  bool IsFromStore(const std::string& table) const;

 private:
  asio::awaitable<Outcome<TableSnapshot>> Read(std::string table, TimePoint deadline);
  asio::awaitable<Outcome<TableSnapshot>> Follow(std::string table,
                                                 StorePosition after,
                                                 Millis wait);
  // Reads a table for the first time: from the store, and from peers if it is slow to answer.
  asio::awaitable<Outcome<TableSnapshot>> ReadFirst(std::string table, TimePoint deadline);
  // Reads from the store itself.
  asio::awaitable<Outcome<TableSnapshot>> ReadStore(std::string table, TimePoint deadline);
  // Asks the relays in round robin until one answers. Errors: kPlatformUnavailable if none did.
  asio::awaitable<Outcome<TableSnapshot>> AskRelays(PeerTableRequest request, TimePoint deadline);
  // Asks members of the list and the configured seeds for the rows that they have loaded, however
  // old.
  asio::awaitable<Outcome<TableSnapshot>> ReadFromAnyPeer(std::string table);
  asio::awaitable<Outcome<TableSnapshot>> Ask(VmEntry vm,
                                              PeerTableRequest request,
                                              TimePoint deadline);
  // Members of the list and the configured seeds, without this proxy; at most kMaxPeersAsked.
  std::vector<VmEntry> PeersToAsk() const;
  asio::awaitable<bool> WaitUntilSettled(TimePoint deadline);
  Millis StoreWait(const std::string& table) const;
  // Whether this proxy may ask the store now. While the store does not answer, a proxy that is not
  // a relay calls it only once per kNonRelayStoreRetryDelay for all tables together.
  bool MayAskStore() const;
  // The longest wait of the next call to the store that follows `table`.
  Millis LimitWait(const std::string& table, Millis wait);
  // Sets when the store had the rows of `answer`, which it gave to a call sent at `sent_at`.
  void SetConfirmedAt(Outcome<TableSnapshot>& answer, BootTime sent_at);
  void RecordStoreResult(bool answered);

  GatewayContext& m_context;
  const TablePort m_table;
  const std::map<std::string, Millis> m_max_waits;
  const Fleet& m_fleet;
  HomeClient& m_peers;
  StoreClock m_store_clock;
  std::map<std::string, std::function<bool()>> m_proofs_needed;
  std::size_t m_next_relay = 0;
  std::optional<TimePoint> m_store_failed_at;
  std::map<std::string, bool> m_from_store;
  // Tables that were read at least once.
  std::map<std::string, bool> m_loaded;
};

}  // namespace cardamom
