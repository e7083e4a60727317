// Addresses, location and state of one VM, as published to the other VMs.
#pragma once

#include <string>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// A value type.
struct VmEntry {
  VmId id;
  // Address at which the VM's proxy accepts requests of its peers.
  std::string peer_address;
  // Address of its operations port.
  std::string operations_address;
  FailureDomain domain;
  Region region;
  bool leaving = false;
  // Processor share; a VM with a larger share is assigned to more groups.
  double capacity = 1;

  bool operator==(const VmEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(VmEntry,
                      (),
                      (id, peer_address, operations_address, domain, region, leaving, capacity))

}  // namespace cardamom
