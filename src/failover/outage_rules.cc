#include "failover/outage_rules.h"

#include <algorithm>

#include <fmt/format.h>

namespace cardamom {

bool MayReserve(const GroupCensus& census, const FenceRow& row, std::int64_t now_ms) {
  return !census.changing && census.servers.size() >= kLeastReservedServers && !row.open &&
         DecideFenceClaim(row, "", now_ms) == FenceClaim::kClaim;
}

FenceRow ReserveIn(FenceRow row, TokenReservation reservation) {
  ++row.token;
  reservation.token = row.token;
  row.reserved = std::move(reservation);
  return row;
}

std::optional<std::string> ObjectionToReserved(const TokenReservation& reservation,
                                               const GroupCensus& census,
                                               const std::optional<EndpointId>& lost_primary,
                                               const std::vector<SurveyedServer>& servers) {
  if (census.changing || census.servers != reservation.servers) {
    return "the servers changed since the token was reserved";
  }
  for (const auto& known : reservation.servers) {
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const auto& surveyed) {
      return surveyed.endpoint == known.endpoint;
    });
    const bool heard = server != servers.end() && server->heard;
    if (!heard && lost_primary == known.endpoint) {
      continue;
    }
    if (!heard) {
      return fmt::format("{} is not heard on a link from before the outage",
                         known.endpoint.value());
    }
    if (server->is_primary) {
      return fmt::format("{} leads", known.endpoint.value());
    }
    if (server->term != reservation.term) {
      return fmt::format("{} is in term {}, the token is for {}", known.endpoint.value(),
                         server->term.value(), reservation.term.value());
    }
    if (server->paused_at > server->term) {
      return fmt::format("{} was stopped by another proxy", known.endpoint.value());
    }
  }
  return std::nullopt;
}

bool IsAwayForAll(const std::vector<StoreAnswer>& answers) {
  const auto away = std::count(answers.begin(), answers.end(), StoreAnswer::kAway);
  const bool reached =
      std::find(answers.begin(), answers.end(), StoreAnswer::kInStep) != answers.end();
  return !reached && 2 * static_cast<std::size_t>(away) >= answers.size();
}

}  // namespace cardamom
