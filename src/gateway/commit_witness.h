// Finds out whether a replica that no takeover can miss has received a commit.
#pragma once

#include <memory>

#include "gateway/group_client.h"

namespace cardamom {

// Whether commits can be expected to be acknowledged to callers of this proxy: it has a lease, or
// one of the group's servers may be a witness, see MayBeWitness. Not thread safe.
bool MayPassOnCommits(const GroupClient& group);

// Asks the group's replicas until one of them is a witness of a commit at or before `commit`.
// Returns false if none is by `deadline`, or none may be one. A status that proves this comes on a
// link that is as old as the witness has to be, so that it is the listed process. Not thread safe.
asio::awaitable<bool> IsWitnessed(GatewayContext& context,
                                  std::shared_ptr<GroupClient> group,
                                  Position commit,
                                  TimePoint deadline);

}  // namespace cardamom
