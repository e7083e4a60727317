// Prometheus metrics of the session gateway.
#pragma once

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "core/clock.h"
#include "core/store_position.h"
#include "pool/link_counters.h"

namespace cardamom {

// Thread safe. Label sets are bounded: outcomes and server roles.
class GatewayMetrics {
 public:
  GatewayMetrics();

  // Counts a statement and its duration. `outcome` is answered, refused or unknown.
  void CountStatement(const char* outcome, Duration duration);
  // Counts an answered read outside a transaction. `role` is the role of the server that answered:
  // primary or replica.
  void CountRead(const char* role);
  // Counts an attempt to replace a primary that went as far as stopping the servers. `outcome` is
  // done or failed; an attempt with a reserved token is counted only if it is done.
  void CountPromotion(const char* outcome);
  // Counts an order to promote a server. `outcome` is accepted, rejected or unanswered.
  void CountOrder(const char* outcome);
  // Counts a commit that was acknowledged while this proxy had no lease, and whether a witness of
  // it was found.
  void CountUnleasedCommit(bool is_witnessed);
  // Counts a primary whose log ends before a commit that this proxy saw acknowledged.
  void CountCommitMissing();
  // Counts an answer of a server that belongs to no request. `reason` is one of a fixed set.
  void CountUnmatchedAnswer(const char* reason);
  // Sets the number of open sessions.
  void SetSessions(std::size_t count);
  // Sets the version of the configuration in force.
  void SetConfiguration(std::uint64_t version);
  // Counts a call of a table follower to the store or a relay. `outcome` is answered, history_gone
  // (the whole table has to be read) or failed.
  void CountStoreCall(const char* outcome);
  // Counts a session or a statement that was refused because of its key. `reason` is unknown_key
  // (at CONNECT), withdrawn_key or moved_key.
  void CountCallerDenied(const char* reason);
  // Counts a session or a statement that was refused because the configuration is too old to tell
  // whether its key is valid.
  void CountConfigurationTooOld();
  // Sets the time since the configuration in force was last known to be current.
  void SetConfigurationAge(std::chrono::nanoseconds age);
  // Adds to a count of the usage limits. `what` is admitted or refused (operations at the VM that
  // their callers use), from_allowance (operations that a meter admitted without a lease) or leases
  // (granted by an owner).
  void CountQuota(const char* what, std::int64_t count);
  // Sets the era of the store in its latest answer.
  void SetStoreEra(StoreEra era);
  // The counters that all pools share. They are not thread safe: all use, and SetLinks, is on the
  // thread of the gateway.
  const std::shared_ptr<LinkCounters>& link_counters() const { return m_link_counters; }
  // Sets the number of links by state, and exports the counters.
  void SetLinks(const LinkStates& links);

  // Counts a caller that was refused or closed at a limit. `limit` is one of a fixed set.
  void CountLimit(const char* limit);
  // Sets the bytes that callers, peers and servers fill.
  void SetChargedBytes(std::size_t bytes);

  // All metrics in the Prometheus text format.
  std::string Format();

 private:
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_statements;
  prometheus::Family<prometheus::Counter>& m_reads;
  prometheus::Family<prometheus::Counter>& m_promotions;
  prometheus::Family<prometheus::Counter>& m_orders;
  prometheus::Family<prometheus::Counter>& m_unleased_commits;
  prometheus::Counter& m_commits_missing;
  prometheus::Family<prometheus::Counter>& m_unmatched_answers;
  prometheus::Family<prometheus::Histogram>& m_durations;
  prometheus::Gauge& m_sessions;
  prometheus::Gauge& m_configuration;
  prometheus::Family<prometheus::Counter>& m_store_calls;
  prometheus::Gauge& m_store_era;
  prometheus::Family<prometheus::Counter>& m_callers_denied;
  prometheus::Family<prometheus::Counter>& m_configuration_too_old;
  prometheus::Family<prometheus::Gauge>& m_configuration_age;
  const std::shared_ptr<LinkCounters> m_link_counters = std::make_shared<LinkCounters>();
  prometheus::Family<prometheus::Gauge>& m_links;
  prometheus::Counter& m_links_replaced;
  prometheus::Counter& m_link_waits;
  prometheus::Counter& m_link_wait_seconds;
  prometheus::Family<prometheus::Counter>& m_limits;
  prometheus::Gauge& m_charged_bytes;
  prometheus::Family<prometheus::Counter>& m_quota;
};

}  // namespace cardamom
