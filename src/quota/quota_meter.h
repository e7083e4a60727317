// Admits the operations of one organisation at one VM from leases of owners and a fixed allowance.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quota/fixed_allowance.h"
#include "quota/lease.h"
#include "quota/token_bucket.h"

namespace cardamom {

// Not thread safe. Times must not decrease.
class QuotaMeter {
 public:
  // The operations that were admitted, by what they were taken from. A value type.
  struct Admitted {
    std::int64_t from_leases = 0;
    std::int64_t from_allowance = 0;
    std::int64_t count() const { return from_leases + from_allowance; }
  };

  // `meter` and `incarnation` as in LeaseRequest.
  QuotaMeter(std::string organisation, std::string meter, std::string incarnation)
      : m_organisation(std::move(organisation)),
        m_meter(std::move(meter)),
        m_incarnation(std::move(incarnation)) {}

  // Sets the quota in force, the VM ids of the owners and the fixed allowance for each `window`.
  // A lower quota scales the leases held down at once. To be called before each group of calls
  // below.
  void Configure(const Quota& quota,
                 std::vector<std::string> owners,
                 std::int64_t allowance,
                 Millis window,
                 BootTime now);

  // Counts `count` operations as demand.
  void CountDemand(std::int64_t count, BootTime now);
  // Takes up to `count` operations, from leases first.
  Admitted Take(std::int64_t count, BootTime now);

  // Returns the request that is due to `owner`, if any: to renew, grow, shrink or release a lease,
  // or to get one. `need` operations wait for it. Marks the request as sent.
  std::optional<LeaseRequest> NextRequest(const std::string& owner,
                                          std::int64_t need,
                                          BootTime now);
  // Adopts the answer to the latest request to `owner`; other answers have no effect.
  void Adopt(const std::string& owner, const LeaseGrant& grant, BootTime now);
  // Records that the latest request to `owner` got no answer.
  void Fail(const std::string& owner, BootTime now);

  // The owners, the one to ask first at the front: it changes with each request.
  std::vector<std::string> Owners() const;
  // Whether the demand is so low that one owner is asked after the other instead of both at once.
  bool IsSparse(BootTime now) const;
  // Whether a request may be due without waiting operations.
  bool HasLease(BootTime now) const;
  // Operations per second over the last 0.5 to 4 s.
  double Demand(BootTime now) const;
  // When an operation that is refused now may be repeated.
  Millis RetryAfter(BootTime now);

 private:
  struct Slot {
    // Number of the latest request, and when it was sent.
    std::uint64_t number = 0;
    BootTime sent_at;
    bool awaiting = false;
    int failures = 0;
    // The next request is due at these times: in any case, if the lease is running out, and if
    // operations wait.
    BootTime renew_at;
    BootTime early_at;
    BootTime urgent_at;
    // The lease: number 0 means none.
    std::uint64_t lease_number = 0;
    BootTime expires_at;
    Quota basis;
    TokenBucket bucket;
    // Tokens given up since the last request.
    double returned = 0;
  };

  void Advance(Slot& slot, BootTime now) const;
  static void Drop(Slot& slot, BootTime now);
  void ScaleToQuota(Slot& slot, BootTime now) const;
  // Whether all leases together have few tokens left.
  bool IsRunningOut() const;
  double WantFrom(const std::string& owner, BootTime now) const;

  const std::string m_organisation;
  const std::string m_meter;
  const std::string m_incarnation;
  Quota m_quota;
  std::vector<std::string> m_owners;
  std::int64_t m_allowance = 0;
  Millis m_window{0};
  WindowCounter m_allowance_used;
  std::map<std::string, Slot> m_slots;
  // Demand in spans of 250 ms: number of the span, operations.
  std::deque<std::pair<std::int64_t, std::int64_t>> m_demand;
  std::uint64_t m_requests = 0;
};

}  // namespace cardamom
