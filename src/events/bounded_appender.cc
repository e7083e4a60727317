#include "events/bounded_appender.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <sstream>

#include <fmt/format.h>

#include "core/clock.h"

namespace cardamom {

BoundedAppender::BoundedAppender(int descriptor, std::size_t max_queue_bytes)
    : m_descriptor(descriptor), m_max_queue_bytes(max_queue_bytes) {}

BoundedAppender::~BoundedAppender() {
  destructorImpl();
}

void BoundedAppender::close() {
  Flush();
  closed = true;
}

std::uint64_t BoundedAppender::dropped_lines() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped_lines;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream text;
  layout->formatAndAppend(text, event);
  auto line = text.str();
  const std::lock_guard lock(m_mutex);
  if (m_queued_bytes + line.size() > m_max_queue_bytes) {
    ++m_dropped_lines;
    return;
  }
  if (m_dropped_lines > m_reported_dropped_lines) {
    auto dropped_event = fmt::format(
        R"({{"code":107,"name":"log_lines_dropped","time_ms":{},"subject":{{"detail":"{} lines"}}}})"
        "\n",
        WallMillis(), m_dropped_lines - m_reported_dropped_lines);
    m_reported_dropped_lines = m_dropped_lines;
    m_queued_bytes += dropped_event.size();
    m_lines.push_back(std::move(dropped_event));
  }
  m_queued_bytes += line.size();
  m_lines.push_back(std::move(line));
}

void BoundedAppender::Flush() {
  const std::lock_guard lock(m_mutex);
  WriteWithoutBlocking();
}

void BoundedAppender::WriteWithoutBlocking() {
  while (!m_lines.empty()) {
    // A pipe that polls as writable accepts at least PIPE_BUF bytes without blocking.
    std::string chunk;
    std::size_t offset = m_first_line_written_bytes;
    for (const auto& line : m_lines) {
      if (chunk.size() >= PIPE_BUF) {
        break;
      }
      chunk.append(line, offset, PIPE_BUF - chunk.size());
      offset = 0;
    }
    pollfd poll_entry{m_descriptor, POLLOUT, 0};
    if (::poll(&poll_entry, 1, 0) <= 0 || (poll_entry.revents & POLLOUT) == 0) {
      return;
    }
    const auto count = ::write(m_descriptor, chunk.data(), chunk.size());
    if (count <= 0) {
      return;
    }
    auto unaccounted_bytes = static_cast<std::size_t>(count);
    while (unaccounted_bytes > 0 && !m_lines.empty()) {
      const auto rest = m_lines.front().size() - m_first_line_written_bytes;
      const auto part = std::min(rest, unaccounted_bytes);
      unaccounted_bytes -= part;
      m_first_line_written_bytes += part;
      if (m_first_line_written_bytes == m_lines.front().size()) {
        m_queued_bytes -= m_lines.front().size();
        m_lines.pop_front();
        m_first_line_written_bytes = 0;
      }
    }
  }
}

}  // namespace cardamom
