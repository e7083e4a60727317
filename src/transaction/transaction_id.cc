#include "transaction/transaction_id.h"

#include "core/random_id.h"

namespace cardamom {

TransactionId NewTransactionId(const VmId& owner) {
  return TransactionId(owner.value() + kOwnerSeparator + RandomId());
}

std::optional<VmId> OwnerOf(const TransactionId& id) {
  const auto separator_index = id.value().find(kOwnerSeparator);
  if (separator_index == std::string::npos || separator_index == 0) {
    return std::nullopt;
  }
  return VmId(id.value().substr(0, separator_index));
}

}  // namespace cardamom
