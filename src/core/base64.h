// Bytes as text.
#pragma once

#include <string>
#include <string_view>

namespace cardamom {

// Thread safe.
std::string EncodeBase64(std::string_view bytes);

// Throws std::runtime_error if `text` is no base64. Thread safe.
std::string DecodeBase64(std::string_view text);

}  // namespace cardamom
