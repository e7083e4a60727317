#include "bench/cluster/history.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cardamom {
namespace {

using Violations = std::vector<std::string>;

void CheckFinalState(const std::vector<WriteRecord>& writes,
                     const std::map<std::string, int>& final_state,
                     Violations& violations) {
  for (const auto& write : writes) {
    const auto found = final_state.find(write.id);
    const int count = found == final_state.end() ? 0 : found->second;
    if (write.outcome == WriteOutcome::kAcknowledged && count == 0) {
      violations.push_back(fmt::format("lost: {} was acknowledged", write.id));
    }
    if (write.outcome == WriteOutcome::kNotRun && count > 0) {
      violations.push_back(fmt::format("ran: {} was refused as not run", write.id));
    }
  }
  for (const auto& [id, count] : final_state) {
    if (count > 1) {
      violations.push_back(fmt::format("doubled: {} occurs {} times", id, count));
    }
  }
}

// Whether the read has to see the write: as a later read of the same session, or because the write
// was acknowledged longer ago than the greatest age of the read.
bool MustSee(const WriteRecord& write, const ReadRecord& read) {
  if (write.outcome != WriteOutcome::kAcknowledged) {
    return false;
  }
  const bool is_own_write = write.session == read.session && write.end <= read.start;
  const bool is_older_than_max_age = read.max_age && write.end + *read.max_age < read.start;
  return is_own_write || is_older_than_max_age;
}

void CheckReads(const std::vector<WriteRecord>& writes,
                const std::vector<ReadRecord>& reads,
                Violations& violations) {
  for (const auto& read : reads) {
    for (const auto& write : writes) {
      const bool seen = read.row_counts.contains(write.id);
      if (!seen && MustSee(write, read)) {
        violations.push_back(fmt::format(
            "stale: session {} misses {} of session {}, acknowledged {} ms before its read",
            read.session, write.id, write.session, ToMillis(read.start - write.end).count()));
      }
      if (seen && write.outcome == WriteOutcome::kNotRun) {
        violations.push_back(fmt::format("ran: a read shows {}, refused as not run", write.id));
      }
    }
  }
}

// Checks that no row disappears between two consecutive reads of a session.
void CheckMonotonicReads(std::vector<ReadRecord> reads, Violations& violations) {
  std::stable_sort(reads.begin(), reads.end(),
                   [](const auto& a, const auto& b) { return a.start < b.start; });
  std::map<int, const ReadRecord*> last_reads;
  for (const auto& read : reads) {
    const auto*& before = last_reads[read.session];
    if (before != nullptr) {
      for (const auto& [id, count] : before->row_counts) {
        if (!read.row_counts.contains(id)) {
          violations.push_back(
              fmt::format("back: session {} saw {} and then no more", read.session, id));
        }
      }
    }
    before = &read;
  }
}

// Checks that every row that a read returned is in the final state: a write that was read is never
// lost, even if it was not acknowledged.
void CheckObservedWritesAreDurable(const std::vector<ReadRecord>& reads,
                                   const std::map<std::string, int>& final_state,
                                   Violations& violations) {
  for (const auto& read : reads) {
    for (const auto& [id, count] : read.row_counts) {
      if (!final_state.contains(id)) {
        violations.push_back(fmt::format("taken back: {} was read and is gone", id));
      }
    }
  }
}

}  // namespace

void History::Add(WriteRecord write) {
  const std::lock_guard lock(m_mutex);
  m_writes.push_back(std::move(write));
}

void History::Add(ReadRecord read) {
  const std::lock_guard lock(m_mutex);
  m_reads.push_back(std::move(read));
}

std::vector<std::string> History::FindViolations(
    const std::map<std::string, int>& final_state) const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> violations;
  CheckFinalState(m_writes, final_state, violations);
  CheckReads(m_writes, m_reads, violations);
  CheckMonotonicReads(m_reads, violations);
  CheckObservedWritesAreDurable(m_reads, final_state, violations);
  return violations;
}

std::vector<WriteRecord> History::writes() const {
  const std::lock_guard lock(m_mutex);
  return m_writes;
}

std::vector<ReadRecord> History::reads() const {
  const std::lock_guard lock(m_mutex);
  return m_reads;
}

std::size_t History::Count(WriteOutcome outcome) const {
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(
      std::count_if(m_writes.begin(), m_writes.end(),
                    [outcome](const WriteRecord& write) { return write.outcome == outcome; }));
}

std::map<std::string, int> History::Problems() const {
  const std::lock_guard lock(m_mutex);
  std::map<std::string, int> problems;
  for (const auto& write : m_writes) {
    if (write.outcome != WriteOutcome::kAcknowledged) {
      ++problems[write.problem];
    }
  }
  return problems;
}

Millis History::LongestGap(TimePoint since) const {
  std::vector<TimePoint> ends = {since};
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& write : m_writes) {
      if (write.outcome == WriteOutcome::kAcknowledged && write.end > since) {
        ends.push_back(write.end);
      }
    }
  }
  std::sort(ends.begin(), ends.end());
  Duration longest{};
  for (std::size_t i = 1; i < ends.size(); ++i) {
    longest = std::max(longest, ends[i] - ends[i - 1]);
  }
  return ToMillis(longest);
}

}  // namespace cardamom
