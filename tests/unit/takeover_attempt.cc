// The steps of a takeover.
#include <algorithm>

#include "takeover_proxy.h"

namespace cardamom::takeover_model {
namespace {

constexpr std::int64_t kOrderTimeout = 300;
constexpr std::int64_t kPromotionTimeout = 3000;
// The list is read again in parallel with other requests, so no longer than these take.
constexpr int kListTimeout = 100;
constexpr std::int64_t kListPropagationTime = 5000;
// Living servers are back in the list this long after the store has returned.
constexpr std::int64_t kListReturn = 2000;

}  // namespace

void Proxy::Begin() {
  const bool failing = !m_primary || !Reaches(*m_primary) || !m_group.At(*m_primary).is_primary ||
                       m_list[static_cast<std::size_t>(*m_primary)].leaving ||
                       m_fleet.gate(m_index).is_overdue();
  if (!failing && !m_world.OneIn(m_world.options().contended ? 4 : 30)) {
    return Wait(m_world.Pick(100));
  }
  if (!IsListSettled()) {
    return Wait(m_world.Pick(200));
  }
  m_began = m_world.now();
  m_valid_until = m_began + kTokenValidity.count();
  Enter(Stage::kLoadRow, m_store.Latency());
}

FenceClaim Proxy::DecideClaim(const Store::Loaded& loaded, const std::string& self) const {
  auto row = loaded.row;
  if (m_world.IsDisabled(Rule::kWaitUntilSettled)) {
    row.settled_at_ms = 0;
  }
  if (m_world.IsDisabled(Rule::kHoldOff)) {
    row.holder = self;
  }
  return loaded.history_lost && !m_world.IsDisabled(Rule::kHistoryLost)
             ? DecideFirstFenceClaim(Millis(loaded.now_ms - m_store.era_began()))
             : DecideFenceClaim(row, self, loaded.now_ms);
}

void Proxy::LoadRow() {
  if (!m_store.available()) {
    return BeginReserved();
  }
  m_loaded = m_store.Load();
  const bool list_settled = !m_world.options().old_lists ||
                            m_world.now() - m_store.available_since() > kListReturn ||
                            m_world.IsDisabled(Rule::kListSettled);
  if (!list_settled || DecideClaim(m_loaded, Name()) == FenceClaim::kWait) {
    m_stage = Stage::kIdle;
    return Wait(m_world.Pick(200));
  }
  Enter(Stage::kClaim, m_store.Latency());
}

void Proxy::Claim() {
  m_history_lost = m_loaded.history_lost;
  m_row = m_loaded.row;
  if (m_history_lost && m_world.IsDisabled(Rule::kHistoryLost)) {
    m_row.replaced = 0;
  }
  ++m_row.token;
  m_row.holder = Name();
  m_row.at_ms = m_loaded.now_ms;
  m_stopped_primary.reset();
  if (FindOutstanding() == OutstandingOrder::kNone) {
    m_stopped_primary = m_row.stopped_primary;
  }
  m_row.stopped_primary = m_stopped_primary;
  m_have_leases_ended = HaveLeasesEnded(m_row, m_loaded.now_ms) && m_fleet.gate(m_index).is_held();
  if (!m_store.Replace(m_loaded, m_row)) {
    return Finish("no claim");
  }
  m_world.Trace("{} claims token {}, row {}{}:{}", Name(), m_row.token,
                m_row.open ? "open" : "closed", m_history_lost ? " (history lost)" : "",
                m_group.Describe());
  m_announced = false;
  m_announces_to_close = false;
  m_waits_for_leases = false;
  m_reserved = false;
  if (!m_store.available()) {
    return Finish("the list was not refreshed");
  }
  RefreshList();
  if (m_loaded.roster) {
    ExpectServers(*m_loaded.roster);
  }
  Send(Operation::kStatus, ListedServers(), Term());
  Enter(Stage::kSurvey, 0);
}

FenceRow Proxy::RowBeforeClaim() const {
  auto row = m_row;
  row.open = row.open && !m_world.IsDisabled(Rule::kOpenRow) && !m_history_lost;
  if (m_world.IsDisabled(Rule::kReservationMayBeUsed)) {
    row.reserved.reset();
  }
  return row;
}

OutstandingOrder Proxy::FindOutstanding() const {
  const bool history_lost = m_history_lost && !m_world.IsDisabled(Rule::kHistoryLost);
  return FindOutstandingOrder(RowBeforeClaim(), history_lost, OwnUnusedReservation());
}

std::vector<ServerIncarnation> Proxy::ReservedServers() const {
  return m_world.IsDisabled(Rule::kReservedServersShow)
             ? SnapshotServerList().servers
             : FindReservedServers(RowBeforeClaim(), OwnUnusedReservation());
}

void Proxy::InspectSurvey() {
  if (!HasAllAnswers()) {
    return;
  }
  m_survey = m_answers;
  if (FindOutstanding() != OutstandingOrder::kNone) {
    return Announce();
  }
  UseSurvey();
}

void Proxy::Announce() {
  if (m_world.IsDisabled(Rule::kAnnounceFirst)) {
    Send(Operation::kStatus, ListedServers(), Term());
    return Enter(Stage::kSurveyAgain, 0);
  }
  if (!IsValid() && m_announces_to_close) {
    m_stopped_primary.reset();
    return CloseRow();
  }
  if (!IsValid()) {
    return Finish("no announcement while the claim was valid");
  }
  m_order = m_platform.Order(std::nullopt, m_row.token);
  m_deadline = m_world.now() + kOrderTimeout;
  Enter(Stage::kAnnounce, 0);
}

void Proxy::InspectAnnouncement() {
  if (m_platform.Answer(m_order)) {
    m_announced = true;
    if (m_announces_to_close) {
      return CloseRow();
    }
    Send(Operation::kStatus, ListedServers(), Term());
    return Enter(Stage::kSurveyAgain, 0);
  }
  if (m_world.now() >= m_deadline) {
    Announce();
  }
}

void Proxy::InspectSecondSurvey() {
  if (!HasAllAnswers()) {
    return;
  }
  m_survey = m_answers;
  const bool must_wait =
      MustWaitUntilSettled(FindOutstanding(), ShowsNoTakeover(), Surveyed(), ReservedServers());
  if (must_wait && !m_world.IsDisabled(Rule::kWaitUntilSettled)) {
    return BeginUpdate(Update::kSettle);
  }
  UseSurvey();
}

// No earlier order is outstanding.
void Proxy::UseSurvey() {
  const auto healthy = HealthyPrimary();
  if (healthy) {
    const bool paused = std::any_of(m_survey.begin(), m_survey.end(), [](const auto& answer) {
      return answer.second.paused_at > answer.second.term;
    });
    m_primary = healthy;
    m_term = std::max(m_term, m_group.At(*healthy).term);
    return KeepPrimary(paused);
  }
  if (m_world.IsDisabled(Rule::kMarkBeforeStopping)) {
    return Stop();
  }
  BeginUpdate(Update::kMark);
}

void Proxy::BeginUpdate(Update update) {
  m_update = update;
  Enter(Stage::kLoadRowAgain, m_store.Latency());
}

void Proxy::LoadRowAgain() {
  if (!m_store.available()) {
    return AfterUpdate(false);
  }
  m_loaded = m_store.Load();
  if (m_loaded.row.token != m_row.token) {
    return AfterUpdate(false);
  }
  Enter(Stage::kWriteRow, m_store.Latency());
}

void Proxy::WriteRow() {
  const auto recorded = m_loaded.row.roster ? m_loaded.row.roster : m_loaded.roster;
  m_row.roster = AddKnownServers(recorded.value_or(GroupRoster()));
  m_row.open = m_update == Update::kMark;
  m_row.at_ms = m_loaded.now_ms;
  if (m_announced) {
    m_row.void_below = m_row.token;
  }
  if (m_update == Update::kSettle) {
    m_row.settled_at_ms = m_loaded.now_ms + kPromotionTime.count();
  } else if (m_update == Update::kNoticePosted) {
    m_row = MarkNoticePosted(m_row, m_loaded.now_ms);
  } else {
    m_row.leases_end_at_ms = 0;
  }
  m_row.stopped_primary.reset();
  const bool is_closed = m_update == Update::kClose || m_update == Update::kNoticePosted;
  if (is_closed && !m_world.IsDisabled(Rule::kStoppedPrimary)) {
    m_row.stopped_primary = m_stopped_primary;
  }
  AfterUpdate(m_store.Replace(m_loaded, m_row));
}

void Proxy::AfterUpdate(bool written) {
  const bool resume = m_resume_after_update;
  m_resume_after_update = false;
  if (m_update == Update::kMark && written) {
    return m_world.IsDisabled(Rule::kMarkBeforeStopping) ? Order() : Stop();
  }
  if (m_update == Update::kClose && written && m_order_refused) {
    ReleaseAsKept();
  }
  if (resume) {
    return Resume();
  }
  if (std::exchange(m_keep_after_update, false)) {
    return FinishWithHealthyPrimary();
  }
  Finish(m_update == Update::kSettle         ? "waits until earlier orders are carried out"
         : m_update == Update::kClose        ? "closed the row"
         : m_update == Update::kNoticePosted ? "waits until the leases have ended"
                                             : "the row was not marked");
  if (m_update == Update::kNoticePosted && written) {
    Wait(kAcknowledgementLease.count());
  }
}

void Proxy::Resume() {
  if (!IsValid()) {
    return Finish("the claim expired before the servers were resumed");
  }
  auto replicas = ListedServers();
  if (m_primary) {
    replicas.erase(*m_primary);
  }
  Send(Operation::kResume, replicas, Term());
  Enter(Stage::kResume, 0);
}

void Proxy::InspectStop() {
  if (!HasAllAnswers()) {
    return;
  }
  if (!HasHoldEnded()) {
    return m_fleet.RepeatHold(m_index);
  }
  if (HasHold() && m_store.available() && !m_world.IsDisabled(Rule::kReadListAgain)) {
    const int latency = m_store.Latency();
    m_list_answers = latency <= kListTimeout;
    return Enter(Stage::kReadListAgain, std::min(latency, kListTimeout));
  }
  Compare();
}

void Proxy::Compare() {
  if (HasHold() && m_fleet.IsRefused(m_index)) {
    return Finish("the hold was refused");
  }
  auto results = CoverDeparted(StopResults());
  bool works = false;
  std::string logs;
  for (const auto& result : results) {
    const int i = ServerOf(result.endpoint);
    works =
        works || (result.was_primary && !result.stopped && Reaches(i) && m_group.At(i).is_primary);
    logs += fmt::format(" s{}{}={}.{}{}", i, result.was_primary ? "*" : "",
                        result.received.term.value(), result.received.index.value(),
                        result.stopped      ? ""
                        : result.covered_by ? "(departed)"
                                            : "(not stopped)");
  }
  if (m_world.IsDisabled(Rule::kAllReplicasAnswered)) {
    std::erase_if(results, [](const auto& result) { return !result.stopped; });
  }
  const bool lists_unasked = ListsUnaskedServer();
  auto successor =
      works || (lists_unasked && !HasLeases()) ? std::nullopt : ChooseSuccessor(results);
  for (const auto& result : results) {
    if (successor == result.endpoint && result.stopped) {
      m_base = result.received;
    }
  }
  if (successor && m_world.options().abandoned_stops && m_world.PickForFleet(2) == 0) {
    m_world.Trace("{} abandons the attempt", Name());
    successor.reset();
  }
  if (successor && !IsHeldBy(m_base)) {
    m_world.Trace("{} needs a longer log", Name());
    successor.reset();
  }
  m_world.Trace("{} compares{}: {}", Name(), logs, successor ? successor->value() : "none");
  if (successor && !m_reserved && MustWaitForLeases()) {
    return WaitForLeases();
  }
  if (lists_unasked) {
    successor.reset();
  }
  if (!successor && m_reserved) {
    return FinishAsKept("no successor");
  }
  if (!successor) {
    m_resume_after_update = true;
    return ConfirmStoppedPrimary();
  }
  m_successor = ServerOf(*successor);
  if (m_world.IsDisabled(Rule::kMarkBeforeStopping) && !m_reserved) {
    return BeginUpdate(Update::kMark);
  }
  if (HasLeases() && !m_reserved) {
    return Enter(Stage::kWaitForNoticeOfOrder, 0);
  }
  Order();
}

void Proxy::Order() {
  if (!IsValid()) {
    return Finish("the claim expired before the order");
  }
  m_order = m_platform.Order(m_successor, Token());
  if (++m_orders_sent == 1) {
    m_stopped_before_order = std::exchange(m_stopped_primary, std::nullopt);
  }
  m_world.Trace("{} orders s{} with token {}", Name(), m_successor, Token());
  m_deadline = m_world.now() + kOrderTimeout;
  Enter(Stage::kOrder, 0);
}

void Proxy::InspectOrder() {
  const auto answer = m_platform.Answer(m_order);
  if (!answer && m_world.now() < m_deadline) {
    return;
  }
  if (!answer) {
    // An order with the reserved token is repeated for the same server.
    return m_reserved && m_world.now() <= m_valid_until ? Order() : FinishUnanswered("no answer");
  }
  if (*answer) {
    m_deadline = m_world.now() + kPromotionTimeout;
    return Enter(Stage::kWaitForPrimary, 0);
  }
  m_order_refused = m_orders_sent == 1 || m_world.IsDisabled(Rule::kRefusalOfEachCopy);
  if (m_order_refused) {
    m_stopped_primary = m_stopped_before_order;
  }
  if (!m_reserved) {
    return ConfirmStoppedPrimary();
  }
  m_order_refused ? FinishAsKept("rejected") : Finish("rejected");
}

void Proxy::WaitForPrimary() {
  if (Reaches(m_successor) && m_group.At(m_successor).is_primary) {
    m_primary = m_successor;
    m_term = std::max(m_term, m_group.At(m_successor).term);
    ReleaseAsPromoted();
    return m_reserved ? Finish("promoted") : BeginUpdate(Update::kClose);
  }
  m_world.now() < m_deadline ? Wait(50) : FinishUnanswered("not promoted in time");
}

bool Proxy::HoldsUnusedReservation() const {
  return m_reservation && !m_reservation_used &&
         EraOfToken(m_reservation->token) ==
             (m_world.IsDisabled(Rule::kTokensGrowOverEras) ? StoreEra() : m_store.era());
}

void Proxy::BeginReserved() {
  if (!HoldsUnusedReservation()) {
    m_stage = Stage::kIdle;
    return Wait(m_world.Pick(200));
  }
  auto asked = ListedServers();
  if (m_primary) {
    asked.erase(*m_primary);
  }
  Send(Operation::kStatus, asked, Term());
  Enter(Stage::kSurveyForReservation, 0);
}

void Proxy::InspectSurveyForReservation() {
  if (!HasAllAnswers()) {
    return;
  }
  const auto opened_before = m_store.unavailable_since() - kListPropagationTime;
  std::erase_if(m_answers,
                [&](const auto& answer) { return m_group.At(answer.first).since > opened_before; });
  const auto primary = LostPrimary(m_answers);
  const auto lost = primary ? std::optional(IdOf(*primary)) : std::nullopt;
  const auto conflict =
      FindReservationConflict(*m_reservation, SnapshotServerList(), lost, Surveyed());
  if (conflict && !m_world.IsDisabled(Rule::kReservationChecks)) {
    m_stage = Stage::kIdle;
    return Wait(m_world.Pick(200));
  }
  m_world.Trace("{} uses the reserved token {}:{}", Name(), m_reservation->token,
                m_group.Describe());
  m_survey = m_answers;
  m_reserved = true;
  if (HasLeases()) {
    BeginHold();
    return Enter(Stage::kHoldForReservation, 0);
  }
  m_reservation_used = true;
  m_valid_until = m_world.now() + kTokenValidity.count();
  Stop();
}

}  // namespace cardamom::takeover_model
