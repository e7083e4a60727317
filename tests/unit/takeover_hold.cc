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
    m_fleet.BeginHold(m_index, Token(), HasLeases() && !m_reserved);
    m_hold_deadline = m_world.now() + kHoldTimeout;
  }
}

bool Proxy::HasHoldEnded() const {
  return !HasHold() || m_fleet.HasAllAnswers(m_index) || m_world.now() >= m_hold_deadline;
}

bool Proxy::MustWaitForLeases() const {
  const bool holds_all =
      m_stopped_primary && m_stopped_primary->leaving && m_base >= m_stopped_primary->log_end;
  return HasLeases() && !m_fleet.HasAllAnswers(m_index) && !m_have_leases_ended && !holds_all &&
         !m_world.IsDisabled(Rule::kWaitForLeases);
}

void Proxy::WaitForLeases() {
  m_world.Trace("{} waits for proxies that gave no answer", Name());
  m_waits_for_leases = true;
  if (!IsValid()) {
    return ConfirmStoppedPrimary();
  }
  Send(Operation::kResume, ListedServers(), Term());
  Enter(Stage::kResumeToWait, 0);
}

void Proxy::InspectResumeToWait() {
  if (HasAllAnswers()) {
    ConfirmStoppedPrimary();
  }
}

void Proxy::CloseRow() {
  if (m_waits_for_leases) {
    return Enter(Stage::kWaitForNotice, 0);
  }
  BeginUpdate(Update::kClose);
}

void Proxy::WaitForNotice() {
  const auto is_posted = m_fleet.IsNoticePosted(m_index);
  if (is_posted) {
    BeginUpdate(*is_posted ? Update::kNoticePosted : Update::kClose);
  }
}

void Proxy::WaitForNoticeOfOrder() {
  const auto is_posted = m_fleet.IsNoticePosted(m_index);
  if (!is_posted) {
    return;
  }
  if (!*is_posted) {
    m_world.Trace("{} has no notice", Name());
    m_resume_after_update = true;
    return ConfirmStoppedPrimary();
  }
  Order();
}

// The row's mark is cleared before the hold is released.
void Proxy::KeepPrimary(bool resume) {
  if (m_row.leases_end_at_ms > 0) {
    m_keep_after_update = !resume;
    m_resume_after_update = resume;
    return BeginUpdate(Update::kClose);
  }
  resume ? Resume() : FinishWithHealthyPrimary();
}

// Where nobody holds acknowledgements back, a release would only void the reserved token.
void Proxy::FinishWithHealthyPrimary() {
  if (HasLeases() && !m_announced && !m_fleet.gate(m_index).is_held()) {
    return Finish("healthy primary");
  }
  FinishAsKept("healthy primary");
}

// Asked before the servers are stopped, since stopped servers prevent another attempt.
void Proxy::InspectHoldForReservation() {
  if (!HasHoldEnded()) {
    return m_fleet.RepeatHold(m_index);
  }
  m_have_leases_ended = false;
  m_stopped_primary.reset();
  if (MustWaitForLeases()) {
    return Finish("waits for proxies that gave no answer");
  }
  m_reservation_used = true;
  m_valid_until = m_world.now() + kTokenValidity.count();
  Stop();
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
