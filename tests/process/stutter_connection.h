// One connection of a server.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "stutter_server.h"

namespace cardamom::stutter {

// Used on one thread.
class Connection {
 public:
  Connection(Server& server, std::shared_ptr<LineSocket> socket, std::uint64_t seed);

  // Answers requests until the connection ends.
  void Run();

 private:
  struct Result {
    // Code of an error, or empty.
    std::string error;
    std::string mac = "-";
    std::vector<std::string> rows;
  };
  struct Repeat {
    TimePoint time;
    std::string text;
  };

  bool Chance(double share);
  int Below(int bound);
  bool Greet();
  bool Answer(const std::string& line);
  bool SendAnswer(const std::string& text, double repeat_share);
  bool SendRepeats();
  std::string Ready();

  Result RunQuery(const std::string& id, std::string_view text);
  Result RunOwn(std::string_view word, std::string_view rest);
  Result RunAccess(const std::string& id,
                   const std::string& text,
                   bool writes,
                   Values values,
                   const std::string& shape);
  Result RunCommit(const std::string& id);
  Result Begin(bool read_only);
  Result Status();
  Result Fail(const std::string& code);
  void Reset();
  bool Lacks(std::string_view position);
  std::string NextMac();

  Server& m_server;
  Group& m_group;
  std::shared_ptr<LineSocket> m_socket;
  std::mt19937_64 m_random;
  const std::uint64_t m_number;
  std::uint64_t m_runs = 0;
  std::vector<Repeat> m_repeats;
  char m_state = 'I';
  std::uint64_t m_transaction = 0;
  std::uint64_t m_transaction_term = 0;
  bool m_read_only = false;
  std::vector<std::string> m_writes;
  Values m_values;
  // Access and shape by name.
  std::map<std::string, std::string, std::less<>> m_prepared;
};

}  // namespace cardamom::stutter
