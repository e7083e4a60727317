#include "takeover_proxy.h"

#include <algorithm>

namespace cardamom::takeover_model {
namespace {

constexpr std::int64_t kStatusTimeout = 250;
constexpr int kControlTimeout = 400;
// A server drops a connection whose remote end is unreachable for longer.
constexpr int kMaxRequestDelay = 3000;
constexpr std::int64_t kGoneAfterProcessExit = 4000;
constexpr std::int64_t kGoneAfterNoAnswer = 8000;
// The list shows a restart of a server after this time.
constexpr std::int64_t kListPropagationTime = 5000;
constexpr std::int64_t kDepartedRetention = 30'000;
constexpr int kMaxSuspension = 6000;

}  // namespace

Proxy::Proxy(World& world, Group& group, Fleet& fleet, Store& store, Platform& platform, int index)
    : m_world(world),
      m_group(group),
      m_fleet(fleet),
      m_store(store),
      m_platform(platform),
      m_index(index) {
  RefreshList();
  m_primary = 0;
}

void Proxy::Advance() {
  if (m_store.available() && !m_world.options().old_lists) {
    RefreshList();
  }
  DeliverRequests();
  if (m_index == 0 && m_world.now() >= m_reserve_at) {
    Reserve();
  }
  if (m_index == 0 && m_world.options().fleet_restarts && m_world.now() >= m_roster_at) {
    KeepRoster();
  }
  if (m_world.now() >= m_wake_at) {
    Step();
  }
}

void Proxy::Observe() {
  if (m_world.options().old_lists && m_store.available() && m_world.OneIn(10)) {
    RefreshList();
  }
  if (m_world.OneIn(m_world.options().old_lists ? 20 : 4)) {
    ProbePrimary();
  }
}

void Proxy::ChangeReach(int i) {
  if (m_unreachable.erase(i) > 0) {
    m_world.Trace("{} reaches s{}", Name(), i);
  } else if (m_world.options().cuts && m_world.OneIn(3)) {
    m_unreachable.insert(i);
    m_world.Trace("{} does not reach s{}", Name(), i);
  }
}

bool Proxy::IsValid() const {
  return m_world.now() <= m_valid_until || m_world.IsDisabled(Rule::kOrderDeadline);
}

void Proxy::Wait(std::int64_t duration) {
  m_wake_at = m_world.now() + duration;
  if (m_world.options().suspensions && m_world.OneIn(60)) {
    m_wake_at += m_world.Pick(kMaxSuspension);
    m_fleet.Suspend(m_index, m_wake_at - m_world.now());
    m_world.Trace("{} is suspended until +{}", Name(), m_wake_at - m_world.now());
  }
}

void Proxy::Enter(Stage stage, std::int64_t duration) {
  m_stage = stage;
  Wait(duration);
}

void Proxy::Finish(const char* reason) {
  m_world.Trace("{} ends: {}", Name(), reason);
  m_stage = Stage::kIdle;
  m_reserved = false;
  Wait(m_world.Pick(200));
}

void Proxy::Step() {
  if (m_world.options().holder_deaths && m_stage != Stage::kIdle && m_world.PickForFleet(60) == 0) {
    m_requests.clear();
    m_resume_after_update = false;
    m_keep_after_update = false;
    return Finish("dies");
  }
  switch (m_stage) {
    case Stage::kIdle:
      return Begin();
    case Stage::kLoadRow:
      return LoadRow();
    case Stage::kClaim:
      return Claim();
    case Stage::kSurvey:
      return InspectSurvey();
    case Stage::kAnnounce:
      return InspectAnnouncement();
    case Stage::kSurveyAgain:
      return InspectSecondSurvey();
    case Stage::kLoadRowAgain:
      return LoadRowAgain();
    case Stage::kWriteRow:
      return WriteRow();
    case Stage::kStepDown:
      return Pause();
    case Stage::kPause:
      return InspectStop();
    case Stage::kReadListAgain:
      return ReadListAgain();
    case Stage::kOrder:
      return InspectOrder();
    case Stage::kWaitForPrimary:
      return WaitForPrimary();
    case Stage::kResume:
      return InspectResume();
    case Stage::kSurveyForReservation:
      return InspectSurveyForReservation();
    case Stage::kHoldForReservation:
      return InspectHoldForReservation();
    case Stage::kResumeToWait:
      return InspectResumeToWait();
    case Stage::kWaitForNotice:
      return WaitForNotice();
    case Stage::kWaitForNoticeOfOrder:
      return WaitForNoticeOfOrder();
  }
}

void Proxy::RefreshList() {
  for (int i = 0; i < kMaxServers; ++i) {
    const auto& server = m_group.At(i);
    auto& held = m_list[static_cast<std::size_t>(i)];
    if (held.listed && (!server.listed || server.listed_started_ms != held.started_ms)) {
      SetDeparted(i);
    }
    held = {server.listed, server.leaving, server.listed_started_ms};
    if (held.listed) {
      m_known_processes.emplace(i, held.started_ms);
    }
  }
  std::erase_if(m_departed, [this](const Departed& departed) {
    const bool expired = m_world.now() - departed.since > kDepartedRetention;
    return (expired && !m_world.options().samples_departed) ||
           (!departed.restarted && m_group.At(departed.server).listed &&
            m_group.At(departed.server).listed_started_ms == departed.started_ms);
  });
}

void Proxy::SetDeparted(int i) {
  const auto& held = m_list[static_cast<std::size_t>(i)];
  if (!held.leaving || m_world.options().samples_departed) {
    // A process that has seen no primary yet takes the one that the list shows.
    const bool was_primary = m_has_seen_primary ? m_primary == i : m_group.At(i).is_primary;
    m_departed.push_back({i, m_world.now(), m_group.At(i).listed, held.leaving, std::nullopt,
                          held.started_ms, was_primary, false});
  }
  if (m_primary == i) {
    m_primary.reset();
  }
}

void Proxy::ProbePrimary() {
  for (int i = 0; i < kMaxServers; ++i) {
    if (m_list[static_cast<std::size_t>(i)].listed && Reaches(i) && m_group.At(i).is_primary) {
      m_primary = i;
      m_has_seen_primary = true;
      m_term = std::max(m_term, m_group.At(i).term);
      SampleForDeparted(m_group.At(i).received());
    } else if (m_primary == i && Reaches(i)) {
      m_primary.reset();
    }
  }
}

std::int64_t Proxy::GoneAfter(const Departed& departed) const {
  if (departed.restarted) {
    return 0;
  }
  return !m_group.At(departed.server).up ? kGoneAfterProcessExit : kGoneAfterNoAnswer;
}

void Proxy::SampleForDeparted(Position primary) {
  for (auto& departed : m_departed) {
    if (!departed.covering && m_world.now() - departed.since > GoneAfter(departed)) {
      departed.covering = primary;
    }
  }
}

std::set<int> Proxy::ListedServers() const {
  std::set<int> listed;
  for (int i = 0; i < kMaxServers; ++i) {
    if (m_list[static_cast<std::size_t>(i)].listed) {
      listed.insert(i);
    }
  }
  return listed;
}

ServerListSnapshot Proxy::SnapshotServerList() const {
  ServerListSnapshot snapshot;
  snapshot.changing = !m_departed.empty();
  for (const int i : ListedServers()) {
    const auto& held = m_list[static_cast<std::size_t>(i)];
    snapshot.servers.push_back({IdOf(i), held.started_ms});
    snapshot.changing = snapshot.changing || held.leaving;
  }
  return snapshot;
}

std::vector<SurveyedServer> Proxy::Surveyed() const {
  std::vector<SurveyedServer> surveyed;
  for (const auto& [i, status] : m_answers) {
    SurveyedServer server{IdOf(i), true, status.is_primary, status.term, status.paused_at, {}};
    // The model's list does not show that a server restarted with its log.
    const auto since = m_group.At(i).since;
    if (m_world.IsDisabled(Rule::kReservedServersShow)) {
      server.started_ms = m_list[static_cast<std::size_t>(i)].started_ms;
    } else if (since <= m_world.now() - kListPropagationTime) {
      server.started_ms = std::max(m_list[static_cast<std::size_t>(i)].started_ms, since);
    }
    surveyed.push_back(server);
  }
  return surveyed;
}

bool Proxy::ShowsNoTakeover() const {
  std::vector<EndpointId> listed;
  for (const int i : ListedServers()) {
    listed.push_back(IdOf(i));
  }
  for (const auto& departed : m_departed) {
    listed.push_back(IdOf(departed.server));
  }
  const auto primary = LostPrimary(m_answers);
  const auto lost = primary ? std::optional(IdOf(*primary)) : std::nullopt;
  return ShowNoTakeover(listed, lost, Surveyed());
}

// The primary that the proxy saw last. It may have become a replica if others answer in a newer
// term, and then it must answer too.
std::optional<int> Proxy::LostPrimary(
    const std::vector<std::pair<int, ServerStatus>>& survey) const {
  const bool newest = std::all_of(survey.begin(), survey.end(), [this](const auto& answer) {
    return answer.second.term <= m_term;
  });
  return newest || m_world.IsDisabled(Rule::kLostPrimaryOfNewestTerm) ? m_primary : std::nullopt;
}

std::optional<int> Proxy::HealthyPrimary() const {
  for (const auto& [i, status] : m_answers) {
    if (status.is_primary && !m_list[static_cast<std::size_t>(i)].leaving) {
      return i;
    }
  }
  return std::nullopt;
}

void Proxy::Send(Operation operation, const std::set<int>& servers, Term term) {
  ++m_round;
  m_answers.clear();
  m_asked = servers.size();
  m_deadline = m_world.now() + (operation == Operation::kStatus ? kStatusTimeout : kControlTimeout);
  for (const int i : servers) {
    const bool late =
        m_world.options().delayed_requests && m_world.OneIn(m_world.options().contended ? 2 : 8);
    std::int64_t delay = m_world.Pick(late ? kControlTimeout : 30);
    if (m_world.options().late_requests && m_world.PickForFleet(6) == 0) {
      delay += m_world.PickForFleet(kMaxRequestDelay);
    }
    m_requests.push_back({i, operation, term, m_world.now() + delay, m_round});
  }
}

void Proxy::DeliverRequests() {
  std::erase_if(m_requests, [this](const Request& request) {
    if (m_world.now() < request.at) {
      return false;
    }
    if (!Reaches(request.server)) {
      return true;
    }
    const auto status = m_group.Execute(request.server, request.operation, request.term);
    const bool lost = m_world.options().delayed_requests && m_world.OneIn(16);
    if (request.operation != Operation::kStatus) {
      m_world.Trace("{} {} s{}{}", Name(),
                    request.operation == Operation::kResume  ? "resumes"
                    : request.operation == Operation::kPause ? "pauses"
                                                             : "steps down",
                    request.server, lost ? ", no answer" : "");
    }
    if (status && !lost && request.round == m_round && m_world.now() <= m_deadline) {
      m_answers.emplace_back(request.server, *status);
    }
    return true;
  });
}

// Tokens are reserved beside the takeovers of the same proxy.
void Proxy::Reserve() {
  m_reserve_at = m_world.now() + 20 + m_world.Pick(40);
  const bool possible = m_store.available() && m_primary && Reaches(*m_primary) && !m_reserved;
  const bool due =
      m_reserve_stage != ReserveStage::kIdle || m_world.OneIn(m_world.options().contended ? 2 : 20);
  if (!possible || !due) {
    m_reserve_stage = ReserveStage::kIdle;
    return;
  }
  switch (m_reserve_stage) {
    case ReserveStage::kIdle: {
      const bool held = HoldsUnusedReservation() && m_reservation->term == m_term &&
                        m_reservation->servers == SnapshotServerList().servers;
      if (!held) {
        m_reserve_loaded = m_store.Load();
        m_reserve_stage = ReserveStage::kLoaded;
        if (m_reserve_loaded.roster && m_world.options().fleet_restarts) {
          ExpectServers(*m_reserve_loaded.roster);
        }
      }
      return;
    }
    case ReserveStage::kLoaded:
      m_reserve_status = m_group.Execute(*m_primary, Operation::kStatus, Term());
      m_reserve_stage = ReserveStage::kAsked;
      return;
    case ReserveStage::kAsked:
      break;
  }
  m_reserve_stage = ReserveStage::kIdle;
  const bool may_claim = DecideClaim(m_reserve_loaded, "") == FenceClaim::kClaim;
  auto row = m_reserve_loaded.row;
  if (!m_reserve_status->is_primary || !may_claim ||
      !MayReserve(SnapshotServerList(), row, m_reserve_loaded.now_ms)) {
    return;
  }
  const auto own_unused = m_world.IsDisabled(Rule::kReplacedReservation)
                              ? m_reserve_loaded.row.reserved
                              : OwnUnusedReservation();
  row.stopped_primary.reset();
  row =
      AddReservation(std::move(row),
                     {0, Name(), m_reserve_status->term, SnapshotServerList().servers}, own_unused);
  if (m_store.Replace(m_reserve_loaded, row)) {
    m_world.Trace("{} reserves token {} of term {}", Name(), row.token,
                  m_reserve_status->term.value());
    m_reservation = row.reserved;
    m_reservation_used = false;
  }
}

}  // namespace cardamom::takeover_model
