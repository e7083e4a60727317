#include "events/bounded_appender.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <sstream>

#include <fmt/format.h>

#include "core/clock.h"

namespace cardamom {

BoundedAppender::BoundedAppender(int descriptor, std::size_t queue_bytes)
    : m_descriptor(descriptor), m_queue_bytes(queue_bytes) {}

BoundedAppender::~BoundedAppender() {
  destructorImpl();
}

void BoundedAppender::close() {
  Flush();
  closed = true;
}

std::uint64_t BoundedAppender::dropped() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  std::ostringstream text;
  layout->formatAndAppend(text, event);
  auto line = text.str();
  const std::lock_guard lock(m_mutex);
  if (m_bytes + line.size() > m_queue_bytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped > m_dropped_reported) {
    auto note = fmt::format(
        R"({{"code":107,"name":"log_lines_dropped","time_ms":{},"subject":{{"detail":"{} lines"}}}})"
        "\n",
        WallMillis(), m_dropped - m_dropped_reported);
    m_dropped_reported = m_dropped;
    m_bytes += note.size();
    m_lines.push_back(std::move(note));
  }
  m_bytes += line.size();
  m_lines.push_back(std::move(line));
}

void BoundedAppender::Flush() {
  const std::lock_guard lock(m_mutex);
  WriteWhatFits();
}

void BoundedAppender::WriteWhatFits() {
  while (!m_lines.empty()) {
    // A pipe that polls as writable accepts at least PIPE_BUF bytes without blocking.
    std::string chunk;
    std::size_t skip = m_written;
    for (const auto& line : m_lines) {
      if (chunk.size() >= PIPE_BUF) {
        break;
      }
      chunk.append(line, skip, PIPE_BUF - chunk.size());
      skip = 0;
    }
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    const auto count = ::write(m_descriptor, chunk.data(), chunk.size());
    if (count <= 0) {
      return;
    }
    auto left = static_cast<std::size_t>(count);
    while (left > 0 && !m_lines.empty()) {
      const auto rest = m_lines.front().size() - m_written;
      const auto part = std::min(rest, left);
      left -= part;
      m_written += part;
      if (m_written == m_lines.front().size()) {
        m_bytes -= m_lines.front().size();
        m_lines.pop_front();
        m_written = 0;
      }
    }
  }
}

}  // namespace cardamom
