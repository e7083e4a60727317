#include "pool/prepared_names.h"

#include <fmt/format.h>

namespace cardamom {

const std::string* PreparedNames::Find(const PreparedStatement& statement) const {
  const auto it = m_names.find(statement);
  return it == m_names.end() ? nullptr : &it->second;
}

std::string PreparedNames::NextName() const {
  return fmt::format("p{}", m_last_number + 1);
}

void PreparedNames::Add(const PreparedStatement& statement) {
  m_names.emplace(statement, NextName());
  ++m_last_number;
}

}  // namespace cardamom
