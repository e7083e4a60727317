// Identifiers that cannot be guessed.
#pragma once

#include <string>

namespace cardamom {

// Returns 128 random bits as 32 hexadecimal digits. Throws std::runtime_error if the random number
// generator fails. Thread safe.
std::string RandomId();

}  // namespace cardamom
