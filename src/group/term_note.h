// The note that the promoting proxy stores with the first entry of a term.
#pragma once

#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// Voters and primary of a term; both are fixed for the term.
struct TermNote {
  EndpointId primary;
  std::vector<EndpointId> voters;
};
BOOST_DESCRIBE_STRUCT(TermNote, (), (primary, voters))

// How many of `count` voters make a majority. Pure and thread safe.
inline std::size_t MajorityOf(std::size_t count) {
  return count / 2 + 1;
}

}  // namespace cardamom
