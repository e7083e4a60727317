// The roster of a group as this process knows it.
#pragma once

#include "failover/fence_row.h"
#include "gateway/group_client.h"
#include "gateway/server_poll.h"

namespace cardamom {

// The listed servers and the departed ones that are not covered. A departed server counts as
// covered only as far as its answer in `asked` allows. Not thread safe.
GroupRoster MakeRoster(const GroupClient& group, const ServerAnswers& asked);

// The servers that a roster names once all departed ones have been asked, if none of them is alive.
// Not thread safe.
std::vector<ServerIncarnation> LeastRosterServers(const GroupClient& group);

// Returns `recorded` with the servers that this process knows and `recorded` neither names nor
// covers. Not thread safe.
GroupRoster AddKnownServers(GroupRoster recorded, const GroupClient& group);

// Whether the primary leads the newest term and a replica holds all that servers outside the roster
// can have acknowledged. The end of a primary's log may be on no other server. Pure and thread
// safe.
bool IsSupported(const GroupRoster& roster,
                 const EndpointId& primary,
                 const ServerStatuses& statuses);

}  // namespace cardamom
