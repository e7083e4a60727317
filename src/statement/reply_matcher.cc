#include "statement/reply_matcher.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace cardamom {
namespace {

constexpr std::string_view kNoSignature = "-";
constexpr std::size_t kMaxSignatures = 1024;
constexpr std::size_t kMaxErrors = 64;
constexpr std::size_t kMaxStatuses = 256;

std::uint64_t HashOf(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t HashOf(const ReplyError& error) {
  return HashOf(error.text, static_cast<std::uint64_t>(error.code));
}

std::uint64_t HashOfStatus(const Reply& reply) {
  std::uint64_t hash = reply.position ? reply.position->index.value() : 0;
  for (const auto& row : reply.rows) {
    hash = HashOf(row, hash);
  }
  return hash;
}

// The state after `request` has succeeded in `state`.
SessionState StateAfter(const EndpointRequest& request, SessionState state) {
  switch (request.operation) {
    case EndpointOperation::kBegin:
    case EndpointOperation::kBeginReadOnly:
      return SessionState::kInTransaction;
    case EndpointOperation::kRollback:
      return SessionState::kIdle;
    default:
      return request.ends_transaction ? SessionState::kIdle : state;
  }
}

}  // namespace

bool ReturnsStatus(EndpointOperation operation) {
  switch (operation) {
    case EndpointOperation::kStatus:
    case EndpointOperation::kPause:
    case EndpointOperation::kResume:
    case EndpointOperation::kStepDown:
      return true;
    default:
      return false;
  }
}

bool IsForwarded(EndpointOperation operation) {
  return operation == EndpointOperation::kForward || operation == EndpointOperation::kExecute;
}

bool ReplyMatcher::RecentHashes::Contains(std::uint64_t hash) const {
  return std::find(m_hashes.begin(), m_hashes.end(), hash) != m_hashes.end();
}

void ReplyMatcher::RecentHashes::Add(std::uint64_t hash) {
  if (m_hashes.size() < m_capacity) {
    m_hashes.push_back(hash);
    return;
  }
  m_hashes[m_next] = hash;
  m_next = (m_next + 1) % m_capacity;
}

ReplyMatcher::ReplyMatcher()
    : m_signatures(kMaxSignatures), m_errors(kMaxErrors), m_statuses(kMaxStatuses) {}

bool ReplyMatcher::HasOwnState(SessionState state) const {
  return (m_own_states & (1U << static_cast<unsigned>(state))) != 0;
}

bool ReplyMatcher::MayRepeatOwn(const Reply& reply) const {
  return reply.rows.empty() ? HasOwnState(reply.state) : m_statuses.Contains(HashOfStatus(reply));
}

ReplyMatch ReplyMatcher::Match(const EndpointRequest& request, const Reply& reply) {
  if (!reply.ok()) {
    return MatchError(request, reply);
  }
  if (reply.signature != kNoSignature && m_signatures.Contains(HashOf(reply.signature))) {
    return ReplyMatch::kRepeated;
  }
  return IsForwarded(request.operation) ? MatchForwarded(request, reply) : MatchOwn(request, reply);
}

ReplyMatch ReplyMatcher::MatchForwarded(const EndpointRequest& request, const Reply& reply) {
  if (reply.signature == kNoSignature) {
    return MayRepeatOwn(reply) ? ReplyMatch::kRepeated : ReplyMatch::kImpossible;
  }
  if (m_state == SessionState::kFailed || reply.state != StateAfter(request, m_state)) {
    return ReplyMatch::kImpossible;
  }
  m_signatures.Add(HashOf(reply.signature));
  m_state = reply.state;
  m_may_be_behind = false;
  return ReplyMatch::kMatches;
}

ReplyMatch ReplyMatcher::MatchOwn(const EndpointRequest& request, const Reply& reply) {
  if (reply.signature != kNoSignature) {
    return ReplyMatch::kImpossible;
  }
  const bool returns_status = ReturnsStatus(request.operation);
  if (returns_status == reply.rows.empty() || reply.state != StateAfter(request, m_state)) {
    return MayRepeatOwn(reply) ? ReplyMatch::kRepeated : ReplyMatch::kImpossible;
  }
  if (returns_status) {
    return MatchStatus(reply);
  }
  m_may_be_behind = m_may_be_behind || HasOwnState(reply.state);
  m_own_states |= 1U << static_cast<unsigned>(reply.state);
  m_state = reply.state;
  return ReplyMatch::kMatches;
}

ReplyMatch ReplyMatcher::MatchStatus(const Reply& reply) {
  const auto hash = HashOfStatus(reply);
  if (m_statuses.Contains(hash)) {
    m_may_be_behind = true;
    return ReplyMatch::kAmbiguous;
  }
  m_statuses.Add(hash);
  m_may_be_behind = false;
  return ReplyMatch::kMatches;
}

ReplyMatch ReplyMatcher::MatchError(const EndpointRequest& request, const Reply& reply) {
  const auto hash = HashOf(*reply.error);
  // The server holds no transaction although one was begun: the refusal may be that of the begin.
  const bool lacks_transaction = m_state != SessionState::kIdle &&
                                 reply.state == SessionState::kIdle &&
                                 StateAfter(request, m_state) != SessionState::kIdle;
  const bool is_known = m_errors.Contains(hash);
  if (!is_known) {
    m_errors.Add(hash);
  }
  m_state = reply.state;
  return is_known || m_may_be_behind || lacks_transaction ? ReplyMatch::kAmbiguous
                                                          : ReplyMatch::kMatches;
}

bool ReplyMatcher::IsHarmlessSurplus(const Reply& reply) const {
  if (!reply.ok()) {
    return false;
  }
  return reply.signature == kNoSignature ? MayRepeatOwn(reply)
                                         : m_signatures.Contains(HashOf(reply.signature));
}

}  // namespace cardamom
