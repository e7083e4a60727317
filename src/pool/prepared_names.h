// Names of the statements that a server keeps prepared on one link.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "statement/statement.h"

namespace cardamom {

// Numbers the statements in the order in which they are prepared. A number is used once in the life
// of a link, and no name depends on a hash of the statement: callers could choose two statements
// with the same hash, and one would run instead of the other. A value type.
class PreparedNames {
 public:
  // Bounds the memory that one link takes at the server and here.
  static constexpr std::size_t kMaxNames = 256;

  // The name under which `statement` is prepared, or nullptr.
  const std::string* Find(const PreparedStatement& statement) const;
  // The name of the next statement that is added.
  std::string NextName() const;
  // Records that `statement` is prepared under NextName(). Precondition: Find(statement) is null.
  void Add(const PreparedStatement& statement);
  // Records that the server has cleared all names.
  void Clear() { m_names.clear(); }
  std::size_t size() const { return m_names.size(); }

 private:
  std::map<PreparedStatement, std::string> m_names;
  std::uint64_t m_last_number = 0;
};

}  // namespace cardamom
