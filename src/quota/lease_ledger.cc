#include "quota/lease_ledger.h"

#include <algorithm>
#include <vector>

namespace cardamom {
namespace {

// Meters that want less than this rate get tokens only for the operations that wait: a lease would
// hold a part of the burst that others need.
constexpr double kMinLeasedRate = 0.5;
constexpr double kMinLeasedCapacity = 0.5;
// Part of the burst that is leased. The rest serves the first requests of meters without a lease.
constexpr double kLeasedBurst = 0.5;
// How long a meter that lacks tokens shall wait before it asks again: while the owner's own tokens
// are used up, and while the meters want more than there is.
constexpr Millis kRefillPause{200};
constexpr Millis kOverloadPause{1000};

double Scale(double value, double basis, double now) {
  return basis > now ? value * now / basis : value;
}

}  // namespace

double LeaseLedger::ReservedRate(const Meter& meter) const {
  const auto scaled = [this](const Lease& lease) {
    return Scale(lease.rate, lease.basis.rate_per_s, m_quota.rate_per_s);
  };
  return std::max(scaled(meter.held), scaled(meter.offered));
}

double LeaseLedger::ReservedCapacity(const Meter& meter) const {
  const auto scaled = [this](const Lease& lease) {
    return Scale(lease.capacity, lease.basis.burst, m_quota.burst);
  };
  return std::max(scaled(meter.held), scaled(meter.offered));
}

LeaseLedger::Sums LeaseLedger::Reserved(const std::string& except) const {
  Sums sums;
  for (const auto& [key, meter] : m_meters) {
    if (key != except) {
      sums.rate += ReservedRate(meter);
      sums.capacity += ReservedCapacity(meter);
    }
  }
  return sums;
}

void LeaseLedger::ConfigureBucket(BootTime now) {
  if (now < m_grants_from) {
    m_bucket.Configure(0, 0, now);
    return;
  }
  const auto reserved = Reserved("");
  m_bucket.Configure(std::max(0.0, m_quota.rate_per_s / 2 - reserved.rate),
                     std::max(0.0, m_quota.burst / 2 - reserved.capacity), now);
}

void LeaseLedger::Advance(BootTime now) {
  m_now = std::max(m_now, now);
  for (;;) {
    auto next = m_now;
    if (m_grants_from <= m_now) {
      // Tokens do not accrue before that time.
      ConfigureBucket(std::min(m_grants_from, m_now));
    }
    for (const auto& [key, meter] : m_meters) {
      for (const auto* lease : {&meter.held, &meter.offered}) {
        if (lease->number != 0) {
          next = std::min(next, lease->expires_at);
        }
      }
    }
    m_bucket.Advance(next);
    for (auto& [key, meter] : m_meters) {
      for (auto* lease : {&meter.held, &meter.offered}) {
        if (lease->number != 0 && lease->expires_at <= next) {
          *lease = {};
        }
      }
    }
    ConfigureBucket(next);
    if (next == m_now) {
      break;
    }
  }
  std::erase_if(m_meters, [this](const auto& entry) {
    const auto& meter = entry.second;
    return meter.held.number == 0 && meter.offered.number == 0 && meter.forget_at <= m_now;
  });
}

double LeaseLedger::WantedRate() const {
  double sum = 0;
  for (const auto& [key, meter] : m_meters) {
    sum += meter.want;
  }
  return sum;
}

double LeaseLedger::FairShare(const std::string& meter, double rate) const {
  std::vector<double> wants;
  for (const auto& [key, other] : m_meters) {
    wants.push_back(other.want);
  }
  std::sort(wants.begin(), wants.end());
  const double want = m_meters.at(meter).want;
  double left = rate;
  auto users = static_cast<double>(wants.size());
  for (const double next : wants) {
    if (next * users >= left) {
      return std::min(want, left / users);
    }
    left -= next;
    users -= 1;
  }
  return want;
}

LeaseGrant LeaseLedger::Answer(const LeaseRequest& request, const Quota& quota, BootTime now) {
  if (m_quota == Quota()) {
    m_quota = quota;
  }
  Advance(now);
  m_quota = quota;
  const bool may_grant = m_now >= m_grants_from;
  const auto key = request.meter + "/" + request.incarnation;
  LeaseGrant grant;
  grant.number = request.number;
  if (!may_grant && request.held_number == 0) {
    return grant;
  }
  auto& meter = m_meters[key];
  if (request.number <= meter.last_number) {
    return grant;
  }
  meter.last_number = request.number;
  meter.want = std::clamp(request.want, 0.0, quota.rate_per_s);
  meter.forget_at = m_now + kLeaseTime;
  const double reserved_before = ReservedCapacity(meter);
  // The meter accepts answers to its latest request only, so no other lease is in use.
  if (request.held_number == meter.offered.number) {
    meter.held = meter.offered;
  }
  meter.offered = {};
  const auto others = Reserved(key);
  const double rate_room = std::max(0.0, quota.rate_per_s / 2 - others.rate);
  const double capacity_room = std::max(0.0, quota.burst / 2 - others.capacity);
  if (request.held_number == 0 || (request.held_number != meter.held.number && may_grant)) {
    meter.held = {};
  } else if (request.held_number != meter.held.number) {
    // Granted by an earlier process of this VM.
    meter.held = {request.held_number, rate_room, capacity_room, quota, m_now + kLeaseTime};
  }
  meter.held.rate = std::min(meter.held.rate, std::max(0.0, request.held_rate));
  meter.held.capacity = std::min(meter.held.capacity, std::max(0.0, request.held_capacity));
  ConfigureBucket(m_now);
  if (may_grant) {
    // Up to now these tokens were within the capacity reserved for the meter.
    m_bucket.Add(
        std::clamp(request.returned, 0.0, std::max(0.0, reserved_before - meter.held.capacity)));
  }

  const double wanted = std::max(WantedRate(), quota.rate_per_s / 4);
  const auto need = static_cast<double>(std::max<std::int64_t>(0, request.need));
  double rate = std::min(rate_room, FairShare(key, quota.rate_per_s / 2));
  double capacity = kLeasedBurst * quota.burst / 2 * std::min(1.0, meter.want / wanted);
  const bool leases =
      meter.want >= kMinLeasedRate && std::min(capacity, capacity_room) >= kMinLeasedCapacity;
  // A lease holds as many tokens as operations wait for.
  capacity = std::min(capacity_room, std::max(capacity, std::min(need, m_bucket.level())));
  if (!may_grant) {
    rate = std::min(rate, meter.held.rate);
    capacity = std::min(capacity, meter.held.capacity);
  }
  auto valid = kLeaseTime;
  if (leases || !may_grant) {
    const double missing = capacity - std::clamp(request.level, 0.0, capacity);
    grant.tokens = m_bucket.Take(missing);
  } else {
    grant.tokens = m_bucket.level() >= 1 ? m_bucket.Take(need) : 0;
    rate = 0;
    capacity = grant.tokens;
    valid = kSpotLeaseTime;
  }
  meter.offered = {request.number, rate, capacity, quota, m_now + valid + kLeaseMargin};
  ConfigureBucket(m_now);
  grant.granted = true;
  grant.rate = rate;
  grant.capacity = capacity;
  grant.valid_ms = valid.count();
  grant.quota_rate = quota.rate_per_s;
  grant.quota_burst = quota.burst;
  const bool overloaded = WantedRate() > quota.rate_per_s / 2;
  const bool has_more = leases ? m_bucket.level() > 0 : grant.tokens >= need;
  grant.pause_ms = overloaded ? kOverloadPause.count() : has_more ? 0 : kRefillPause.count();
  return grant;
}

}  // namespace cardamom
