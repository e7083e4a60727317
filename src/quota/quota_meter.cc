#include "quota/quota_meter.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace cardamom {
namespace {

constexpr Millis kRenewInterval{1000};
// Least time between requests to one owner while operations wait, unless the owner asks for more.
constexpr Millis kMinUrgentInterval{20};
// Least time between requests if the lease is running out.
constexpr Millis kEarlyRenewInterval{500};
constexpr Millis kMaxBackoff{4000};
constexpr Millis kDemandSpan{250};
constexpr std::int64_t kSpansPerSecond = 4;
// The demand is the greatest average over these numbers of spans that have the operations stated:
// few operations say nothing about a short time.
struct DemandHorizon {
  std::int64_t spans;
  double least_operations;
};
constexpr std::array<DemandHorizon, 4> kHorizons = {{{2, 16}, {4, 12}, {8, 8}, {16, 0}}};
constexpr std::int64_t kLongestSpans = 16;
// The rate that is asked for, relative to the demand. Random peaks are served from the owner's own
// tokens, which all meters share.
constexpr double kHeadroom = 1.05;
// A lease is renewed early if its tokens are below this part of its capacity.
constexpr double kRunningOut = 0.25;
// Below this demand a meter asks one owner after the other.
constexpr double kSparseDemand = 1;
constexpr Millis kMinRetry{100};
constexpr Millis kMaxRetry{2000};
// Rounding errors of sums of tokens do not cost an operation.
constexpr double kEpsilon = 1e-9;

std::int64_t SpanOf(BootTime time) {
  return time.time_since_epoch() / kDemandSpan;
}

}  // namespace

void QuotaMeter::Configure(const Quota& quota,
                           std::vector<std::string> owners,
                           std::int64_t allowance,
                           Millis window,
                           BootTime now) {
  m_quota = quota;
  m_owners = std::move(owners);
  m_allowance = allowance;
  m_window = window;
  for (const auto& owner : m_owners) {
    m_slots.try_emplace(owner);
  }
  for (auto it = m_slots.begin(); it != m_slots.end();) {
    auto& slot = it->second;
    Advance(slot, now);
    ScaleToQuota(slot, now);
    const bool is_owner = std::find(m_owners.begin(), m_owners.end(), it->first) != m_owners.end();
    const bool unused =
        !is_owner && slot.lease_number == 0 && !slot.awaiting && now > slot.sent_at + kLeaseTime;
    it = unused ? m_slots.erase(it) : std::next(it);
  }
}

void QuotaMeter::Drop(Slot& slot, BootTime now) {
  slot.lease_number = 0;
  slot.bucket.Configure(0, 0, now);
}

void QuotaMeter::Advance(Slot& slot, BootTime now) const {
  if (slot.lease_number != 0 && now >= slot.expires_at) {
    Drop(slot, now);
  }
  slot.bucket.Advance(now);
}

void QuotaMeter::ScaleToQuota(Slot& slot, BootTime now) const {
  auto rate = slot.bucket.rate();
  auto capacity = slot.bucket.capacity();
  if (m_quota.rate_per_s < slot.basis.rate_per_s) {
    rate *= m_quota.rate_per_s / slot.basis.rate_per_s;
    slot.basis.rate_per_s = m_quota.rate_per_s;
  }
  if (m_quota.burst < slot.basis.burst) {
    capacity *= m_quota.burst / slot.basis.burst;
    slot.basis.burst = m_quota.burst;
  }
  slot.bucket.Configure(rate, capacity, now);
}

void QuotaMeter::CountDemand(std::int64_t count, BootTime now) {
  const auto span = SpanOf(now);
  while (!m_demand.empty() && m_demand.front().first <= span - kLongestSpans) {
    m_demand.pop_front();
  }
  if (m_demand.empty() || m_demand.back().first < span) {
    m_demand.emplace_back(span, 0);
  }
  m_demand.back().second += count;
}

double QuotaMeter::Demand(BootTime now) const {
  const auto span = SpanOf(now);
  double demand = 0;
  for (const auto& horizon : kHorizons) {
    double operations = 0;
    for (const auto& [at, count] : m_demand) {
      operations += at > span - horizon.spans ? static_cast<double>(count) : 0;
    }
    if (operations >= horizon.least_operations) {
      demand = std::max(demand, operations * kSpansPerSecond / static_cast<double>(horizon.spans));
    }
  }
  return demand;
}

QuotaMeter::Admitted QuotaMeter::Take(std::int64_t count, BootTime now) {
  double level = 0;
  for (auto& [owner, slot] : m_slots) {
    Advance(slot, now);
    level += slot.bucket.level();
  }
  Admitted admitted;
  admitted.from_leases =
      std::clamp(static_cast<std::int64_t>(std::floor(level + kEpsilon)), std::int64_t{0}, count);
  // Leases are used evenly, so that they run out together.
  const auto taken = static_cast<double>(admitted.from_leases);
  for (auto& [owner, slot] : m_slots) {
    slot.bucket.Take(level > 0 ? taken * slot.bucket.level() / level : 0);
  }
  admitted.from_allowance = m_allowance_used.Take(count - admitted.from_leases, m_allowance,
                                                  m_window + kPermissionTime, now);
  return admitted;
}

bool QuotaMeter::IsRunningOut() const {
  double level = 0;
  double capacity = 0;
  for (const auto& [owner, slot] : m_slots) {
    level += slot.bucket.level();
    capacity += slot.bucket.capacity();
  }
  return level < capacity * kRunningOut;
}

double QuotaMeter::WantFrom(const std::string& owner, BootTime now) const {
  const double demand = Demand(now);
  const double want = std::min(demand * kHeadroom, m_quota.rate_per_s);
  double answering = 1;
  for (const auto& other : m_owners) {
    const auto slot = m_slots.find(other);
    answering += other != owner && slot != m_slots.end() && slot->second.failures == 0 ? 1 : 0;
  }
  return want / answering;
}

std::optional<LeaseRequest> QuotaMeter::NextRequest(const std::string& owner,
                                                    std::int64_t need,
                                                    BootTime now) {
  auto& slot = m_slots[owner];
  Advance(slot, now);
  const bool running_out = need > 0 || IsRunningOut();
  const bool due = now >= slot.renew_at || (running_out && now >= slot.urgent_at);
  const bool allowance_is_short = m_allowance_used.used() * 2 > m_allowance;
  const bool useful = need > 0 || slot.lease_number != 0 || (allowance_is_short && !IsSparse(now));
  if (slot.awaiting || !due || !useful) {
    return std::nullopt;
  }
  const double want = WantFrom(owner, now);
  const auto held_number = slot.lease_number;
  const double level_before = slot.bucket.level();
  // What is not needed is given up before the request, so that the owner may lease it at once.
  if (want <= 0) {
    Drop(slot, now);
  } else if (want < slot.bucket.rate()) {
    const double kept = want / slot.bucket.rate();
    slot.bucket.Configure(want, slot.bucket.capacity() * (kept < 0.5 ? kept : 1), now);
  }
  ++slot.number;
  ++m_requests;
  slot.sent_at = now;
  slot.awaiting = true;
  slot.renew_at = now + kRenewInterval;
  slot.early_at = now + kEarlyRenewInterval;
  slot.urgent_at = now + kMinUrgentInterval;
  LeaseRequest request;
  request.organisation = m_organisation;
  request.meter = m_meter;
  request.incarnation = m_incarnation;
  request.number = slot.number;
  request.held_number = held_number;
  request.held_rate = slot.bucket.rate();
  request.held_capacity = slot.bucket.capacity();
  request.level = slot.bucket.level();
  request.returned = std::exchange(slot.returned, 0.0) + level_before - slot.bucket.level();
  request.want = want;
  request.need = need;
  return request;
}

void QuotaMeter::Adopt(const std::string& owner, const LeaseGrant& grant, BootTime now) {
  auto& slot = m_slots[owner];
  if (!slot.awaiting || grant.number != slot.number) {
    return;
  }
  if (!grant.granted) {
    Fail(owner, now);
    return;
  }
  slot.awaiting = false;
  slot.failures = 0;
  slot.urgent_at =
      slot.sent_at + std::clamp(Millis(grant.pause_ms), kMinUrgentInterval, kRenewInterval);
  Advance(slot, now);
  const auto expires_at = slot.sent_at + std::min(Millis(grant.valid_ms), kLeaseTime);
  if (now >= expires_at) {
    return;
  }
  const double tokens = slot.bucket.level() + std::max(0.0, grant.tokens);
  slot.returned += std::max(0.0, tokens - std::max(0.0, grant.capacity));
  if (grant.capacity <= 0) {
    Drop(slot, now);
    return;
  }
  slot.lease_number = grant.number;
  slot.expires_at = expires_at;
  slot.basis = {grant.quota_rate, grant.quota_burst};
  slot.bucket.Configure(grant.rate, grant.capacity, now);
  slot.bucket.Add(grant.tokens);
  ScaleToQuota(slot, now);
}

void QuotaMeter::Fail(const std::string& owner, BootTime now) {
  auto& slot = m_slots[owner];
  slot.awaiting = false;
  const auto pause = std::min(kRenewInterval * (1 << std::min(slot.failures, 2)), kMaxBackoff);
  ++slot.failures;
  slot.renew_at = now + pause;
  slot.urgent_at = now + pause;
}

std::vector<std::string> QuotaMeter::Owners() const {
  auto owners = m_owners;
  if (!owners.empty()) {
    std::rotate(owners.begin(),
                owners.begin() + static_cast<std::ptrdiff_t>(m_requests % owners.size()),
                owners.end());
  }
  return owners;
}

bool QuotaMeter::IsSparse(BootTime now) const {
  return Demand(now) < kSparseDemand;
}

bool QuotaMeter::HasLease(BootTime now) const {
  return std::any_of(m_slots.begin(), m_slots.end(), [now](const auto& entry) {
    return entry.second.lease_number != 0 && now < entry.second.expires_at;
  });
}

Millis QuotaMeter::RetryAfter(BootTime now) {
  double level = 0;
  double rate = 0;
  for (auto& [owner, slot] : m_slots) {
    Advance(slot, now);
    level += slot.bucket.level();
    rate += slot.bucket.rate();
  }
  if (rate <= 0) {
    return kMaxRetry / 2;
  }
  const double wait_ms = std::max(0.0, 1 - level) / rate * 1000;
  return std::clamp(Millis(static_cast<std::int64_t>(std::min(wait_ms, 1e6))), kMinRetry,
                    kMaxRetry);
}

}  // namespace cardamom
