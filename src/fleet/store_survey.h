// Asks other proxies whether the store answers them.
#pragma once

#include <vector>

#include "failover/outage_rules.h"
#include "fleet/home_client.h"

namespace cardamom {

// Asks some of `homes` but `self`, all at once. Not thread safe.
asio::awaitable<std::vector<StoreAnswer>> AskAboutStore(GatewayContext& context,
                                                        HomeClient& peers,
                                                        std::vector<VmEntry> homes,
                                                        VmId self);

}  // namespace cardamom
