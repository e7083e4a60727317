// A session of a consumer, and the count of what consumers got.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

struct StatementResult {
  // The server's signature, or nothing.
  std::string signature;
  std::string error;
  std::size_t row_bytes = 0;
  bool broken_off = false;
};

inline bool IsServed(const StatementResult& result) {
  return result.signature.size() > 1;
}

inline std::string Describe(const StatementResult& result) {
  if (IsServed(result)) {
    return "COMPLETE " + result.signature;
  }
  return result.broken_off ? "no answer" : "ERROR " + result.error;
}

// One session of a consumer.
class Session {
 public:
  Session(std::uint16_t port, const std::string& database, milliseconds timeout)
      : m_fd(ConnectTo(port)), m_reader(m_fd), m_timeout(timeout) {
    if (m_fd >= 0 && SendAll(m_fd, "CONNECT " + database + " user\r\n")) {
      const auto line = m_reader.Line(Clock::now() + milliseconds(2000));
      m_open = line && line->rfind("READY I", 0) == 0;
    }
  }
  ~Session() {
    if (m_fd >= 0) {
      close(m_fd);
    }
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  bool is_open() const { return m_open; }

  StatementResult Run(const std::string& id, const std::string& text) {
    StatementResult result;
    const auto deadline = Clock::now() + m_timeout;
    bool answered = SendAll(m_fd, "QUERY " + id + " " + text + "\r\n");
    while (answered) {
      const auto line = m_reader.Line(deadline);
      if (!line) {
        answered = false;
      } else if (line->rfind("DATAROW ", 0) == 0) {
        result.row_bytes += line->size();
      } else if (line->rfind("COMPLETE ", 0) == 0) {
        result.signature = line->substr(9);
      } else if (line->rfind("ERROR ", 0) == 0) {
        result.error = line->substr(6);
      } else if (line->rfind("READY ", 0) == 0) {
        break;
      }
    }
    result.broken_off = !answered;
    m_open = answered;
    return result;
  }

 private:
  int m_fd;
  Reader m_reader;
  milliseconds m_timeout;
  bool m_open = false;
};

inline std::string NewId() {
  static std::atomic<std::uint64_t> g_next{1};
  std::ostringstream id;
  id << std::hex << 0x5c0e000000000000ULL + g_next++;
  return id.str();
}

// What consumers got, by time.
class Tally {
 public:
  void Add(bool served) {
    const std::lock_guard lock(m_mutex);
    m_requests.emplace_back(NowMs(), served);
  }

  // Requests that ended from `from` to `to`, and how many of them were served.
  std::pair<std::size_t, std::size_t> Count(std::int64_t from, std::int64_t to) {
    const std::lock_guard lock(m_mutex);
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& [time, was_served] : m_requests) {
      const bool counts = time >= from && time < to;
      all += counts ? 1 : 0;
      served += counts && was_served ? 1 : 0;
    }
    return {all, served};
  }

 private:
  std::mutex m_mutex;
  std::vector<std::pair<std::int64_t, bool>> m_requests;
};

}  // namespace review
