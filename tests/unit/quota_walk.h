// Quotas of one organisation over several VMs in virtual time, with or without faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "quota/lease_ledger.h"
#include "quota/owner_tenure.h"
#include "quota/quota_meter.h"
#include "quota/quota_roles.h"

namespace cardamom::testing {

using Microseconds = std::chrono::microseconds;

struct WalkOptions {
  std::uint64_t seed = 1;
  std::size_t domains = 3;
  std::size_t vms_per_domain = 3;
  Quota quota;
  QuotaBound bound{Millis(5000), 0.1, 20};
  // Operations per second that callers of a domain ask for.
  std::function<double(std::size_t domain, double seconds)> demand;
  double seconds = 30;
  bool faults = false;
};

class QuotaWalk {
 public:
  explicit QuotaWalk(WalkOptions options);
  void Run();

  // Times in seconds, ascending.
  const std::vector<double>& admitted() const { return m_admitted; }
  const std::vector<double>& refused() const { return m_refused; }
  std::size_t owner_messages() const { return m_owner_messages; }
  // The greatest number of operations in a window beyond what the quotas allow there; at most 0 if
  // no window exceeds them.
  double GreatestExcess() const;

 private:
  struct Vm {
    VmEntry entry;
    int process = 0;
    BootTime frozen_until;
    BootTime store_lost_until;
    // The VM's clock: offset and rate relative to the time of the walk.
    BootClock::duration offset{};
    double rate = 1;
    std::vector<VmEntry> list;
    std::optional<BootTime> confirmed_at;
    std::size_t quota = 0;
    QuotaRoles roles;
    std::unique_ptr<QuotaMeter> meter;
    std::unique_ptr<OwnerTenure> tenure;
    std::uint64_t ledger_tenure = 0;
    std::optional<LeaseLedger> ledger;
    int asking = 0;
    std::vector<std::function<void()>> waiting;
  };
  struct QuotaPeriod {
    Quota quota;
    double set_at = 0;
    // When the last VM learned of a later quota.
    double gone_at = 1e9;
  };
  using Work = std::function<void()>;

  double Seconds() const { return std::chrono::duration<double>(m_now - m_start).count(); }
  BootTime Local(const Vm& vm) const;
  std::int64_t Random(std::int64_t low, std::int64_t high);
  bool Chance(double probability);
  void At(BootTime time, Work work) { m_events.emplace(time, std::move(work)); }
  // Runs `work` at the VM after `delay`, or when it is no longer frozen.
  void AtVm(std::size_t vm, BootClock::duration delay, Work work);
  void Message(std::size_t to, const Work& work, bool may_repeat);

  void StartProcess(std::size_t vm, bool restarted);
  void Refresh(std::size_t vm, bool first);
  void Configure(Vm& vm);
  void Observe(Vm& vm);
  void Arrive();
  void Attempt(std::size_t entry, std::size_t rank, int attempts);
  void Permit(std::size_t vm, const std::function<void(bool)>& reply);
  void TakeOrWait(std::size_t vm, BootTime deadline, const std::function<void(bool)>& reply);
  bool AskOwners(std::size_t vm, std::int64_t need);
  void Tick(std::size_t vm);
  void Fault();

  const WalkOptions m_options;
  std::mt19937_64 m_random;
  const BootTime m_start{std::chrono::hours(1)};
  BootTime m_now = m_start;
  std::multimap<BootTime, Work> m_events;
  std::vector<Vm> m_vms;
  std::vector<VmEntry> m_members;
  double m_members_changed_at = -100;
  std::vector<QuotaPeriod> m_quotas;
  std::vector<double> m_admitted;
  std::vector<double> m_refused;
  std::size_t m_owner_messages = 0;
};

}  // namespace cardamom::testing
