// Records the writes and reads of callers and checks the consistency guarantees.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace cardamom {

// Outcome of a write as reported to the caller: acknowledged, certainly not run, or unknown.
enum class WriteOutcome { kAcknowledged, kNotRun, kUnknown };

// One insertion of `id`.
struct WriteRecord {
  std::string id;
  int session = 0;
  TimePoint start;
  TimePoint end;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // The error that the caller received; unused if the write was acknowledged.
  std::string problem;
};

// One read of the whole table.
struct ReadRecord {
  int session = 0;
  TimePoint start;
  TimePoint end;
  // Greatest age that the caller requested, else that of the group record.
  std::optional<Millis> max_age;
  // Number of rows of each id.
  std::map<std::string, int> row_counts;
  bool from_replica = false;
};

// Thread safe.
class History {
 public:
  void Add(WriteRecord write);
  void Add(ReadRecord read);

  // Checks the history against the final content of the table. Each line describes one violation:
  // a lost acknowledged write, a duplicate row, a write that ran though it was refused as not run,
  // a session that does not read its own write or whose reads go back in time, a read older than
  // its greatest age, a write that was read and later lost.
  std::vector<std::string> FindViolations(const std::map<std::string, int>& final_state) const;

  std::vector<WriteRecord> writes() const;
  std::vector<ReadRecord> reads() const;
  std::size_t Count(WriteOutcome outcome) const;
  // The errors of writes that were not acknowledged, each with its number of occurrences.
  std::map<std::string, int> Problems() const;
  // Longest time between the ends of two consecutive acknowledged writes after `since`, or between
  // `since` and the first of them. The time after the last one does not count.
  Millis LongestGap(TimePoint since) const;

 private:
  mutable std::mutex m_mutex;
  std::vector<WriteRecord> m_writes;
  std::vector<ReadRecord> m_reads;
};

}  // namespace cardamom
