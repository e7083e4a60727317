// The meter and owner roles of this proxy for the quotas of organisations.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async/notifier.h"
#include "directory/configuration.h"
#include "fleet/fleet.h"
#include "fleet/quota_messages.h"
#include "fleet/quota_peers.h"
#include "http/http_message.h"
#include "quota/lease_ledger.h"
#include "quota/owner_tenure.h"
#include "quota/quota_meter.h"
#include "quota/quota_roles.h"

namespace cardamom {

// Has no state and sends nothing for organisations without a quota. Not thread safe: all use is on
// the thread of the context.
class QuotaService {
 public:
  struct Hooks {
    // The configuration in force, or nullptr.
    std::function<const Configuration*()> configuration;
    // Up to when the list of members is provably current.
    std::function<std::optional<BootTime>()> members_confirmed_at;
  };

  // All references must outlive the service.
  QuotaService(GatewayContext& context, Fleet& fleet, QuotaPeers& peers, Hooks hooks);

  // The quota of an organisation, or nullptr. Valid until the next configuration is applied.
  const Quota* QuotaOf(const OrganisationName& organisation) const;
  // Whether any organisation has a quota.
  bool HasQuotas() const;

  // Admits up to `count` operations as a meter. Waits for owners for at most 100 ms.
  asio::awaitable<PermissionReply> Permit(OrganisationName organisation, std::int64_t count);
  // Answers a meter as an owner.
  LeaseGrant Grant(const LeaseRequest& request);
  // Answers a request to kPeerQuotaPath. Errors are HTTP statuses: 400 for a malformed request.
  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // The roles for `organisation`; no meters until the list of members has settled. Valid until the
  // next call.
  const QuotaRoles& RolesOf(const OrganisationName& organisation);
  const VmEntry& self() const { return m_fleet.self(); }

  // Renews and releases leases and observes the list of members. To be called several times a
  // second.
  void Tick();

 private:
  struct State {
    State(const OrganisationName& name, const VmId& vm, std::string incarnation, OwnerTenure owner)
        : organisation(name),
          meter(name.value(), vm.value(), std::move(incarnation)),
          tenure(std::move(owner)) {}

    const OrganisationName organisation;
    QuotaMeter meter;
    OwnerTenure tenure;
    std::optional<LeaseLedger> ledger;
    std::uint64_t ledger_tenure = 0;
    QuotaRoles roles;
    std::uint64_t roles_list = 0;
    // Requests to owners in progress.
    int asking = 0;
    Notifier answered;
  };
  using StatePtr = std::shared_ptr<State>;

  // The state of an organisation with current roles and limits, or nullptr if it has no quota.
  StatePtr Find(const OrganisationName& organisation);
  // Reads the list of members again if it may have changed.
  void RefreshList();
  void ObserveList(State& state);
  // Sends the requests that are due to owners. Returns whether any request is in progress.
  bool AskOwners(const StatePtr& state, std::int64_t need);
  asio::awaitable<void> AskOwner(StatePtr state, VmEntry owner, LeaseRequest request);
  QuotaMeter::Admitted Take(State& state, std::int64_t count);

  GatewayContext& m_context;
  Fleet& m_fleet;
  QuotaPeers& m_peers;
  const Hooks m_hooks;
  const std::string m_incarnation;
  const BootTime m_started_at;
  std::map<OrganisationName, StatePtr> m_states;
  std::vector<VmEntry> m_vms;
  // Increases with each change of m_vms.
  std::uint64_t m_list = 0;
  std::uint64_t m_list_fingerprint = 0;
  // Since when this VM has had the list.
  BootTime m_list_since;
  bool m_list_settled = false;
  StorePosition m_list_position;
  TimePoint m_next_tick;
};

}  // namespace cardamom
