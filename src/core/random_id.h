// Unguessable identifiers.
#pragma once

#include <string>

namespace cardamom {

// 128 random bits as 32 hexadecimal digits. Thread safe.
std::string RandomId();

}  // namespace cardamom
