#include "gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace cardamom {
namespace {

// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries kDurationBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

}  // namespace

GatewayMetrics::GatewayMetrics()
    : m_statements(prometheus::BuildCounter()
                       .Name("cardamom_statements_total")
                       .Help("Statements that needed a server, by outcome")
                       .Register(m_registry)),
      m_reads(prometheus::BuildCounter()
                  .Name("cardamom_gateway_reads_total")
                  .Help("Reads by the role of the server that answered")
                  .Register(m_registry)),
      m_promotions(prometheus::BuildCounter()
                       .Name("cardamom_gateway_promotions_total")
                       .Help("Changes of primary that this proxy tried, by outcome")
                       .Register(m_registry)),
      m_orders(prometheus::BuildCounter()
                   .Name("cardamom_promotion_orders_total")
                   .Help("Orders to promote a server that this proxy sent, by outcome")
                   .Register(m_registry)),
      m_unleased_commits(prometheus::BuildCounter()
                             .Name("cardamom_unleased_commits_total")
                             .Help("Commits acknowledged without a lease, by outcome")
                             .Register(m_registry)),
      m_commits_missing(prometheus::BuildCounter()
                            .Name("cardamom_commits_missing_total")
                            .Help("Primaries whose log ended before an acknowledged commit")
                            .Register(m_registry)
                            .Add({})),
      m_unmatched_answers(prometheus::BuildCounter()
                              .Name("cardamom_unmatched_answers_total")
                              .Help("Answers of servers that belong to no request, by reason")
                              .Register(m_registry)),
      m_durations(prometheus::BuildHistogram()
                      .Name("cardamom_statement_seconds")
                      .Help("Time from the arrival of a statement to its answer, by outcome")
                      .Register(m_registry)),
      m_sessions(prometheus::BuildGauge()
                     .Name("cardamom_sessions")
                     .Help("Open sessions of callers")
                     .Register(m_registry)
                     .Add({})),
      m_configuration(prometheus::BuildGauge()
                          .Name("cardamom_configuration_version")
                          .Help("Version of the configuration in force")
                          .Register(m_registry)
                          .Add({})),
      m_store_calls(prometheus::BuildCounter()
                        .Name("cardamom_store_calls_total")
                        .Help("Calls that read or follow the store's tables, by outcome")
                        .Register(m_registry)),
      m_store_era(prometheus::BuildGauge()
                      .Name("cardamom_store_era")
                      .Help("Era of the store, which rises when it is restored from a copy")
                      .Register(m_registry)
                      .Add({})),
      m_callers_denied(prometheus::BuildCounter()
                           .Name("cardamom_callers_denied_total")
                           .Help("Sessions and statements refused because of their keys, by reason")
                           .Register(m_registry)),
      m_configuration_too_old(prometheus::BuildCounter()
                                  .Name("cardamom_configuration_too_old_total")
                                  .Help("Sessions and statements with keys refused because the "
                                        "configuration was too old")
                                  .Register(m_registry)),
      m_configuration_age(prometheus::BuildGauge()
                              .Name("cardamom_configuration_age_seconds")
                              .Help("Time since the configuration was last known to be current")
                              .Register(m_registry)),
      m_links(prometheus::BuildGauge()
                  .Name("cardamom_links")
                  .Help("Links to database servers by state")
                  .Register(m_registry)),
      m_links_replaced(prometheus::BuildCounter()
                           .Name("cardamom_links_replaced_total")
                           .Help("Links closed to open one for another organisation")
                           .Register(m_registry)
                           .Add({})),
      m_link_waits(prometheus::BuildCounter()
                       .Name("cardamom_link_waits_total")
                       .Help("Statements that waited for a link")
                       .Register(m_registry)
                       .Add({})),
      m_link_wait_seconds(prometheus::BuildCounter()
                              .Name("cardamom_link_wait_seconds_total")
                              .Help("Time that statements waited for a link")
                              .Register(m_registry)
                              .Add({})),
      m_limits(prometheus::BuildCounter()
                   .Name("cardamom_limited_total")
                   .Help("Callers that were refused or closed at a limit, by limit")
                   .Register(m_registry)),
      m_charged_bytes(prometheus::BuildGauge()
                          .Name("cardamom_charged_bytes")
                          .Help("Bytes of input, statements, results and session state")
                          .Register(m_registry)
                          .Add({})),
      m_quota(prometheus::BuildCounter()
                  .Name("cardamom_quota_total")
                  .Help("Operations and leases under usage limits, by what happened")
                  .Register(m_registry)) {}

void GatewayMetrics::CountStatement(const char* outcome, Duration duration) {
  m_statements.Add({{"outcome", outcome}}).Increment();
  m_durations.Add({{"outcome", outcome}}, kDurationBounds)
      .Observe(std::chrono::duration<double>(duration).count());
}

void GatewayMetrics::CountRead(const char* role) {
  m_reads.Add({{"role", role}}).Increment();
}

void GatewayMetrics::CountUnleasedCommit(bool is_witnessed) {
  m_unleased_commits.Add({{"outcome", is_witnessed ? "witnessed" : "in_doubt"}}).Increment();
}

void GatewayMetrics::CountPromotion(const char* outcome) {
  m_promotions.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountOrder(const char* outcome) {
  m_orders.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountCommitMissing() {
  m_commits_missing.Increment();
}

void GatewayMetrics::CountUnmatchedAnswer(const char* reason) {
  m_unmatched_answers.Add({{"reason", reason}}).Increment();
}

void GatewayMetrics::SetSessions(std::size_t count) {
  m_sessions.Set(static_cast<double>(count));
}

void GatewayMetrics::SetConfiguration(std::uint64_t version) {
  m_configuration.Set(static_cast<double>(version));
}

void GatewayMetrics::CountStoreCall(const char* outcome) {
  m_store_calls.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountCallerDenied(const char* reason) {
  m_callers_denied.Add({{"reason", reason}}).Increment();
}

void GatewayMetrics::CountConfigurationTooOld() {
  m_configuration_too_old.Add({}).Increment();
}

void GatewayMetrics::SetConfigurationAge(std::chrono::nanoseconds age) {
  m_configuration_age.Add({}).Set(std::chrono::duration<double>(age).count());
}

void GatewayMetrics::SetStoreEra(StoreEra era) {
  m_store_era.Set(static_cast<double>(era.value()));
}

void GatewayMetrics::SetLinks(const LinkStates& links) {
  m_links.Add({{"state", "in_use"}}).Set(static_cast<double>(links.in_use));
  m_links.Add({{"state", "idle"}}).Set(static_cast<double>(links.idle));
  m_links.Add({{"state", "opening"}}).Set(static_cast<double>(links.opening));
  const auto raise = [](prometheus::Counter& counter, double value) {
    counter.Increment(value - counter.Value());
  };
  raise(m_links_replaced, static_cast<double>(m_link_counters->replaced));
  raise(m_link_waits, static_cast<double>(m_link_counters->waits));
  raise(m_link_wait_seconds, std::chrono::duration<double>(m_link_counters->waited).count());
}

void GatewayMetrics::CountLimit(const char* limit) {
  m_limits.Add({{"limit", limit}}).Increment();
}

void GatewayMetrics::SetChargedBytes(std::size_t bytes) {
  m_charged_bytes.Set(static_cast<double>(bytes));
}

void GatewayMetrics::CountQuota(const char* what, std::int64_t count) {
  m_quota.Add({{"what", what}}).Increment(static_cast<double>(count));
}

std::string GatewayMetrics::Format() {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace cardamom
