// Messages by which a meter leases a part of an organisation's quota from an owner, and the time
// limits that both sides rely on.
#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/json.h"

namespace cardamom {

// A lease is valid for this time from the moment at which the meter sent its request.
constexpr Millis kLeaseTime{4000};
// Validity of a lease that only serves the operations that wait for it.
constexpr Millis kSpotLeaseTime{150};
// The owner keeps a lease reserved for longer than the meter uses it, so that clocks may differ in
// rate by 0.5%.
constexpr Millis kLeaseMargin{20};
// An owner grants only while its list of members is provably younger than this.
constexpr Millis kMaxListAge{8000};
// A permission is used at most this long after it was requested.
constexpr Millis kPermissionTime{150};

// A meter's request. Rates are in operations per second.
struct LeaseRequest {
  std::string organisation;
  std::string meter;
  // Differs for each process of the meter's VM.
  std::string incarnation;
  // Increases with each request of a meter to an owner.
  std::uint64_t number = 0;
  // Number of the request whose lease the meter holds; 0 if it holds none.
  std::uint64_t held_number = 0;
  // Rate and capacity to which the meter has limited the lease that it holds.
  double held_rate = 0;
  double held_capacity = 0;
  // Tokens left of that lease.
  double level = 0;
  // Tokens that the meter gave up since its last request because its lease became smaller. The
  // owner may lease them again.
  double returned = 0;
  // The rate that the meter wants from this owner.
  double want = 0;
  // Operations that wait for tokens.
  std::int64_t need = 0;
};
BOOST_DESCRIBE_STRUCT(LeaseRequest,
                      (),
                      (organisation,
                       meter,
                       incarnation,
                       number,
                       held_number,
                       held_rate,
                       held_capacity,
                       level,
                       returned,
                       want,
                       need))

// An owner's answer.
struct LeaseGrant {
  // False: the owner does not grant now; a lease that the meter holds stays valid.
  bool granted = false;
  // Number of the request.
  std::uint64_t number = 0;
  double rate = 0;
  double capacity = 0;
  // Tokens that the meter may use in addition to those that it holds.
  double tokens = 0;
  std::int64_t valid_ms = 0;
  // Rate and burst of the whole quota on which the grant is based.
  double quota_rate = 0;
  double quota_burst = 0;
  // Time for which the owner expects to have no more for the meter.
  std::int64_t pause_ms = 0;
};
BOOST_DESCRIBE_STRUCT(
    LeaseGrant,
    (),
    (granted, number, rate, capacity, tokens, valid_ms, quota_rate, quota_burst, pause_ms))

}  // namespace cardamom
