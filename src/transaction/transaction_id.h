// Transaction ids: they cannot be guessed, and contain the VM whose proxy holds the connection.
#pragma once

#include <optional>

#include "cardamom/strong.h"

namespace cardamom {

inline constexpr char kOwnerSeparator = '~';

// Precondition: the name of `owner` does not contain kOwnerSeparator. Throws std::runtime_error if
// the random number generator fails. Thread safe.
TransactionId NewTransactionId(const VmId& owner);

// The VM whose proxy owns the transaction; nullopt if `id` is malformed. Thread safe.
std::optional<VmId> OwnerOf(const TransactionId& id);

}  // namespace cardamom
