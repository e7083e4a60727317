// Asks other proxies whether the store answers them.
#pragma once

#include <vector>

#include "failover/outage_rules.h"
#include "fleet/home_client.h"

namespace cardamom {

// Asks the first 11 of `homes` other than `self`, all at once. Returns one answer for each proxy
// that was asked, within 250 ms; kNoAnswer for one that gave no valid answer in time. Not thread
// safe. The references must outlive the requests.
asio::awaitable<std::vector<StoreReport>> AskAboutStore(GatewayContext& context,
                                                        HomeClient& peers,
                                                        std::vector<VmEntry> homes,
                                                        VmId self);

}  // namespace cardamom
