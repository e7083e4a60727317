// What callers saw, and whether the promises held.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace cardamom {

enum class Fate { kAcknowledged, kNotRun, kUnknown };

// One insertion of `id`.
struct WriteRecord {
  std::string id;
  int session = 0;
  TimePoint start;
  TimePoint end;
  Fate fate = Fate::kUnknown;
  // What the caller was told, unless it was acknowledged.
  std::string problem;
};

// One read of the whole table: how often each id stands in it.
struct ReadRecord {
  int session = 0;
  TimePoint start;
  TimePoint end;
  // Greatest age that the caller stated, or that the record states.
  std::optional<Millis> age;
  std::map<std::string, int> seen;
  bool from_replica = false;
};

// Thread safe.
class History {
 public:
  void Add(WriteRecord write);
  void Add(ReadRecord read);

  // Judges the history, given the table as it is in the end. Each line names one violation: an
  // acknowledged write that is missing, anything that stands twice, a write that was refused as not
  // run and is present, a session that misses its own write or goes back, a read older than its
  // age.
  std::vector<std::string> Violations(const std::map<std::string, int>& final_state) const;

  std::vector<WriteRecord> writes() const;
  std::vector<ReadRecord> reads() const;
  std::size_t Count(Fate fate) const;
  // What callers were told instead of an acknowledgement, each text once, with its number.
  std::map<std::string, int> Problems() const;
  // Longest time between the ends of two acknowledged writes that follow each other, from `since`
  // on.
  Millis LongestGap(TimePoint since) const;

 private:
  mutable std::mutex m_mutex;
  std::vector<WriteRecord> m_writes;
  std::vector<ReadRecord> m_reads;
};

}  // namespace cardamom
