// Judges a run by what callers and servers saw on their sockets.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "stutter_journal.h"

namespace cardamom::stutter {

// Descriptions of the cases in which a rule was broken, by the name of the rule.
using Verdict = std::map<std::string, std::vector<std::string>>;

// Rules:
// MIXED    a success without the signature and the rows of a run of this statement
// UNASKED  a statement that no caller sent, or a commit that its caller did not ask for
// PINNED   a statement outside its transaction, inside another, or with other values or shapes
// TWICE    a write that was committed twice
// REFUSED  a write that was committed although its caller was told that nothing is kept
// LOST     an acknowledged write that was never committed
Verdict Judge(const Journal& journal);

}  // namespace cardamom::stutter
