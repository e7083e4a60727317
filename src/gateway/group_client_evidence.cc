// Evidence about the primary: what its answers and failures show.
#include "gateway/group_client.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

// A server that failed is avoided for this long, doubled with each consecutive failure, the first
// included.
constexpr Millis kBackoffBase{100};
constexpr Millis kMaxBackoff{1000};

// What a process received before it ended was in the log of the primary by then.
void RecordPosition(DepartedServer& server, BootTime asked_at, Position position) {
  const auto record = [&](std::optional<Position>& least, BootTime gone_by) {
    if (asked_at >= gone_by) {
      least = std::min(least.value_or(position), position);
    }
  };
  const auto gone_by = server.departed_at + kGoneAfterProcessExit;
  record(server.position_after_exit, std::min(gone_by, server.ended_by.value_or(gone_by)));
  record(server.position_after_no_answer, server.departed_at + kGoneAfterNoAnswer);
}

}  // namespace

void GroupClient::SetPrimary(const EndpointPtr& endpoint, Term term, const char* source) {
  m_latest_primary = endpoint;
  if (m_primary == endpoint->entry.id && m_term == term) {
    return;
  }
  m_primary = endpoint->entry.id;
  m_term = std::max(m_term, term);
  m_health = PrimaryHealth();
  m_context.events.Emit(
      EventCode::kTermLearned,
      {.group = m_id,
       .endpoint = endpoint->entry.id,
       .term = term,
       .detail = fmt::format("{}, started {}; {}", source, endpoint->entry.started_ms,
                             acknowledgements().Describe())});
}

void GroupClient::OnPrimaryAnswer(const EndpointPtr& endpoint,
                                  BootTime asked_at,
                                  Position position) {
  // A position carries the term of the last log entry, which may be older than the primary's own
  // term. So the answer to the latest request decides which server is the primary.
  if (m_primary != endpoint->entry.id && asked_at < m_primary_asked_at) {
    return;
  }
  m_primary_asked_at = std::max(m_primary_asked_at, asked_at);
  SetPrimary(endpoint, position.term, "answer");
  CheckForMissingCommit(*endpoint, asked_at, position);
  m_watermarks.Add(asked_at, position);
  endpoint->last_position = std::max(endpoint->last_position, position);
  for (auto& server : m_departed) {
    RecordPosition(server, asked_at, position);
  }
  if (m_departed_position) {
    m_departed_position = std::min(*m_departed_position, position);
  }
  m_last_primary_answer_at = Clock::now();
  m_lost_since.reset();
  endpoint->consecutive_failures = 0;
  endpoint->backoff_until = {};
  const bool recovered = m_health.failing_since.has_value();
  m_health.failing_since.reset();
  m_health.failures = 0;
  if (recovered) {
    m_context.events.Emit(EventCode::kEndpointReachable,
                          {.group = m_id, .endpoint = endpoint->entry.id});
  }
  m_changed.NotifyAll();
}

void GroupClient::OnCommitAcknowledged(Position position) {
  if (m_acknowledged < position) {
    m_acknowledged = position;
    m_acknowledged_at = BootClock::now();
  }
}

void GroupClient::CheckForMissingCommit(const Endpoint& endpoint,
                                        BootTime asked_at,
                                        Position position) {
  // Numbers in a log grow over all terms.
  const bool missing = asked_at > m_acknowledged_at && position.index < m_acknowledged.index;
  if (!missing || m_reported_missing == m_acknowledged) {
    return;
  }
  m_reported_missing = m_acknowledged;
  m_context.metrics.CountCommitMissing();
  m_context.events.Emit(
      EventCode::kCommitMissing,
      {.group = m_id,
       .endpoint = endpoint.entry.id,
       .term = m_term,
       .detail = fmt::format("at {}.{}, acknowledged {}.{}", position.term.value(),
                             position.index.value(), m_acknowledged.term.value(),
                             m_acknowledged.index.value())});
}

void GroupClient::OnNotPrimary(const EndpointPtr& endpoint) {
  if (m_primary != endpoint->entry.id) {
    return;
  }
  m_context.events.Emit(EventCode::kPrimaryLostLead, {.group = m_id,
                                                      .endpoint = endpoint->entry.id,
                                                      .term = m_term,
                                                      .detail = acknowledgements().Describe()});
  m_primary.reset();
  RecordPrimaryLost();
  StartSearch();
}

void GroupClient::OnLinkFailure(const EndpointPtr& endpoint, const Error& error) {
  const auto now = Clock::now();
  if (error.code == ResultCode::kDeadlineExpired) {
    // The wait for a link expired at this proxy, which is no evidence against the server.
    return;
  }
  if (error.code == ResultCode::kUnmatchedAnswer) {
    // The server answers, though with replies that belong to other requests.
    return;
  }
  if (error.code == ResultCode::kOverloaded) {
    m_connection_limit_seen_at = now;
    return;
  }
  const bool refused = error.code == ResultCode::kConnectionRefused;
  ++endpoint->consecutive_failures;
  const auto pause = std::min<Millis>(
      kMaxBackoff, kBackoffBase * (1 << std::min(endpoint->consecutive_failures, 4)));
  endpoint->backoff_until = now + pause;
  if (refused) {
    endpoint->pool->CloseIdle();
  }
  m_context.events.Emit(EventCode::kEndpointUnreachable,
                        {.group = m_id,
                         .endpoint = endpoint->entry.id,
                         .detail = fmt::format("{} failures, avoided for {} ms, {}: {}",
                                               endpoint->consecutive_failures, pause.count(),
                                               InfoOf(error.code).name, error.detail)});
  if (m_primary != endpoint->entry.id) {
    return;
  }
  ++m_health.failures;
  m_health.refused = refused;
  if (!m_health.failing_since) {
    m_health.failing_since = now;
  }
  RecordPrimaryLost();
  StartSearch();
}

void GroupClient::OnStatementFailure(const EndpointPtr& endpoint, const Error& error) {
  if (error.code != ResultCode::kNoAnswer || m_primary != endpoint->entry.id) {
    OnLinkFailure(endpoint, error);
    return;
  }
  const auto self = shared_from_this();
  Spawn(m_context.io, [self]() -> asio::awaitable<void> { co_await self->ProbePrimary(); });
}

void GroupClient::ResetFailureEvidence() {
  if (m_health.failing_since) {
    m_health.failing_since = Clock::now();
    m_health.failures = 0;
  }
  ClearStallEvidence();
}

void GroupClient::OnCommitOverdue(TimePoint since) {
  if (!m_health.stalled_since || *m_health.stalled_since < since) {
    m_health.stalled_since = since;
  }
}

}  // namespace cardamom
