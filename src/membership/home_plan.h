// How many proxies hold links to the servers of a group, and how many links each.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cardamom {

struct HomePolicy {
  // Up to this many VMs every proxy holds links of its own.
  std::size_t direct_vms = 32;
  // Least number of links to a server with which a home works well.
  std::size_t least_links = 16;
  // Most homes of a group in one failure domain.
  std::size_t most_per_domain = 2;
  // Connections of a server that stay free for proxies that start while others still count.
  std::size_t spare_connections = 6;
};

// A value type.
struct HomePlan {
  // Homes of the group.
  std::size_t homes = 1;
  // Links that each may hold to one server.
  std::size_t links = 1;
};

// Each failure domain has at least one home, so that a statement is forwarded within its domain.
// Pure and thread safe.
HomePlan PlanHomes(std::size_t max_connections,
                   std::size_t vms,
                   std::size_t domains,
                   const HomePolicy& policy);

}  // namespace cardamom
