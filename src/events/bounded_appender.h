// A log appender that never blocks on the reader of the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include <log4cplus/appender.h>

namespace cardamom {

// Queues lines up to a total size and writes them when the descriptor accepts data. Lines that do
// not fit into the queue are dropped; the event log_lines_dropped before the next queued line gives
// their number. Thread safe; its lock is a leaf in the lock order.
class BoundedAppender : public log4cplus::Appender {
 public:
  // Precondition: `descriptor` stays open for the lifetime of the appender.
  BoundedAppender(int descriptor, std::size_t max_queue_bytes);
  ~BoundedAppender() override;

  // Writes queued lines as far as the descriptor accepts them without blocking.
  void Flush();
  // Flushes once; log4cplus appends nothing afterwards.
  void close() override;

  // Number of lines dropped since creation.
  std::uint64_t dropped_lines() const;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  // Requires m_mutex.
  void WriteWithoutBlocking();

  const int m_descriptor;
  const std::size_t m_max_queue_bytes;
  mutable std::mutex m_mutex;
  std::deque<std::string> m_lines;
  std::size_t m_queued_bytes = 0;
  // Bytes of the first queued line that were already written.
  std::size_t m_first_line_written_bytes = 0;
  std::uint64_t m_dropped_lines = 0;
  std::uint64_t m_reported_dropped_lines = 0;
};

}  // namespace cardamom
