#include "transaction/transaction_id.h"

#include "core/random_id.h"

namespace cardamom {

TransactionId NewTransactionId(const VmId& owner) {
  return TransactionId(owner.value() + kOwnerSeparator + RandomId());
}

std::optional<VmId> OwnerOf(const TransactionId& id) {
  const auto place = id.value().find(kOwnerSeparator);
  if (place == std::string::npos || place == 0) {
    return std::nullopt;
  }
  return VmId(id.value().substr(0, place));
}

}  // namespace cardamom
