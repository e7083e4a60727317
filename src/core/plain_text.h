// The texts that fit into one line of the wire protocol.
#pragma once

#include <algorithm>
#include <string_view>

namespace cardamom {

// Whether `text` has no control characters. Bytes that are not ASCII are allowed. Thread safe.
inline bool IsPlainText(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

}  // namespace cardamom
