// Keeps the rows of one table of the store in step, and lets peers follow them from here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "async/notifier.h"
#include "directory/table_port.h"
#include "gateway/gateway_context.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context. The follower outlives its Start.
class TableFollower {
 public:
  TableFollower(GatewayContext& context, std::string name);

  // Follows the table through `table` from now on. Call it once.
  void Start(TablePort table);
  void Stop() { m_stopped = true; }

  // Called after rows were read or changed.
  void set_on_change(std::function<void()> hook) { m_on_change = std::move(hook); }
  // Called after each call to the store, with whether it was answered.
  void set_on_contact(std::function<void(bool reachable, const std::string& detail)> hook) {
    m_on_contact = std::move(hook);
  }

  // Reads the table anew from `table`. Returns false if it does not answer.
  asio::awaitable<bool> Refresh(const TablePort& table, TimePoint deadline);

  const std::string& name() const { return m_name; }
  // The table was read at least once.
  bool IsKnown() const { return m_known; }
  // The last call to the store was answered.
  bool IsInStep() const { return m_in_step; }
  // When a call was answered last, and when one was not.
  TimePoint in_step_at() const { return m_in_step_at; }
  TimePoint failed_at() const { return m_failed_at; }
  // Rows that exist, by key.
  const std::map<std::string, TableRow>& rows() const { return m_rows; }
  std::uint64_t version() const { return m_version; }

  // Rows changed after `after`, as soon as there are some; nothing new after `wait`. Errors:
  // kPlatformUnavailable while this follower is not in step.
  asio::awaitable<Outcome<TableSnapshot>> Changes(std::uint64_t after, Millis wait);
  // All rows. Errors: as above.
  Outcome<TableSnapshot> Snapshot() const;
  // All rows as they were last read, however long ago; version 0 if they never were.
  TableSnapshot Known() const;

 private:
  asio::awaitable<void> Run();
  asio::awaitable<void> FollowChanges();
  void AdoptAll(TableSnapshot snapshot);
  void AdoptChanges(const TableSnapshot& changes);
  void SetInStep(bool in_step, const std::string& detail);
  void ForgetOldGone();
  Millis RetryPause();

  GatewayContext& m_context;
  TablePort m_table;
  const std::string m_name;
  std::function<void()> m_on_change;
  std::function<void(bool, const std::string&)> m_on_contact;
  std::map<std::string, TableRow> m_rows;
  // Versions at which rows were seen gone, for peers that follow.
  std::map<std::string, std::uint64_t> m_gone;
  // Changes up to this version are no longer all known.
  std::uint64_t m_history_from = 0;
  std::uint64_t m_version = 0;
  bool m_known = false;
  bool m_in_step = false;
  bool m_stopped = false;
  int m_failures = 0;
  TimePoint m_in_step_at;
  // Before the first answer nothing is known of the store.
  TimePoint m_failed_at = Clock::now();
  Notifier m_changed;
};

}  // namespace cardamom
