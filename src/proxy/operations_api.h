// The HTTP interface for operators and monitoring.
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
  // Identifies the change; generated if empty.
  std::string change_id;
  // For replace and withdraw: the revision of the record that the operator saw.
  Revision expected;
  std::string record;
};
BOOST_DESCRIBE_STRUCT(RecordChangeMessage, (), (action, group, change_id, expected, record))

// Body of the response to POST /v1/records.
struct RecordChangeAnswer {
  Revision revision;
};
BOOST_DESCRIBE_STRUCT(RecordChangeAnswer, (), (revision))

// One endpoint as this proxy observes it.
struct EndpointStatusEntry {
  EndpointId endpoint;
  bool leaving = false;
  bool reachable = false;
  bool primary = false;
  bool voter = false;
  // Term of the primary whose log the server follows.
  Term lineage;
  LogIndex held;
  LogIndex applied;
  // Number of requests of this proxy that are in progress or waiting for admission.
  std::uint64_t outstanding = 0;
  // Maximum number of requests of this proxy that may be in progress.
  std::uint64_t limit = 0;
  std::uint64_t connections = 0;
};
BOOST_DESCRIBE_STRUCT(EndpointStatusEntry,
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
  // This proxy's rank among the failover coordinators of the group; 0 acts first.
  std::uint64_t steward_rank = 0;
  std::vector<EndpointStatusEntry> endpoints;
};
BOOST_DESCRIBE_STRUCT(GroupStatus, (), (group, term, primary, committed, steward_rank, endpoints))

// Body of the response to GET /v1/status.
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

// Body of the response to GET /v1/events.
struct EventList {
  std::vector<Event> events;
};
BOOST_DESCRIBE_STRUCT(EventList, (), (events))

// Serves records, status, events, metrics and health checks. Thread safe.
class OperationsApi {
 public:
  // The arguments must outlive this object.
  OperationsApi(ProxyContext& context,
                GroupRegistry& groups,
                ConfigFollower& config,
                Membership& membership,
                CallerApi& callers,
                RecordService& records);

  // Serves one request; errors are returned as problem details. Precondition: the calling coroutine
  // runs on a strand.
  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // Whether a load balancer should send callers to this proxy.
  bool IsReady() const;
  // Reports the proxy as not ready from now on.
  void SetNotReady() { m_not_ready = true; }

 private:
  asio::awaitable<HttpResponse> ChangeRecord(const HttpRequest& request);
  ProxyStatus Status() const;

  ProxyContext& m_context;
  GroupRegistry& m_groups;
  ConfigFollower& m_config;
  Membership& m_membership;
  CallerApi& m_caller_api;
  RecordService& m_record_service;
  std::atomic<bool> m_not_ready{false};
};

}  // namespace cardamom
