// The sets of disruptions that the walks of takeover_model_test.cc are taken with.
#pragma once

#include "takeover_world.h"

namespace cardamom::takeover_model {

inline constexpr WalkOptions kWithCuts{.cuts = true};
inline constexpr WalkOptions kWithRestores{.cuts = true, .restores = true};
inline constexpr WalkOptions kWithDelays{.cuts = true,
                                         .delayed_requests = true,
                                         .contended = true,
                                         .slow_store = true,
                                         .suspensions = true};
// Without a slow store, more takeovers overlap.
inline constexpr WalkOptions kWithOverlaps{.cuts = true,
                                           .delayed_requests = true,
                                           .contended = true,
                                           .suspensions = true};
// The holder of an unanswered order is often succeeded before the order is accepted.
inline constexpr WalkOptions kWithLateOrders{.cuts = true,
                                             .slow_platform = true,
                                             .delayed_requests = true,
                                             .contended = true,
                                             .suspensions = true};
inline constexpr WalkOptions kWithSuspensions{.cuts = true,
                                              .contended = true,
                                              .suspensions = true,
                                              .lag = true};
inline constexpr WalkOptions kWithLag{.cuts = true, .lag = true, .replica_crashes = true};
inline constexpr WalkOptions kWithMembershipChanges{.cuts = true,
                                                    .lag = true,
                                                    .replacements = true,
                                                    .departures = true,
                                                    .samples_departed = true};
inline constexpr WalkOptions kWithLogLosses{.cuts = true,
                                            .lag = true,
                                            .log_losses = true,
                                            .samples_departed = true,
                                            .checks_link_age = true};
inline constexpr WalkOptions kWithOldLists{.cuts = true,
                                           .lag = true,
                                           .departures = true,
                                           .old_lists = true,
                                           .samples_departed = true};
inline constexpr WalkOptions kWithAll{.cuts = true,
                                      .restores = true,
                                      .delayed_requests = true,
                                      .slow_store = true,
                                      .suspensions = true,
                                      .lag = true,
                                      .replica_crashes = true,
                                      .log_losses = true,
                                      .replacements = true,
                                      .departures = true,
                                      .samples_departed = true,
                                      .checks_link_age = true};

// All proxies restart, with servers lost before and after.
constexpr WalkOptions WithFleetRestarts(WalkOptions options) {
  options.fleet_restarts = true;
  return options;
}

// Holders often stop the primary and promote nobody.
constexpr WalkOptions WithAbandonedStops(WalkOptions options) {
  options.abandoned_stops = true;
  return options;
}

// Servers join, restart and stay unlisted at any moment, beside all other disruptions.
constexpr WalkOptions WithServersThatAppear(WalkOptions options) {
  options.restarts_while_paused = true;
  options.joins_during_takeover = true;
  options.old_lists = true;
  return options;
}

// The holder promotes by what the servers answered alone.
constexpr WalkOptions WithoutHolds(WalkOptions options) {
  options.holds_acknowledgements = false;
  return options;
}

constexpr WalkOptions WithJoins() {
  auto options = kWithMembershipChanges;
  options.joins_during_takeover = true;
  return options;
}

constexpr WalkOptions WithUnlistedServers() {
  auto options = kWithOldLists;
  options.replacements = true;
  return options;
}

// Proxies that holders do not reach, and that do not always reach the store.
constexpr WalkOptions WithUnreachableProxies(WalkOptions options) {
  options.unreachable_proxies = true;
  return options;
}

constexpr WalkOptions WithUnreachableProxiesAndAll() {
  auto options = WithUnreachableProxies(WithJoins());
  options.old_lists = true;
  options.restores = true;
  options.fleet_restarts = true;
  options.delayed_requests = true;
  options.slow_store = true;
  return options;
}

// Reserved tokens are renewed often, and often used.
constexpr WalkOptions WithUnreachableProxiesInOutages() {
  auto options = WithUnreachableProxies(WithUnlistedServers());
  options.contended = true;
  return options;
}

}  // namespace cardamom::takeover_model
