// Keeps a copy of one table of the store up to date and serves it to peers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "async/notifier.h"
#include "directory/table_port.h"
#include "gateway/gateway_context.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context. Start spawns a coroutine that uses the
// follower, so the follower must exist as long as the context runs.
class TableFollower {
 public:
  // Follows the table `name`. `context` must outlive the object.
  TableFollower(GatewayContext& context, std::string name);

  // Starts to follow the table through `table`. Must be called at most once.
  void Start(TablePort table);
  // Stops following once the call in progress has returned.
  void Stop() { m_stopped = true; }

  // Sets the function that is called after the table was read or rows changed.
  void set_on_change(std::function<void()> hook) { m_on_change = std::move(hook); }
  // Sets the function that is called before the hook of set_on_change if the store was restored
  // from an older copy since the last read. rows() then holds the rows of the copy and those
  // written since.
  void set_on_restore(std::function<void()> hook) { m_on_restore = std::move(hook); }
  // Sets the function that is called after each call to the store, with whether it was answered; it
  // is not called after one that returned `history_gone`.
  void set_on_store_call(std::function<void(bool reachable, const std::string& detail)> hook) {
    m_on_store_call = std::move(hook);
  }

  // Sets the function that is called when confirmed_at() has advanced, after the hook of
  // set_on_change for the same answer.
  void set_on_confirmed(std::function<void(BootTime confirmed_at)> hook) {
    m_on_confirmed = std::move(hook);
  }

  // Reads the whole table through `table`. Returns false if it does not answer by `deadline`.
  asio::awaitable<bool> Refresh(const TablePort& table, TimePoint deadline);

  const std::string& name() const { return m_name; }
  // Whether the table was read at least once.
  bool IsLoaded() const { return m_loaded; }
  // Whether the last call to the store was answered.
  bool IsUpToDate() const { return m_up_to_date; }
  // When a call to the store was last answered.
  TimePoint last_response_at() const { return m_last_response_at; }
  // Rows that exist, by key.
  const std::map<std::string, TableRow>& rows() const { return m_rows; }
  // The latest local time at which, or after which, the store is known to have held rows();
  // nullopt if none is known in the era of position().
  std::optional<BootTime> confirmed_at() const { return m_confirmed_at; }
  // Position of the store that rows() reflects.
  StorePosition position() const { return m_position; }

  // Whether `row` of rows() may stem from the copy that the store was last restored from, so that
  // this follower may have held a newer one before. False if no restore was observed.
  bool MayBeFromCopy(const TableRow& row) const {
    return m_restored_at && row.version <= *m_restored_at;
  }

  // When the table was first read in the era of position().
  TimePoint era_observed_at() const { return m_era_observed_at; }

  // Returns the rows changed after position `after`, removed ones included, as soon as there are
  // any, or no rows after `wait`. With `or_confirmed` it also returns, without rows, as soon as
  // confirmed_at() has advanced. Sets `history_gone` if not all of these changes are kept any
  // more. Errors: kPlatformUnavailable while this follower is not up to date or has not read the
  // era of `after` yet.
  asio::awaitable<Outcome<TableSnapshot>> WaitForChanges(StorePosition after,
                                                         Millis wait,
                                                         bool or_confirmed = false);
  // Returns all rows. Errors: as Changes.
  Outcome<TableSnapshot> Snapshot() const;
  // Returns all rows as last read, however long ago; no rows and position 0 if the table was never
  // read.
  TableSnapshot LatestSnapshot() const;

 private:
  asio::awaitable<void> Run();
  asio::awaitable<void> FollowChanges();
  std::string DescribeStep(const StorePosition& next) const;
  void AdoptAll(TableSnapshot snapshot);
  void AdoptChanges(const TableSnapshot& changes);
  void Confirm(std::optional<BootTime> confirmed_at);
  void SetUpToDate(bool up_to_date, const std::string& detail);
  void PruneRemovedRows();
  Millis RetryDelay();

  GatewayContext& m_context;
  TablePort m_table;
  const std::string m_name;
  std::function<void()> m_on_change;
  std::function<void()> m_on_restore;
  std::function<void(bool, const std::string&)> m_on_store_call;
  std::function<void(BootTime)> m_on_confirmed;
  std::map<std::string, TableRow> m_rows;
  // By key, the version at which a removed row was observed as removed; used by Changes().
  std::map<std::string, StoreVersion> m_removed_rows;
  // The removed rows are complete only for changes after this version.
  StoreVersion m_history_from;
  StorePosition m_position;
  // Version of the first complete read after the latest observed restore.
  std::optional<StoreVersion> m_restored_at;
  TimePoint m_era_observed_at;
  bool m_loaded = false;
  bool m_adopted_last_read = false;
  bool m_up_to_date = false;
  bool m_stopped = false;
  int m_failures = 0;
  TimePoint m_last_response_at;
  std::optional<BootTime> m_confirmed_at;
  Notifier m_changed;
};

}  // namespace cardamom
