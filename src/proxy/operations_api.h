// The interface for operators and monitoring.
#pragma once

#include "http/http_message.h"
#include "proxy/caller_api.h"
#include "proxy/record_service.h"

namespace cardamom {

// Body of POST /v1/records.
struct RecordChangeMessage {
  // "submit", "replace" or "withdraw".
  std::string action;
  GroupId group;
  std::string change_id;
  Revision expected;
  std::string record;
};
BOOST_DESCRIBE_STRUCT(RecordChangeMessage, (), (action, group, change_id, expected, record))

struct RecordChangeAnswer {
  Revision revision;
};
BOOST_DESCRIBE_STRUCT(RecordChangeAnswer, (), (revision))

struct EndpointStatus {
  EndpointId endpoint;
  bool leaving = false;
  bool reachable = false;
  bool primary = false;
  bool voter = false;
  Term lineage;
  LogIndex held;
  LogIndex applied;
  std::uint64_t outstanding = 0;
  std::uint64_t limit = 0;
  std::uint64_t connections = 0;
};
BOOST_DESCRIBE_STRUCT(EndpointStatus,
                      (),
                      (endpoint,
                       leaving,
                       reachable,
                       primary,
                       voter,
                       lineage,
                       held,
                       applied,
                       outstanding,
                       limit,
                       connections))

struct GroupStatus {
  GroupId group;
  Term term;
  EndpointId primary;
  LogIndex committed;
  std::uint64_t steward_rank = 0;
  std::vector<EndpointStatus> endpoints;
};
BOOST_DESCRIBE_STRUCT(GroupStatus, (), (group, term, primary, committed, steward_rank, endpoints))

// GET /v1/status.
struct ProxyStatus {
  VmId vm;
  std::string instance;
  bool ready = false;
  Revision revision;
  std::uint64_t in_progress = 0;
  std::vector<VmEntry> vms;
  std::vector<GroupStatus> groups;
};
BOOST_DESCRIBE_STRUCT(ProxyStatus, (), (vm, instance, ready, revision, in_progress, vms, groups))

struct EventList {
  std::vector<Event> events;
};
BOOST_DESCRIBE_STRUCT(EventList, (), (events))

// Thread safe.
class OperationsApi {
 public:
  OperationsApi(ProxyContext& context,
                GroupTable& groups,
                ConfigFollower& config,
                Membership& membership,
                CallerApi& callers,
                RecordService& records);

  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // Whether the balancer should send callers here.
  bool IsReady() const;
  void TurnNotReady() { m_not_ready = true; }

 private:
  asio::awaitable<HttpResponse> ChangeRecord(const HttpRequest& request);
  ProxyStatus Status() const;

  ProxyContext& m_context;
  GroupTable& m_groups;
  ConfigFollower& m_config;
  Membership& m_membership;
  CallerApi& m_callers;
  RecordService& m_records;
  std::atomic<bool> m_not_ready{false};
};

}  // namespace cardamom
