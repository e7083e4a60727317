// The half of an organisation's quota that one owner leases to meters.
#pragma once

#include <map>
#include <string>

#include "organisation/organisation.h"
#include "quota/lease.h"
#include "quota/token_bucket.h"

namespace cardamom {

// Over all leases that a meter may still use, the rates sum up to at most half of the quota's rate,
// and the capacities together with the owner's own tokens to at most half of its burst. Admissions
// in any span of time t are thus at most half of (rate x t + burst). Not thread safe.
class LeaseLedger {
 public:
  // Tokens accrue from `grants_from` on. Before, the ledger grants no new leases; leases of an
  // earlier process of this VM may exist then.
  explicit LeaseLedger(BootTime grants_from) : m_grants_from(grants_from) {}

  // Answers a request under the quota in force. Before `grants_from`, renews leases that the
  // ledger does not know and grants nothing else. A request that is not newer than the meter's last
  // one gets no grant.
  LeaseGrant Answer(const LeaseRequest& request, const Quota& quota, BootTime now);

  // Sums over all leases that may still be in use.
  double ReservedRate() const { return Reserved("").rate; }
  double ReservedCapacity() const { return Reserved("").capacity; }
  double level() const { return m_bucket.level(); }

 private:
  struct Lease {
    std::uint64_t number = 0;
    double rate = 0;
    double capacity = 0;
    // The quota on which the lease was based. If the quota in force is lower, the meter scales the
    // lease down.
    Quota basis;
    BootTime expires_at;
  };
  struct Meter {
    std::uint64_t last_number = 0;
    // The lease that the meter named in its last request, and the one granted in answer to it. The
    // meter uses one of the two.
    Lease held;
    Lease offered;
    double want = 0;
    BootTime forget_at;
  };
  struct Sums {
    double rate = 0;
    double capacity = 0;
  };

  // Advances to `now`, through each expiry in between.
  void Advance(BootTime now);
  // Adapts the owner's own bucket to what is reserved.
  void ConfigureBucket(BootTime now);
  double ReservedRate(const Meter& meter) const;
  double ReservedCapacity(const Meter& meter) const;
  Sums Reserved(const std::string& except) const;
  // The max-min fair share of `meter` in `rate` by the rates that the meters want.
  double FairShare(const std::string& meter, double rate) const;
  double WantedRate() const;

  const BootTime m_grants_from;
  Quota m_quota;
  TokenBucket m_bucket;
  BootTime m_now;
  std::map<std::string, Meter> m_meters;
};

}  // namespace cardamom
