#include "fleet/quota_service.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "async/spawn.h"
#include "core/random_id.h"

namespace cardamom {
namespace {

constexpr Millis kTickInterval{500};
// Longest wait of an operation for owners; less than the time that the entry VM waits for a meter.
constexpr Millis kOwnerWait{100};
// Time limit of a request to an owner. An answer that comes after kOwnerWait serves later
// operations.
constexpr Millis kOwnerTimeout{400};
constexpr std::int64_t kMaxPermissions = 10'000;
constexpr int kBadRequest = 400;

}  // namespace

QuotaService::QuotaService(GatewayContext& context, Fleet& fleet, QuotaPeers& peers, Hooks hooks)
    : m_context(context),
      m_fleet(fleet),
      m_peers(peers),
      m_hooks(std::move(hooks)),
      m_incarnation(RandomId()),
      m_started_at(BootClock::now()) {}

const Quota* QuotaService::QuotaOf(const OrganisationName& organisation) const {
  const auto* configuration = m_hooks.configuration();
  if (configuration == nullptr || organisation.value().empty()) {
    return nullptr;
  }
  const auto it = configuration->organisations.find(organisation);
  const bool has_quota = it != configuration->organisations.end() && it->second.quota;
  return has_quota ? &*it->second.quota : nullptr;
}

bool QuotaService::HasQuotas() const {
  const auto* configuration = m_hooks.configuration();
  return configuration != nullptr &&
         std::any_of(configuration->organisations.begin(), configuration->organisations.end(),
                     [](const auto& entry) { return entry.second.quota.has_value(); });
}

void QuotaService::RefreshList() {
  const auto position = m_fleet.follower().position();
  if (position == m_list_position && m_list_settled == m_fleet.IsSettled()) {
    return;
  }
  m_list_position = position;
  const bool had_settled = std::exchange(m_list_settled, m_fleet.IsSettled());
  std::uint64_t fingerprint = position.era.value();
  for (const auto& [key, row] : m_fleet.follower().rows()) {
    fingerprint = XXH3_64bits_withSeed(key.data(), key.size(), fingerprint + row.version.value());
  }
  if (fingerprint != m_list_fingerprint || had_settled != m_list_settled) {
    m_list_fingerprint = fingerprint;
    m_list_since = BootClock::now();
  }
  auto vms = m_list_settled ? m_fleet.vms() : std::vector<VmEntry>();
  if (vms != m_vms) {
    m_vms = std::move(vms);
    ++m_list;
    m_peers.Keep(m_vms);
  }
}

QuotaService::StatePtr QuotaService::Find(const OrganisationName& organisation) {
  const auto* quota = QuotaOf(organisation);
  if (quota == nullptr) {
    return nullptr;
  }
  RefreshList();
  auto& state = m_states[organisation];
  if (!state) {
    state = std::make_shared<State>(organisation, m_fleet.self().id, m_incarnation,
                                    OwnerTenure(m_started_at, m_fleet.was_member_at_start()));
  }
  if (state->roles_list != m_list) {
    state->roles_list = m_list;
    state->roles = AssignQuotaRoles(m_vms, m_fleet.self(), organisation);
  }
  const QuotaBound bound{std::chrono::seconds(m_context.settings.quota_window_s),
                         m_context.settings.quota_overshoot(),
                         static_cast<double>(m_context.settings.quota_slack)};
  const auto& roles = state->roles;
  const auto allowance = roles.own_rank < roles.meters.size()
                             ? FixedAllowance(*quota, bound, roles.domains, roles.own_rank)
                             : 0;
  std::vector<std::string> owners;
  for (const auto& owner : roles.owners) {
    owners.push_back(owner.id.value());
  }
  state->meter.Configure(*quota, std::move(owners), allowance, bound.window, BootClock::now());
  return state;
}

const QuotaRoles& QuotaService::RolesOf(const OrganisationName& organisation) {
  static const QuotaRoles no_roles;
  const auto state = Find(organisation);
  return state ? state->roles : no_roles;
}

void QuotaService::ObserveList(State& state) {
  const auto number = state.tenure.number();
  const auto confirmed_at = m_list_settled ? m_hooks.members_confirmed_at() : std::nullopt;
  state.tenure.Observe({state.roles.is_owner, confirmed_at, m_list_fingerprint, m_list_since},
                       BootClock::now());
  if (state.tenure.number() == number) {
    return;
  }
  state.ledger.emplace(state.tenure.grants_from());
  const auto wait =
      std::chrono::duration_cast<Millis>(state.tenure.grants_from() - BootClock::now());
  m_context.events.Emit(
      EventCode::kQuotaOwned,
      {.detail = fmt::format("{}: grants in {} ms", state.organisation.value(), wait.count())});
}

void QuotaService::Tick() {
  if (Clock::now() < m_next_tick) {
    return;
  }
  m_next_tick = Clock::now() + kTickInterval;
  // The time since when the list is unchanged counts from before the first configuration.
  RefreshList();
  std::erase_if(m_states, [this](const auto& entry) { return QuotaOf(entry.first) == nullptr; });
  const auto* configuration = m_hooks.configuration();
  if (configuration == nullptr) {
    return;
  }
  for (const auto& [name, organisation] : configuration->organisations) {
    const auto state = Find(name);
    if (!state) {
      continue;
    }
    ObserveList(*state);
    if (state->meter.HasLease(BootClock::now())) {
      AskOwners(state, 0);
    }
  }
}

QuotaMeter::Admitted QuotaService::Take(State& state, std::int64_t count) {
  const auto admitted = state.meter.Take(count, BootClock::now());
  if (admitted.from_allowance > 0) {
    m_context.metrics.CountQuota("from_allowance", admitted.from_allowance);
  }
  return admitted;
}

asio::awaitable<PermissionReply> QuotaService::Permit(OrganisationName organisation,
                                                      std::int64_t count) {
  PermissionReply reply;
  const auto state = Find(organisation);
  if (!state) {
    // This VM's configuration is older or newer than that of the VM that asks.
    reply.retry_ms = kTickInterval.count();
    co_return reply;
  }
  count = std::clamp<std::int64_t>(count, 0, kMaxPermissions);
  const auto deadline = Clock::now() + kOwnerWait;
  state->meter.CountDemand(count, BootClock::now());
  reply.granted = Take(*state, count).count();
  const std::function<bool()> done = [state] { return state->asking == 0; };
  while (AskOwners(state, count - reply.granted) && reply.granted < count &&
         Clock::now() < deadline) {
    co_await state->answered.WaitUntil(done, deadline);
    reply.granted += Take(*state, count - reply.granted).count();
  }
  reply.retry_ms = state->meter.RetryAfter(BootClock::now()).count();
  co_return reply;
}

bool QuotaService::AskOwners(const StatePtr& state, std::int64_t need) {
  if (state->asking > 0) {
    return true;
  }
  const auto now = BootClock::now();
  const bool one_at_a_time = need > 0 && state->meter.IsSparse(now);
  for (const auto& id : state->meter.Owners()) {
    const auto& owners = state->roles.owners;
    const auto owner = std::find_if(owners.begin(), owners.end(),
                                    [&id](const VmEntry& vm) { return vm.id.value() == id; });
    if (owner == owners.end() || (one_at_a_time && state->asking > 0)) {
      continue;
    }
    auto request = state->meter.NextRequest(id, need, now);
    if (request) {
      ++state->asking;
      Spawn(m_context.io,
            [this, state, vm = *owner, request = std::move(*request)]() -> asio::awaitable<void> {
              co_await AskOwner(state, vm, request);
            });
    }
  }
  return state->asking > 0;
}

asio::awaitable<void> QuotaService::AskOwner(StatePtr state, VmEntry owner, LeaseRequest request) {
  std::optional<LeaseGrant> grant;
  if (owner.id == m_fleet.self().id) {
    grant = Grant(request);
  } else {
    PeerQuotaRequest message;
    message.lease = std::move(request);
    auto reply = co_await m_peers.Send(owner, std::move(message), Clock::now() + kOwnerTimeout);
    if (reply) {
      grant = reply->lease;
    }
  }
  if (grant) {
    state->meter.Adopt(owner.id.value(), *grant, BootClock::now());
  } else {
    state->meter.Fail(owner.id.value(), BootClock::now());
  }
  --state->asking;
  state->answered.NotifyAll();
}

LeaseGrant QuotaService::Grant(const LeaseRequest& request) {
  LeaseGrant refused;
  refused.number = request.number;
  const OrganisationName organisation(request.organisation);
  const auto state = Find(organisation);
  if (!state) {
    return refused;
  }
  ObserveList(*state);
  const auto now = BootClock::now();
  if (!state->ledger || !state->tenure.MayAnswer(now)) {
    return refused;
  }
  auto grant = state->ledger->Answer(request, *QuotaOf(organisation), now);
  if (grant.granted) {
    m_context.metrics.CountQuota("leases", 1);
  }
  return grant;
}

asio::awaitable<HttpResponse> QuotaService::Handle(HttpRequest request) {
  HttpResponse response;
  const auto message = DecodeJson<PeerQuotaRequest>(request.body);
  if (!message) {
    response.status = kBadRequest;
    response.body = message.error().detail;
    co_return response;
  }
  PeerQuotaReply reply;
  if (message->permission) {
    const OrganisationName organisation(message->permission->organisation);
    reply.permission = co_await Permit(organisation, message->permission->count);
  }
  if (message->lease) {
    reply.lease = Grant(*message->lease);
  }
  response.body = EncodeJson(reply);
  co_return response;
}

}  // namespace cardamom
