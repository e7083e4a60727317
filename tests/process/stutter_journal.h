// What callers sent and received, and what database servers ran and committed.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cardamom::stutter {

using Values = std::map<std::string, std::string>;

// An answer to a statement as its caller received it. Without `complete` it broke off.
struct CallerAnswer {
  bool complete = false;
  bool ok = false;
  std::string error_code;
  std::string mac;
  std::vector<std::string> rows;
  char state = 'E';
};

// A statement that a caller sent whole.
struct SentStatement {
  std::string id;
  std::string text;
  std::uint64_t session = 0;
  // Number of the caller's transaction, 0 outside any.
  std::uint64_t transaction = 0;
  // Place within the transaction, without its BEGIN.
  std::size_t place = 0;
  // Values of the session that were acknowledged before. Not checked if empty.
  std::optional<Values> values;
  // Access and shape of the statement that an EXECUTE names.
  std::string shape;
  CallerAnswer answer;
};

// A statement as a server ran it.
struct RanStatement {
  std::string id;
  std::string text;
  std::string group;
  std::string server;
  std::uint64_t connection = 0;
  // Number of the server's transaction, 0 outside any.
  std::uint64_t transaction = 0;
  Values values;
  std::string shape;
  std::string mac;
  std::vector<std::string> rows;
  // The statement committed `committed`, its own write included.
  bool commits = false;
  std::vector<std::string> committed;
};

// Thread safe.
class Journal {
 public:
  std::uint64_t NextNumber();
  void OnSent(SentStatement statement);
  void OnAnswered(const std::string& id, CallerAnswer answer);
  void OnRan(RanStatement statement);
  // An operation that its caller saw through to the end, and whether it succeeded.
  void OnOperation(bool served);

  // Call these after all threads that write have ended.
  const std::map<std::string, SentStatement>& sent() const { return m_sent; }
  const std::vector<RanStatement>& ran() const { return m_ran; }
  std::size_t operations() const { return m_operations; }
  std::size_t served() const { return m_served; }

 private:
  std::mutex m_mutex;
  std::uint64_t m_number = 0;
  std::map<std::string, SentStatement> m_sent;
  std::vector<RanStatement> m_ran;
  std::size_t m_operations = 0;
  std::size_t m_served = 0;
};

}  // namespace cardamom::stutter
