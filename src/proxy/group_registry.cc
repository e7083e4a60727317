#include "proxy/group_registry.h"

#include <algorithm>
#include <utility>

#include "limits/connection_share.h"

namespace cardamom {

GroupRegistry::GroupRegistry(ProxyContext& context,
                             Membership& membership,
                             PlatformClient& platform,
                             FailoverCoordinator::AskPeersHook ask_peers)
    : m_context(context),
      m_membership(membership),
      m_platform(platform),
      m_ask_peers(std::move(ask_peers)) {}

std::size_t GroupRegistry::ConnectionShareFor(const GroupRecord& record) const {
  const auto homes = m_membership.HomesOf(record.group, record.home_proxies).size();
  return ConnectionShare(record.connections, std::max<std::size_t>(1, homes),
                         static_cast<std::size_t>(m_context.settings.spare_shares));
}

bool GroupRegistry::IsHome(const GroupRecord& record) const {
  const auto homes = m_membership.HomesOf(record.group, record.home_proxies);
  return homes.empty() || std::any_of(homes.begin(), homes.end(), [this](const VmEntry& vm) {
           return vm.id == m_membership.self().id;
         });
}

void GroupRegistry::StartOrUpdate(const GroupRecord& record) {
  auto& entry = m_entries[record.group];
  if (entry.group != nullptr) {
    entry.group->Update(record, ConnectionShareFor(record));
    return;
  }
  entry.group = std::make_shared<Group>(m_context, record, ConnectionShareFor(record));
  entry.group->Start();
  entry.coordinator = std::make_shared<FailoverCoordinator>(m_context, entry.group, m_membership,
                                                            m_platform, m_ask_peers);
  entry.coordinator->Start();
}

void GroupRegistry::Update(const std::map<GroupId, GroupRecord>& records) {
  const std::lock_guard lock(m_mutex);
  m_records = records;
  const auto wanted = [&](const GroupId& id) {
    const auto it = records.find(id);
    if (it == records.end()) {
      return false;
    }
    return IsHome(it->second) || m_membership.CoordinatorRank(id) == 0;
  };
  for (const auto& [id, record] : records) {
    if (wanted(id)) {
      StartOrUpdate(record);
    }
  }
  std::erase_if(m_entries, [&](const auto& item) {
    if (wanted(item.first)) {
      return false;
    }
    item.second.coordinator->Stop();
    item.second.group->Stop();
    return true;
  });
}

std::shared_ptr<Group> GroupRegistry::Find(const GroupId& id) const {
  const std::lock_guard lock(m_mutex);
  const auto record = m_records.find(id);
  const auto entry = m_entries.find(id);
  if (record == m_records.end() || entry == m_entries.end() || !IsHome(record->second)) {
    return nullptr;
  }
  return entry->second.group;
}

std::optional<GroupRecord> GroupRegistry::RecordOf(const GroupId& id) const {
  const std::lock_guard lock(m_mutex);
  const auto it = m_records.find(id);
  return it == m_records.end() ? std::nullopt : std::optional(it->second);
}

std::vector<std::shared_ptr<Group>> GroupRegistry::All() const {
  const std::lock_guard lock(m_mutex);
  std::vector<std::shared_ptr<Group>> all;
  for (const auto& [id, entry] : m_entries) {
    all.push_back(entry.group);
  }
  return all;
}

void GroupRegistry::Stop() {
  const std::lock_guard lock(m_mutex);
  for (const auto& [id, entry] : m_entries) {
    entry.coordinator->Stop();
    entry.group->Stop();
  }
}

}  // namespace cardamom
