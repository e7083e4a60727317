// How a holder uses the acknowledgements that proxies hold back.
#include <algorithm>

#include "takeover_proxy.h"

namespace cardamom::takeover_model {
namespace {

// How long the holder waits for the proxies' answers to its hold.
constexpr std::int64_t kHoldTimeout = 100;

}  // namespace

void Proxy::InspectResume() {
  if (HasAllAnswers()) {
    FinishAsKept("resumed the servers");
  }
}

void Proxy::ReadListAgain() {
  if (m_store.available() && m_list_answers) {
    RefreshList();
  }
  Compare();
}

bool Proxy::ListsUnaskedServer() const {
  const auto listed = ListedServers();
  return HasHold() && !m_world.IsDisabled(Rule::kReadListAgain) &&
         !std::includes(m_asked_servers.begin(), m_asked_servers.end(), listed.begin(),
                        listed.end());
}

bool Proxy::HasHold() const {
  return m_world.options().holds_acknowledgements;
}

void Proxy::BeginHold() {
  if (HasHold()) {
    m_fleet.BeginHold(m_index, Token());
    m_hold_deadline = m_world.now() + kHoldTimeout;
  }
}

// Nothing of this attempt or of an earlier one is outstanding.
void Proxy::ReleaseAsKept() {
  if (HasHold()) {
    m_fleet.SendRelease(m_index, {Token(), NewestTerm(), std::nullopt});
  }
}

void Proxy::ReleaseAsPromoted() {
  if (HasHold()) {
    m_fleet.SendRelease(m_index, {Token(), m_group.At(m_successor).term, m_base});
  }
}

std::optional<Term> Proxy::NewestTerm() const {
  std::optional<Term> newest;
  for (const auto& [i, status] : m_survey) {
    newest = std::max(newest.value_or(Term()), status.term);
  }
  return newest;
}

void Proxy::FinishAsKept(const char* reason) {
  ReleaseAsKept();
  Finish(reason);
}

bool Proxy::IsHeldBy(Position received) const {
  if (!HasHold()) {
    return true;
  }
  const bool answered = m_fleet.HasAllAnswers(m_index) || !m_world.options().needs_all_proxies;
  const auto reported = m_fleet.HighestReported(m_index);
  const bool needs_log_end =
      m_world.options().needs_log_end || m_stopped_earlier ||
      (m_reserved && !m_world.IsDisabled(Rule::kReservedNeedsLogEnd)) ||
      (SnapshotServerList().changing && !m_world.IsDisabled(Rule::kChangingListNeedsLogEnd));
  return answered && (m_world.IsDisabled(Rule::kReportedPosition) ||
                      received >= (needs_log_end ? reported.at_most : reported.at_least));
}

void Proxy::FinishUnanswered(const char* reason) {
  if (m_world.IsDisabled(Rule::kHoldOutlastsUnansweredOrder)) {
    ReleaseAsKept();
  }
  Finish(reason);
}

}  // namespace cardamom::takeover_model
