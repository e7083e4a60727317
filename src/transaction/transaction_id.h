// Identifiers of transactions: unguessable, and naming the proxy that owns the connection.
#pragma once

#include <optional>

#include "cardamom/strong.h"

namespace cardamom {

inline constexpr char kOwnerSeparator = '~';

// Precondition: the name of `owner` does not contain kOwnerSeparator. Thread safe.
TransactionId NewTransactionId(const VmId& owner);

// The proxy that owns the transaction; nothing if the id has another form. Thread safe.
std::optional<VmId> OwnerOf(const TransactionId& id);

}  // namespace cardamom
