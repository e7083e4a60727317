#include "quota_walk.h"

#include <algorithm>
#include <utility>

namespace cardamom::testing {

QuotaWalk::QuotaWalk(WalkOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {
  m_quotas.push_back({m_options.quota});
  for (std::size_t i = 0; i < m_options.domains * m_options.vms_per_domain; ++i) {
    VmEntry entry;
    entry.id = VmId("vm" + std::to_string(i));
    entry.domain = FailureDomain("domain" + std::to_string(i % m_options.domains));
    m_members.push_back(entry);
    m_vms.emplace_back().entry = entry;
  }
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    m_vms[i].offset = Microseconds(Random(0, 1'000'000'000));
    m_vms[i].rate = 1 + static_cast<double>(Random(-400, 400)) * 1e-6;
    // The fleet has been running for a while.
    m_now = m_start - std::chrono::seconds(15);
    StartProcess(i, false);
    m_now = m_start;
    m_vms[i].confirmed_at = Local(m_vms[i]);
    Observe(m_vms[i]);
    Refresh(i, true);
    AtVm(i, Millis(Random(1, 500)), [this, i] { Tick(i); });
  }
}

BootTime QuotaWalk::Local(const Vm& vm) const {
  return m_start + vm.offset +
         std::chrono::duration_cast<BootClock::duration>((m_now - m_start) * vm.rate);
}

std::int64_t QuotaWalk::Random(std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

bool QuotaWalk::Chance(double probability) {
  return std::bernoulli_distribution(probability)(m_random);
}

void QuotaWalk::AtVm(std::size_t vm, BootClock::duration delay, Work work) {
  At(m_now + delay, [this, vm, work = std::move(work)] {
    if (m_now < m_vms[vm].frozen_until) {
      AtVm(vm, m_vms[vm].frozen_until - m_now, work);
    } else {
      work();
    }
  });
}

void QuotaWalk::Message(std::size_t to, const Work& work, bool may_repeat) {
  const bool faults = m_options.faults;
  const auto delay = [&] {
    return Microseconds(faults && Chance(0.1) ? Random(20'000, 1'500'000) : Random(700, 9'000));
  };
  if (!faults || !Chance(0.1)) {
    AtVm(to, delay(), work);
  }
  if (faults && may_repeat && Chance(0.03)) {
    AtVm(to, delay(), work);
  }
}

void QuotaWalk::StartProcess(std::size_t index, bool restarted) {
  auto& vm = m_vms[index];
  ++vm.process;
  vm.meter = std::make_unique<QuotaMeter>("o", vm.entry.id.value(), std::to_string(vm.process));
  vm.tenure = std::make_unique<OwnerTenure>(Local(vm), restarted);
  vm.ledger.reset();
  vm.ledger_tenure = 0;
  vm.confirmed_at.reset();
  vm.asking = 0;
  vm.waiting.clear();
  vm.list = m_members;
  vm.quota = m_quotas.size() - 1;
  vm.confirmed_at = Local(vm);
  Observe(vm);
}

void QuotaWalk::Refresh(std::size_t index, bool first) {
  auto& vm = m_vms[index];
  const auto process = vm.process;
  if (first || m_now < vm.store_lost_until) {
    AtVm(index, Millis(Random(100, 1000)), [this, index] { Refresh(index, false); });
    return;
  }
  const auto sent_at = Local(vm);
  AtVm(index, Millis(Random(1, m_options.faults ? 400 : 10)),
       [this, index, process, sent_at, list = m_members, quota = m_quotas.size() - 1] {
         auto& adopting = m_vms[index];
         if (adopting.process == process) {
           adopting.list = list;
           adopting.quota = std::max(adopting.quota, quota);
           adopting.confirmed_at = sent_at;
           Observe(adopting);
         }
         for (std::size_t i = 0; i + 1 < m_quotas.size(); ++i) {
           const bool known = std::all_of(m_vms.begin(), m_vms.end(),
                                          [i](const Vm& other) { return other.quota > i; });
           if (known && m_quotas[i].gone_at > Seconds()) {
             m_quotas[i].gone_at = Seconds();
           }
         }
         Refresh(index, true);
       });
}

void QuotaWalk::Configure(Vm& vm) {
  const auto& roles = vm.roles;
  const auto& quota = m_quotas[vm.quota].quota;
  const auto allowance = roles.own_rank < roles.meters.size()
                             ? FixedAllowance(quota, m_options.bound, roles.domains, roles.own_rank)
                             : 0;
  std::vector<std::string> owners;
  for (const auto& owner : roles.owners) {
    owners.push_back(owner.id.value());
  }
  vm.meter->Configure(quota, owners, allowance, m_options.bound.window, Local(vm));
}

void QuotaWalk::Observe(Vm& vm) {
  vm.roles = AssignQuotaRoles(vm.list, vm.entry, OrganisationName("o"));
  std::uint64_t fingerprint = 0;
  for (const auto& member : vm.list) {
    fingerprint = fingerprint * 31 + std::hash<std::string>()(member.id.value());
  }
  vm.tenure->Observe({vm.roles.is_owner, vm.confirmed_at, fingerprint}, Local(vm));
  if (vm.tenure->number() != vm.ledger_tenure) {
    vm.ledger_tenure = vm.tenure->number();
    vm.ledger.emplace(vm.tenure->grants_from());
  }
  Configure(vm);
}

void QuotaWalk::Tick(std::size_t index) {
  auto& vm = m_vms[index];
  Observe(vm);
  if (vm.meter->HasLease(Local(vm))) {
    AskOwners(index, 0);
  }
  AtVm(index, Millis(500), [this, index] { Tick(index); });
}

bool QuotaWalk::AskOwners(std::size_t index, std::int64_t need) {
  auto& vm = m_vms[index];
  const auto process = vm.process;
  if (vm.asking > 0) {
    return true;
  }
  const bool sparse = need > 0 && vm.meter->IsSparse(Local(vm));
  for (const auto& owner : vm.meter->Owners()) {
    const auto request =
        sparse && vm.asking > 0 ? std::nullopt : vm.meter->NextRequest(owner, need, Local(vm));
    if (!request) {
      continue;
    }
    ++vm.asking;
    m_owner_messages += owner == vm.entry.id.value() ? 0 : 1;
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [this, index, owner, process, finished](const LeaseGrant* grant) {
      auto& meter_vm = m_vms[index];
      if (meter_vm.process != process) {
        return;
      }
      if (grant != nullptr) {
        // Also answers that are late or come twice.
        meter_vm.meter->Adopt(owner, *grant, Local(meter_vm));
      } else if (!*finished) {
        meter_vm.meter->Fail(owner, Local(meter_vm));
      }
      if (!std::exchange(*finished, true) && --meter_vm.asking == 0) {
        for (const auto& wake : std::exchange(meter_vm.waiting, {})) {
          wake();
        }
      }
    };
    const auto to = static_cast<std::size_t>(std::stoul(owner.substr(2)));
    Message(
        to,
        [this, index, to, request = *request, finish] {
          auto& owner_vm = m_vms[to];
          Observe(owner_vm);
          LeaseGrant grant;
          grant.number = request.number;
          if (owner_vm.ledger && owner_vm.tenure->MayAnswer(Local(owner_vm))) {
            grant =
                owner_vm.ledger->Answer(request, m_quotas[owner_vm.quota].quota, Local(owner_vm));
          }
          Message(
              index, [grant, finish] { finish(&grant); }, true);
        },
        true);
    AtVm(index, Millis(400), [finish] { finish(nullptr); });
  }
  return vm.asking > 0;
}

void QuotaWalk::TakeOrWait(std::size_t index,
                           BootTime deadline,
                           const std::function<void(bool)>& reply) {
  auto& vm = m_vms[index];
  if (vm.meter->Take(1, Local(vm)).count() > 0) {
    AskOwners(index, 0);
    reply(true);
    return;
  }
  if (m_now >= deadline || !AskOwners(index, 1)) {
    reply(false);
    return;
  }
  const auto woken = std::make_shared<bool>(false);
  const Work wake = [this, index, deadline, reply, woken] {
    if (!std::exchange(*woken, true)) {
      TakeOrWait(index, deadline, reply);
    }
  };
  vm.waiting.push_back(wake);
  AtVm(index, deadline - m_now, wake);
}

void QuotaWalk::Permit(std::size_t index, const std::function<void(bool)>& reply) {
  auto& vm = m_vms[index];
  Configure(vm);
  vm.meter->CountDemand(1, Local(vm));
  TakeOrWait(index, m_now + Millis(100), reply);
}

void QuotaWalk::Attempt(std::size_t entry, std::size_t rank, int attempts) {
  auto& vm = m_vms[entry];
  const auto meters = vm.roles.meters;
  const bool is_self = rank < meters.size() && meters[rank].id == vm.entry.id;
  if (rank >= meters.size() || (attempts == 2 && !is_self)) {
    m_refused.push_back(Seconds());
    return;
  }
  const auto done = std::make_shared<bool>(false);
  const auto sent_at = Local(vm);
  const std::function<void(bool)> answer = [this, entry, done, sent_at](bool granted) {
    if (Local(m_vms[entry]) - sent_at <= kPermissionTime && !std::exchange(*done, true)) {
      (granted ? m_admitted : m_refused).push_back(Seconds());
    }
  };
  if (is_self) {
    Permit(entry, answer);
    return;
  }
  const auto meter = static_cast<std::size_t>(std::stoul(meters[rank].id.value().substr(2)));
  const Work request = [this, entry, meter, answer] {
    Permit(meter, [this, entry, answer](bool granted) {
      Message(
          entry, [answer, granted] { answer(granted); }, false);
    });
  };
  Message(meter, request, true);
  AtVm(entry, kPermissionTime, [this, entry, rank, attempts, done] {
    if (!std::exchange(*done, true)) {
      Attempt(entry, rank + 1, attempts + 1);
    }
  });
}

void QuotaWalk::Arrive() {
  std::vector<double> rates;
  for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
    rates.push_back(m_options.demand(domain, Seconds()));
  }
  double total = 0;
  for (const double rate : rates) {
    total += rate;
  }
  const double wait = std::exponential_distribution<double>(std::max(total, 0.1))(m_random);
  At(m_now + Microseconds(static_cast<std::int64_t>(wait * 1e6)), [this, rates] {
    const auto domain =
        std::discrete_distribution<std::size_t>(rates.begin(), rates.end())(m_random);
    const auto place = static_cast<std::size_t>(
        Random(0, static_cast<std::int64_t>(m_options.vms_per_domain) - 1));
    const auto entry = domain + place * m_options.domains;
    AtVm(entry, Microseconds(0), [this, entry] { Attempt(entry, 0, 0); });
    Arrive();
  });
}

void QuotaWalk::Fault() {
  const auto index =
      static_cast<std::size_t>(Random(0, static_cast<std::int64_t>(m_vms.size()) - 1));
  auto& vm = m_vms[index];
  const auto is_vm = [&vm](const VmEntry& member) { return member.id == vm.entry.id; };
  const auto listed = std::find_if(m_members.begin(), m_members.end(), is_vm);
  switch (Random(0, 5)) {
    case 0:
      vm.frozen_until = m_now + Millis(Chance(0.5) ? Random(50, 500) : Random(500, 12'000));
      break;
    case 1:
      vm.store_lost_until = m_now + Millis(Random(500, 20'000));
      break;
    case 2:
      // The list does not change shortly before a restart: see OwnerTenure.
      if (listed != m_members.end() && Seconds() - m_members_changed_at > 13) {
        vm.frozen_until = m_now;
        StartProcess(index, true);
      }
      break;
    case 3:
    case 4:
      if (m_options.seed % 2 == 0) {
        m_members_changed_at = Seconds();
        if (listed == m_members.end()) {
          m_members.push_back(vm.entry);
        } else if (m_members.size() > 2) {
          m_members.erase(listed);
        }
      }
      break;
    default: {
      // A quota that never changes leaves no window with a greater one.
      if (m_options.seed % 3 != 0) {
        break;
      }
      auto quota = m_options.quota;
      quota.rate_per_s *= Chance(0.5) ? 1.0 : 0.3;
      quota.burst *= Chance(0.5) ? 1.0 : 0.3;
      m_quotas.push_back({quota, Seconds()});
    }
  }
  At(m_now + Millis(Random(100, 3000)), [this] { Fault(); });
}

void QuotaWalk::Run() {
  Arrive();
  if (m_options.faults) {
    At(m_now + Millis(500), [this] { Fault(); });
  }
  while (!m_events.empty() && Seconds() < m_options.seconds) {
    const auto next = m_events.begin();
    m_now = std::max(m_now, next->first);
    const auto work = std::move(next->second);
    m_events.erase(next);
    work();
  }
}

double QuotaWalk::GreatestExcess() const {
  const double window = std::chrono::duration<double>(m_options.bound.window).count();
  double excess = -1e9;
  std::size_t last = 0;
  for (std::size_t first = 0; first < m_admitted.size(); ++first) {
    const double from = m_admitted[first];
    while (last < m_admitted.size() && m_admitted[last] < from + window) {
      ++last;
    }
    double allowed = 0;
    for (const auto& period : m_quotas) {
      if (period.set_at < from + window && period.gone_at + window > from) {
        allowed = std::max(allowed, GreatestUsage(period.quota, m_options.bound));
      }
    }
    excess = std::max(excess, static_cast<double>(last - first) - allowed);
  }
  return excess;
}

}  // namespace cardamom::testing
