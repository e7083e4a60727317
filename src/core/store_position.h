// Where an observation of the platform's store stands in the store's history.
//
// The store may be restored from an older copy of itself. What was written since the copy is then
// gone, and the versions are given out again, so versions of different eras cannot be compared.
#pragma once

#include <compare>
#include <cstdint>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// How often the store was restored, as it counts itself; 0 for a store that does not report it.
using StoreEra = Strong<struct StoreEraTag, std::uint64_t>;
// Version of the store or of one of its rows. Grows with each write within an era.
using StoreVersion = Strong<struct StoreVersionTag, std::uint64_t>;

// The state of the store at one moment. A value type, ordered by era and then version.
struct StorePosition {
  StoreEra era;
  StoreVersion version;

  auto operator<=>(const StorePosition&) const = default;
  bool operator==(const StorePosition&) const = default;
};
BOOST_DESCRIBE_STRUCT(StorePosition, (), (era, version))

// What an answer of the store means for rows read before it.
enum class StoreOrder {
  // The answer is older than the rows, for example one that arrived late. It must be ignored.
  kOlder,
  // The answer is as new as the rows or newer, in the same era.
  kNotOlder,
  // The store was restored since the rows were read. Only a complete read can replace them.
  kRestored,
};

// Compares the position of an answer with that of the rows `held`. Pure and thread safe.
inline StoreOrder CompareToHeld(const StorePosition& answer, const StorePosition& held) {
  if (answer.era != held.era) {
    return answer.era > held.era ? StoreOrder::kRestored : StoreOrder::kOlder;
  }
  return answer.version < held.version ? StoreOrder::kOlder : StoreOrder::kNotOlder;
}

}  // namespace cardamom
