// A proxy of the takeover model. It carries out the steps of src/gateway/takeover.cc and
// src/gateway/outage_takeover.cc one at a time with the product's decision functions, so that
// anything can happen between two of them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "failover/fence_row.h"
#include "failover/outage_rules.h"
#include "failover/stopped_primary.h"
#include "failover/successor.h"
#include "takeover_fleet.h"
#include "takeover_group.h"
#include "takeover_platform.h"
#include "takeover_world.h"

namespace cardamom::takeover_model {

class Proxy {
 public:
  // Only the proxy 0 reserves tokens.
  Proxy(World& world, Group& group, Fleet& fleet, Store& store, Platform& platform, int index);

  // Takes the next step if its time has come, and delivers requests to servers.
  void Advance();
  // Reads the server list, or asks the primary, at times.
  void Observe();
  // Cuts the proxy off from a server or reconnects it.
  void ChangeReach(int i);
  // Ends the process and starts another one, which knows nothing of before.
  void Restart();
  bool is_idle() const { return m_stage == Stage::kIdle; }

 private:
  enum class Stage {
    kIdle,
    kLoadRow,
    kClaim,
    kSurvey,
    kAnnounce,
    kSurveyAgain,
    kLoadRowAgain,
    kWriteRow,
    kStepDown,
    kPause,
    kReadListAgain,
    kOrder,
    kWaitForPrimary,
    kResume,
    kSurveyForReservation,
    kHoldForReservation,
    kResumeToWait,
    kWaitForNotice,
    kWaitForNoticeOfOrder,
  };
  enum class Update { kSettle, kMark, kClose, kNoticePosted };
  enum class ReserveStage { kIdle, kLoaded, kAsked };

  struct Request {
    int server = 0;
    Operation operation = Operation::kStatus;
    Term term;
    std::int64_t at = 0;
    int round = 0;
  };
  struct Listed {
    bool listed = false;
    bool leaving = false;
    std::int64_t started_ms = 0;
  };
  struct Departed {
    int server = 0;
    std::int64_t since = 0;
    bool restarted = false;
    bool leaving = false;
    // Position of the primary, sampled when the server was certainly gone.
    std::optional<Position> covering;
    std::int64_t started_ms = 0;
    bool was_primary = false;
    // Known from a roster only.
    bool never_listed = false;
  };

  std::string Name() const { return "vm-" + std::to_string(m_index); }
  bool Reaches(int i) const { return m_group.At(i).up && !m_unreachable.contains(i); }
  bool IsValid() const;
  void Wait(std::int64_t duration);
  void Enter(Stage stage, std::int64_t duration);
  void Finish(const char* reason);
  void Step();

  // Observation.
  void RefreshList();
  void SetDeparted(int i);
  bool IsListSettled() const;
  void ExpectServers(const GroupRoster& roster);
  GroupRoster MakeRoster() const;
  GroupRoster AddKnownServers(GroupRoster recorded) const;
  bool IsSupported(const GroupRoster& roster) const;
  // Records the roster, in two steps.
  void KeepRoster();
  void ProbePrimary();
  void SampleForDeparted(Position primary);
  std::int64_t GoneAfter(const Departed& departed) const;
  ServerListSnapshot SnapshotServerList() const;
  std::vector<SurveyedServer> Surveyed() const;
  bool ShowsNoTakeover() const;
  std::optional<int> HealthyPrimary() const;
  std::optional<int> LostPrimary(const std::vector<std::pair<int, ServerStatus>>& survey) const;

  // Requests to servers.
  void Send(Operation operation, const std::set<int>& servers, Term term);
  void DeliverRequests();
  bool HasAllAnswers() const { return m_world.now() >= m_deadline || m_answers.size() >= m_asked; }
  std::set<int> ListedServers() const;

  // A takeover with a claimed token.
  void Begin();
  void LoadRow();
  FenceClaim DecideClaim(const Store::Loaded& loaded, const std::string& self) const;
  void Claim();
  FenceRow RowBeforeClaim() const;
  OutstandingOrder FindOutstanding() const;
  std::vector<ServerIncarnation> ReservedServers() const;
  void InspectSurvey();
  void Announce();
  void InspectAnnouncement();
  void InspectSecondSurvey();
  void UseSurvey();
  void BeginUpdate(Update update);
  void LoadRowAgain();
  void WriteRow();
  void AfterUpdate(bool written);
  void Resume();
  void InspectResume();

  // Steps of all takeovers.
  void Stop();
  void Pause();
  std::vector<StopResult> StopResults() const;
  // `results` with what the primary shows that this attempt or an earlier one stopped.
  std::vector<StopResult> CoverDeparted(std::vector<StopResult> results);
  void ConfirmStoppedPrimary();
  void InspectStop();
  void ReadListAgain();
  bool ListsUnaskedServer() const;
  void Compare();
  void Order();
  void InspectOrder();
  void WaitForPrimary();

  // What proxies hold back.
  std::uint64_t Token() const { return m_reserved ? m_reservation->token : m_row.token; }
  bool HasHold() const;
  bool HasLeases() const { return HasHold() && m_world.options().unreachable_proxies; }
  void BeginHold();
  bool HasHoldEnded() const;
  // Some proxies gave no answer and may pass acknowledgements on, also those that the log of
  // `successor` lacks.
  bool MustWaitForLeases() const;
  // Keeps the hold and leaves the group to an attempt that need not reach every proxy.
  void WaitForLeases();
  void InspectResumeToWait();
  void WaitForNotice();
  // An order is sent once the notice is in the store.
  void WaitForNoticeOfOrder();
  void KeepPrimary(bool resume);
  void FinishWithHealthyPrimary();
  void CloseRow();
  void InspectHoldForReservation();
  bool IsHeldBy(Position received) const;
  std::optional<Term> NewestTerm() const;
  void ReleaseAsKept();
  void ReleaseAsPromoted();
  void FinishAsKept(const char* reason);
  void FinishUnanswered(const char* reason);

  // A takeover with the reserved token.
  bool HoldsUnusedReservation() const;
  std::optional<TokenReservation> OwnUnusedReservation() const {
    return HoldsUnusedReservation() ? m_reservation : std::nullopt;
  }
  void BeginReserved();
  void InspectSurveyForReservation();
  void Reserve();

  World& m_world;
  Group& m_group;
  Fleet& m_fleet;
  Store& m_store;
  Platform& m_platform;
  const int m_index;

  std::set<int> m_unreachable;
  std::array<Listed, kMaxServers> m_list;
  std::vector<Departed> m_departed;
  std::set<std::pair<int, std::int64_t>> m_known_processes;
  std::optional<Position> m_expected_position;
  std::int64_t m_started_at = 0;
  bool m_has_seen_primary = true;
  std::int64_t m_roster_at = 0;
  std::optional<Store::Loaded> m_roster_loaded;
  std::optional<int> m_primary;
  Term m_term{1};

  Stage m_stage = Stage::kIdle;
  std::int64_t m_wake_at = 0;
  std::int64_t m_valid_until = 0;
  std::int64_t m_began = 0;
  std::vector<Request> m_requests;
  int m_round = 0;
  std::size_t m_asked = 0;
  std::int64_t m_deadline = 0;
  std::vector<std::pair<int, ServerStatus>> m_answers;

  Store::Loaded m_loaded;
  FenceRow m_row;
  bool m_history_lost = false;
  bool m_announced = false;
  // The announcement is made to close the row.
  bool m_announces_to_close = false;
  Update m_update = Update::kMark;
  bool m_resume_after_update = false;
  bool m_keep_after_update = false;
  // No proxy passes on acknowledgements, whether or not it answers.
  bool m_have_leases_ended = false;
  bool m_waits_for_leases = false;
  // The outage in which the reserved token was last tried, and since when.
  std::vector<std::pair<int, ServerStatus>> m_survey;
  std::set<int> m_asked_primaries;
  std::vector<std::pair<int, ServerStatus>> m_stepped_down;
  Term m_stop_at;
  int m_successor = 0;
  std::set<int> m_asked_servers;
  std::int64_t m_hold_deadline = 0;
  bool m_list_answers = false;
  Position m_base;
  int m_order = 0;
  int m_orders_sent = 0;
  bool m_order_refused = false;
  // The primary that this attempt or an earlier one stopped, and the same before the order.
  std::optional<StoppedPrimary> m_stopped_primary;
  std::optional<StoppedPrimary> m_stopped_before_order;
  // The holder relies on a primary that an earlier attempt stopped.
  bool m_stopped_earlier = false;

  bool m_reserved = false;
  std::optional<TokenReservation> m_reservation;
  bool m_reservation_used = false;
  bool m_reserving = false;
  ReserveStage m_reserve_stage = ReserveStage::kIdle;
  std::int64_t m_reserve_at = 0;
  Store::Loaded m_reserve_loaded;
  std::optional<ServerStatus> m_reserve_status;
};

}  // namespace cardamom::takeover_model
