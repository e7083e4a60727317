// What all parts of the takeover model share: the options of a walk, its source of randomness, its
// clock and its trace. All times of the model are in milliseconds.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace cardamom::takeover_model {

// The rule that a walk switches off. The comments say what happens without it.
enum class Rule {
  kNone,
  // The longest log among the servers that answered is promoted, though others did not answer.
  kAllReplicasAnswered,
  // Orders, pauses and resumes are sent however late after the token was claimed.
  kOrderDeadline,
  // Tokens are claimed however soon after another proxy's claim.
  kHoldOff,
  // An open row counts as one without an outstanding order.
  kOpenRow,
  // The platform accepts orders with any token.
  kFencingToken,
  // A reserved token is used whatever the servers report.
  kReservationChecks,
  // A reservation in the row counts as one that was not used.
  kReservationMayBeUsed,
  // Any replica that is not paused shows that no reserved token is in use.
  kReservedServersShow,
  // A reservation is forgotten once another one replaces it.
  kReplacedReservation,
  // A group whose row was lost in a restore counts as one without an outstanding order.
  kHistoryLost,
  // Tokens continue from the row of the copy.
  kTokensGrowOverEras,
  // Logs are compared while earlier orders may still be accepted.
  kAnnounceFirst,
  // Tokens are claimed while an accepted order may still be carried out.
  kWaitUntilSettled,
  // The primary that a proxy saw last counts as the lost one, though others answer in a newer term,
  // and any number of lost primaries is ignored.
  kLostPrimaryOfNewestTerm,
  // Tokens are claimed while living servers may be missing from the list after an outage.
  kListSettled,
  // The row is marked as open after the comparison.
  kMarkBeforeStopping,
  // Proxies answer a hold and pass acknowledgements on all the same.
  kHoldAcknowledgements,
  // A server is promoted whatever the proxies reported.
  kReportedPosition,
  // An order with the reserved token needs a log that certainly holds what was acknowledged.
  kReservedNeedsLogEnd,
  // So does an order while servers are leaving or left a short time ago: new ones may not be
  // listed.
  kChangingListNeedsLogEnd,
  // The holder of an unanswered order releases the acknowledgements.
  kHoldOutlastsUnansweredOrder,
  // A proxy accepts a hold with a lower token than it has seen.
  kHoldsGrow,
  // A release passes acknowledgements of any term.
  kReleaseTerm,
  // A refusal of a repeated order counts for all copies.
  kRefusalOfEachCopy,
  // The list is not read again after the servers were stopped.
  kReadListAgain,
  // Processes that have just started know the listed servers only.
  kRoster,
  // The roster names servers only, and no position that covers the others.
  kRosterPosition,
  // A process that has just started records a roster without the servers that it has not seen.
  kRosterIsKept,
  // Takeovers add no servers to the roster.
  kTakeoversRecordServers,
  // An attempt that stopped the primary and promoted nobody leaves no trace of it. Only progress
  // suffers.
  kStoppedPrimary,
  // A proxy passes acknowledgements on however old its copy of the notices is.
  kAcknowledgementLease,
  // Without a lease a commit needs no witness.
  kWitness,
  // A holder goes on at once without the proxies that do not answer.
  kWaitForLeases,
};

// What can happen in a walk beyond crashes of the primary, outages of the store and orders whose
// answers are lost.
struct WalkOptions {
  // Proxies may be cut off from servers that others reach.
  bool cuts = false;
  // The store may come back from an older copy.
  bool restores = false;
  // Orders may be accepted seconds after they were sent.
  bool delayed_orders = true;
  // Most orders are.
  bool slow_platform = false;
  // Requests to servers may take up to their time-out, and their answers may be lost.
  bool delayed_requests = false;
  // Requests to servers may be carried out up to 3 s after they were sent, beyond their time-out.
  bool late_requests = false;
  // Proxies often take over although the primary answers, and many requests to servers take long.
  bool contended = false;
  // Calls to the store may take up to their time-out, and be carried out seconds later.
  bool slow_store = false;
  // Proxies may be suspended between any two steps.
  bool suspensions = false;
  // Replicas receive a part of the log, or nothing for seconds.
  bool lag = false;
  // Replicas crash and restart with their logs.
  bool replica_crashes = false;
  // Replicas crash and restart also while they are paused.
  bool restarts_while_paused = false;
  // Servers also begin to receive while a takeover is under way, or before they are listed: new
  // ones and ones that return.
  bool joins_during_takeover = false;
  // Replicas restart without their logs, under the same id.
  bool log_losses = false;
  // Servers are replaced by new ones, which start before the old ones leave.
  bool replacements = false;
  // Servers that crashed may be gone for good; their logs move to new ones.
  bool departures = false;
  // Entries of the server list may lapse while the store is unavailable, and proxies may hold old
  // lists and know a former primary.
  bool old_lists = false;
  // A departed server is ignored only if the chosen replica holds what the primary held when that
  // server was certainly gone.
  bool samples_departed = false;
  // A replica counts as stopped only if it answers on a link that was opened some time before the
  // claim, so that it is the listed incarnation.
  bool checks_link_age = false;
  // Proxies hold back acknowledgements during a takeover, and the list is read again. Otherwise
  // only what the servers answered counts, as for proxies that the holder does not reach.
  bool holds_acknowledgements = true;
  // Holders may not reach other proxies, and proxies may not reach the store. Proxies pass
  // acknowledgements on by leases, and holders wait until these have ended.
  bool unreachable_proxies = false;
  // Holders promote only after all proxies have answered. Otherwise they go on without those that
  // are silent.
  bool needs_all_proxies = false;
  // Every order needs a log that reaches the end of the primary's log at the last acknowledgement.
  bool needs_log_end = false;
  // Commits are accepted in groups, and replicas may receive a part of one.
  bool concurrent_commits = false;
  // Holders end their attempts between any two steps without a trace.
  bool holder_deaths = false;
  // Holders often stop the servers and send no order.
  bool abandoned_stops = false;
  // All proxies end at the same moment and start again, without memory.
  bool fleet_restarts = false;
};

class World {
 public:
  World(std::uint64_t seed, Rule off, WalkOptions options)
      : m_options(options), m_random(seed), m_fleet_random(~seed), m_disabled_rule(off) {}

  // The language does not fix the order in which the arguments of a call are evaluated, so a
  // statement may call this at most once: otherwise seeds differ between compilers.
  int Pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }
  // As above, from a source of its own: what proxies tell each other leaves the servers' events as
  // they are.
  int PickForFleet(int n) {
    return static_cast<int>(m_fleet_random() % static_cast<std::uint64_t>(n));
  }
  bool OneIn(int n) { return Pick(n) == 0; }
  bool IsDisabled(Rule rule) const { return m_disabled_rule == rule; }
  const WalkOptions& options() const { return m_options; }
  std::int64_t now() const { return m_now; }
  void Advance(std::int64_t duration) { m_now += duration; }

  void set_traced() { m_traced = true; }
  template <typename... Args>
  void Trace(fmt::format_string<Args...> format, Args&&... args) {
    if (m_traced) {
      m_trace.push_back(fmt::format("{:>6} ", m_now - kStart) +
                        fmt::format(format, std::forward<Args>(args)...));
    }
  }
  const std::vector<std::string>& trace() const { return m_trace; }

 private:
  static constexpr std::int64_t kStart = 100'000;

  const WalkOptions m_options;
  std::mt19937_64 m_random;
  std::mt19937_64 m_fleet_random;
  const Rule m_disabled_rule;
  std::int64_t m_now = kStart;
  bool m_traced = false;
  std::vector<std::string> m_trace;
};

}  // namespace cardamom::takeover_model
