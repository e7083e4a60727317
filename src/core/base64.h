// Base64 encoding and decoding.
#pragma once

#include <string>
#include <string_view>

namespace cardamom {

// Encodes `bytes` with padding and without line breaks. Thread safe.
std::string EncodeBase64(std::string_view bytes);

// Throws std::runtime_error if `text` is not valid base64. Thread safe.
std::string DecodeBase64(std::string_view text);

}  // namespace cardamom
