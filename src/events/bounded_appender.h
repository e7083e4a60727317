// A log appender that never waits for the reader of the log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include <log4cplus/appender.h>

namespace cardamom {

// Keeps lines in a queue of bounded size and writes them when the descriptor takes them. Lines that
// do not fit are dropped; once there is room again a line tells how many. Thread safe; its lock is
// a leaf in the lock order.
class BoundedAppender : public log4cplus::Appender {
 public:
  // `descriptor` stays open while the appender lives.
  BoundedAppender(int descriptor, std::size_t queue_bytes);
  ~BoundedAppender() override;

  // Writes what the reader takes at once.
  void Flush();
  void close() override;

  std::uint64_t dropped() const;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  // Requires m_mutex.
  void WriteWhatFits();

  const int m_descriptor;
  const std::size_t m_queue_bytes;
  mutable std::mutex m_mutex;
  std::deque<std::string> m_lines;
  std::size_t m_bytes = 0;
  // Bytes of the first line that were written.
  std::size_t m_written = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_reported = 0;
};

}  // namespace cardamom
