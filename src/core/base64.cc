#include "core/base64.h"

#include <stdexcept>

#include <openssl/evp.h>

namespace cardamom {
namespace {

const unsigned char* BytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  // EVP_EncodeBlock writes a terminating zero byte.
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), BytesOf(bytes),
                                    static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes(text.size() / 4 * 3 + 3, '\0');
  const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), BytesOf(text),
                                    static_cast<int>(text.size()));
  // The size that EVP_DecodeBlock returns includes the padding.
  const auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  if (size < padding) {
    throw std::runtime_error("a value is no base64");
  }
  bytes.resize(static_cast<std::size_t>(size - padding));
  return bytes;
}

}  // namespace cardamom
