// One VM of the system as other VMs know it.
#pragma once

#include <string>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// A value type.
struct VmEntry {
  VmId id;
  // Where the VM's proxy answers its peers.
  std::string peer_address;
  // Where its operations port is.
  std::string operations_address;
  FailureDomain domain;
  Region region;
  bool leaving = false;
  // Processor share; a VM with more of it carries more groups.
  double capacity = 1;

  bool operator==(const VmEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(VmEntry,
                      (),
                      (id, peer_address, operations_address, domain, region, leaving, capacity))

}  // namespace cardamom
