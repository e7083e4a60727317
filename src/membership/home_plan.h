// Number of home proxies of a group, and of links that each holds to a server.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cardamom {

struct HomePolicy {
  // Up to this many VMs every proxy is a home and holds its own links, if the connections suffice.
  std::size_t max_vms_all_homes = 32;
  // Minimum number of links to a server with which a home works well: a failure domain gets more
  // than one home only if each still has this many.
  std::size_t min_links_per_home = 16;
  // Maximum number of homes of a group per failure domain.
  std::size_t max_homes_per_domain = 2;
  // Connections per server kept free for proxies that start while others still hold links by an
  // older plan.
  std::size_t spare_connections = 6;
};

// A value type.
struct HomePlan {
  // Number of homes of the group.
  std::size_t homes = 1;
  // Number of links that each home may hold to one server.
  std::size_t links_per_home = 1;
};

// Chooses the number of homes for a group whose servers accept `max_connections` each, in a system
// of `vms` proxies in `domains` failure domains. Each failure domain has at least one home, so that
// a statement is forwarded within its domain. Pure and thread safe.
HomePlan PlanHomes(std::size_t max_connections,
                   std::size_t vm_count,
                   std::size_t domain_count,
                   const HomePolicy& policy);

}  // namespace cardamom
