// Messages between proxies about usage limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/json.h"
#include "quota/lease.h"

namespace cardamom {

// HTTP path on the address for peers.
inline constexpr const char* kPeerQuotaPath = "/v1/peer/quota";

// Asks a meter to admit operations.
struct PermissionRequest {
  std::string organisation;
  std::int64_t count = 0;
};
BOOST_DESCRIBE_STRUCT(PermissionRequest, (), (organisation, count))

struct PermissionReply {
  // Number of admitted operations.
  std::int64_t granted = 0;
  // When the others may be repeated.
  std::int64_t retry_ms = 0;
};
BOOST_DESCRIBE_STRUCT(PermissionReply, (), (granted, retry_ms))

// POST kPeerQuotaPath: `permission` is for a meter, `lease` for an owner.
struct PeerQuotaRequest {
  std::optional<PermissionRequest> permission;
  std::optional<LeaseRequest> lease;
};
BOOST_DESCRIBE_STRUCT(PeerQuotaRequest, (), (permission, lease))

// Has the members that the request has.
struct PeerQuotaReply {
  std::optional<PermissionReply> permission;
  std::optional<LeaseGrant> lease;
};
BOOST_DESCRIBE_STRUCT(PeerQuotaReply, (), (permission, lease))

}  // namespace cardamom
