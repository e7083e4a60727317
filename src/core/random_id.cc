#include "core/random_id.h"

#include <array>
#include <cstdint>
#include <stdexcept>

#include <fmt/format.h>
#include <openssl/rand.h>

namespace cardamom {

std::string RandomId() {
  std::array<std::uint64_t, 2> words{};
  if (RAND_bytes(reinterpret_cast<unsigned char*>(words.data()), sizeof(words)) != 1) {
    throw std::runtime_error("the random number generator failed");
  }
  return fmt::format("{:016x}{:016x}", words[0], words[1]);
}

}  // namespace cardamom
