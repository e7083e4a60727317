#include "fleet/fleet.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "async/notifier.h"
#include "async/spawn.h"
#include "membership/rendezvous.h"

namespace cardamom {
namespace {

constexpr Millis kWriteTimeout{1000};
constexpr Millis kRegisterRetryDelay{400};
constexpr std::size_t kRelaysPerDomain = 2;
// A list that has not changed for this long is taken to contain every proxy that started together
// with this one.
constexpr Millis kSettleTime{500};
constexpr Millis kSettlePollInterval{50};
// Running proxies whose rows the store has lost write them within this time for each member, so
// that the store receives at most 200 such writes a second.
constexpr Millis kRegisterSpreadPerVm{5};

// Other proxies read that a proxy leaves within this time.
constexpr Millis kLeavingIsListed{2000};

Millis RandomSpread(Millis longest) {
  static thread_local std::minstd_rand random{std::random_device{}()};
  return Millis(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random));
}

}  // namespace

Fleet::Fleet(GatewayContext& context, TablePort table)
    : m_context(context), m_table(std::move(table)), m_follower(context, kTableName) {
  const auto& settings = context.settings;
  m_self.id = VmId(settings.vm_id);
  m_self.peer_address = settings.listen_peers;
  m_self.operations_address = settings.listen_metrics;
  m_self.domain = FailureDomain(settings.domain);
  m_self.region = Region(settings.region);
  m_self.capacity = settings.capacity();
  m_vms[settings.vm_id] = m_self;
  m_follower.set_on_change([this] {
    AdoptRows();
    if (m_on_rows) {
      m_on_rows();
    }
  });
}

void Fleet::Start(TablePort followed) {
  m_follower.Start(std::move(followed));
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await WaitUntilSettled(); });
}

asio::awaitable<void> Fleet::WaitUntilSettled() {
  // A row that an earlier process of this proxy left shows that the fleet is already running.
  const std::function<bool()> settled = [this] {
    return m_follower.IsLoaded() &&
           (m_had_row_at_start || Clock::now() - m_members_changed_at >= kSettleTime);
  };
  while (!settled()) {
    co_await Sleep(kSettlePollInterval);
  }
  m_settled = true;
  m_homes.clear();
  if (m_on_change) {
    m_on_change();
  }
}

asio::awaitable<bool> Fleet::WriteOwnRow(bool leaving, TimePoint deadline) {
  auto entry = m_self;
  entry.leaving = leaving;
  TableWrite write{kTableName, m_self.id.value(), std::nullopt, EncodeJson(entry)};
  const auto written = co_await m_table.write(std::move(write), deadline);
  co_return written && written->applied;
}

void Fleet::RegisterIfNeeded() {
  const auto row = m_follower.rows().find(m_self.id.value());
  const bool listed = row != m_follower.rows().end() && row->second.value == EncodeJson(m_self);
  // A row that an earlier process of this proxy left is kept if it has the same content. Otherwise
  // it is written again, since a delayed write of that process may have marked it as leaving.
  if (listed || m_leaving || m_registering) {
    return;
  }
  m_registering = true;
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Register(); });
}

asio::awaitable<void> Fleet::Register() {
  if (m_settled) {
    // The rows of many proxies may have been lost at once.
    co_await Sleep(RandomSpread(kRegisterSpreadPerVm * static_cast<int>(m_vms.size())));
  }
  bool written = false;
  while (!written && !m_leaving) {
    written = co_await WriteOwnRow(false, Clock::now() + kWriteTimeout);
    co_await Sleep(kRegisterRetryDelay);
  }
  m_registering = false;
}

asio::awaitable<void> Fleet::Leave() {
  m_leaving = true;
  co_await WriteOwnRow(true, Clock::now() + kWriteTimeout);
}

void Fleet::AdoptRows() {
  std::map<std::string, VmEntry> vms;
  if (m_members_changed_at == TimePoint()) {
    m_members_changed_at = Clock::now();
    const auto own_row = m_follower.rows().find(m_self.id.value());
    m_had_row_at_start = own_row != m_follower.rows().end();
    if (m_had_row_at_start) {
      const auto own_entry = DecodeJson<VmEntry>(own_row->second.value);
      m_was_member_at_start = own_entry && !own_entry->leaving;
    }
  }
  RegisterIfNeeded();
  for (const auto& [key, row] : m_follower.rows()) {
    const auto entry = DecodeJson<VmEntry>(row.value);
    if (entry && entry->leaving) {
      m_left.insert(key);
    } else if (!m_follower.MayBeFromCopy(row)) {
      m_left.erase(key);
    }
    if (entry && IsValidCapacity(entry->capacity) && !m_left.contains(key)) {
      vms[key] = *entry;
    }
  }
  if (!m_leaving) {
    vms[m_self.id.value()] = m_self;
  }
  if (vms == m_vms) {
    return;
  }
  std::erase_if(m_silent, [&](const std::string& vm) {
    const auto entry = vms.find(vm);
    return entry == vms.end() || entry->second != m_vms[vm];
  });
  m_members_changed_at = Clock::now();
  for (const auto& [key, vm] : m_vms) {
    if (!vms.contains(key)) {
      m_departed.insert_or_assign(key, std::pair(vm, m_members_changed_at));
    }
  }
  std::erase_if(m_departed, [&](const auto& entry) {
    return vms.contains(entry.first) || m_members_changed_at - entry.second.second > StopTime();
  });
  m_vms = std::move(vms);
  m_homes.clear();
  std::set<FailureDomain> domains;
  for (const auto& [key, vm] : m_vms) {
    domains.insert(vm.domain);
  }
  m_domain_count = std::max<std::size_t>(1, domains.size());
  m_context.events.Emit(
      EventCode::kMembersChanged,
      {.detail = fmt::format("{} VMs in {} failure domains, row version {}", m_vms.size(),
                             m_domain_count, m_follower.position().version.value())});
  if (m_on_change) {
    m_on_change();
  }
}

std::vector<VmEntry> Fleet::vms() const {
  std::vector<VmEntry> all;
  for (const auto& [key, vm] : m_vms) {
    all.push_back(vm);
  }
  return all;
}

std::vector<VmEntry> Fleet::RunningVms() const {
  auto running = vms();
  const auto now = Clock::now();
  for (const auto& [key, departed] : m_departed) {
    if (now - departed.second <= StopTime()) {
      running.push_back(departed.first);
    }
  }
  return running;
}

Millis Fleet::StopTime() const {
  return Millis(m_context.settings.stop_limit_ms) + kLeavingIsListed;
}

const VmEntry* Fleet::Find(const std::string& vm) const {
  const auto it = m_vms.find(vm);
  return it == m_vms.end() ? nullptr : &it->second;
}

HomePlan Fleet::Plan(std::size_t max_connections) const {
  HomePolicy policy;
  policy.max_vms_all_homes = static_cast<std::size_t>(m_context.settings.direct_vms);
  return m_settled ? PlanHomes(max_connections, m_vms.size(), m_domain_count, policy) : HomePlan();
}

int Fleet::DistanceTo(const VmEntry& vm) const {
  return vm.id == m_self.id           ? 0
         : vm.domain == m_self.domain ? 1
         : vm.region == m_self.region ? 2
                                      : 3;
}

std::vector<VmEntry> Fleet::AnsweringVms() const {
  auto answering = vms();
  std::erase_if(answering, [this](const VmEntry& vm) {
    return vm.id != m_self.id && m_silent.contains(vm.id.value());
  });
  return answering;
}

void Fleet::SetSilent(const std::string& vm, bool silent) {
  const bool changed = silent ? m_silent.insert(vm).second : m_silent.erase(vm) > 0;
  if (!changed) {
    return;
  }
  m_homes.clear();
  if (m_on_change) {
    m_on_change();
  }
}

bool Fleet::AreHomesReplaced(const GroupId& group, std::size_t max_connections) const {
  return FindHomes(group, max_connections).replaced;
}

std::vector<VmEntry> Fleet::ReplacementsFor(const GroupId& group,
                                            std::size_t max_connections) const {
  if (!FindHomes(group, max_connections).replaced) {
    return {};
  }
  const auto answering = AnsweringVms();
  return ChooseHomes(answering, "home/" + group.value(), answering.size());
}

const Fleet::HomeAssignment& Fleet::FindHomes(const GroupId& group,
                                              std::size_t max_connections) const {
  const auto count = Plan(max_connections).homes;
  auto& homes = m_homes[group];
  if (homes.count == count) {
    return homes;
  }
  homes.count = count;
  homes.vms = ChooseHomes(vms(), "home/" + group.value(), count);
  homes.is_first_home = !homes.vms.empty() && homes.vms.front().id == m_self.id;
  homes.replaced = std::all_of(homes.vms.begin(), homes.vms.end(), [this](const VmEntry& vm) {
    return m_silent.contains(vm.id.value());
  });
  if (homes.replaced) {
    homes.vms = ChooseHomes(AnsweringVms(), "home/" + group.value(), count);
  }
  homes.is_home = std::any_of(homes.vms.begin(), homes.vms.end(),
                              [this](const VmEntry& vm) { return vm.id == m_self.id; });
  // Ranking by this proxy's id spreads proxies at the same distance over the homes.
  homes.vms = RankVms(homes.vms, m_self.id.value());
  std::stable_sort(homes.vms.begin(), homes.vms.end(),
                   [this](const auto& a, const auto& b) { return DistanceTo(a) < DistanceTo(b); });
  return homes;
}

const std::vector<VmEntry>& Fleet::HomesOf(const GroupId& group,
                                           std::size_t max_connections) const {
  return FindHomes(group, max_connections).vms;
}

bool Fleet::IsHome(const GroupId& group, std::size_t max_connections) const {
  return m_settled &&
         (EveryProxyIsHome(max_connections) || FindHomes(group, max_connections).is_home);
}

bool Fleet::IsFirstHome(const GroupId& group, std::size_t max_connections) const {
  return m_settled && FindHomes(group, max_connections).is_first_home;
}

bool Fleet::EveryProxyIsHome(std::size_t max_connections) const {
  return m_settled && Plan(max_connections).homes >= m_vms.size();
}

std::vector<VmEntry> Fleet::Relays() const {
  return cardamom::ChooseRelays(vms(), m_self.domain, kRelaysPerDomain);
}

bool Fleet::IsRelay() const {
  const auto relays = Relays();
  return relays.empty() || std::any_of(relays.begin(), relays.end(),
                                       [this](const VmEntry& vm) { return vm.id == m_self.id; });
}

}  // namespace cardamom
