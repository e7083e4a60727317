// Chooses the next primary where the platform carries out promotions by order.
#pragma once

#include <optional>
#include <vector>

#include "cardamom/strong.h"

namespace cardamom {

// What a server said once it could no longer take entries of the old term.
struct StoppedServer {
  EndpointId endpoint;
  // It was the primary of the old term.
  bool was_primary = false;
  // It answered, and receives nothing until it is told to.
  bool stopped = false;
  // It leaves, or the list no longer shows it: it must not lead.
  bool leaving = false;
  // It is known to be gone for long enough that every commit acknowledged since is on another
  // replica, which then holds all earlier ones too.
  bool gone_long_ago = false;
  // Last entry of its log.
  Position received;
};

// The server to promote, such that it holds every acknowledged commit, or nothing if that cannot be
// told. A commit is acknowledged once one replica has received it, so either every replica is
// heard and the longest log wins, or the old primary is heard and the successor holds its whole
// log. An old primary that was stopped may lead again if no replica is known to be whole. Pure and
// thread safe.
std::optional<EndpointId> ChooseSuccessor(const std::vector<StoppedServer>& servers);

}  // namespace cardamom
