// Splits lists in command-line values.
#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace cardamom {

// Splits `text` at commas. Thread safe.
inline std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

}  // namespace cardamom
