#include "failover/outage_rules.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace cardamom {
namespace {

using Incarnations = std::vector<ServerIncarnation>;

bool Contains(const Incarnations& servers, const ServerIncarnation& server) {
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

Incarnations CommonServers(Incarnations servers, const Incarnations& others) {
  std::erase_if(servers,
                [&](const ServerIncarnation& server) { return !Contains(others, server); });
  return servers;
}

// Whether a reservation that another one replaced may be in use.
bool IsReplacedOutstanding(const FenceRow& row) {
  return row.replaced > 0 && row.replaced >= row.void_below;
}

bool IsReservedOutstanding(const FenceRow& row, const std::optional<TokenReservation>& own_unused) {
  return row.reserved && row.reserved->token >= row.void_below && row.reserved != own_unused;
}

// Whether `server` runs as a replica since `reserved` was written and is not paused.
bool IsUnpausedSince(const Incarnations& reserved, const SurveyedServer& server) {
  return server.answered && !server.is_primary && server.paused_at <= server.term &&
         server.started_ms && Contains(reserved, {server.endpoint, *server.started_ms});
}

}  // namespace

bool MayReserve(const ServerListSnapshot& snapshot, const FenceRow& row, std::int64_t now_ms) {
  return !snapshot.changing && snapshot.servers.size() >= kMinServersForReservation && !row.open &&
         DecideFenceClaim(row, "", now_ms) == FenceClaim::kClaim;
}

FenceRow AddReservation(FenceRow row,
                        TokenReservation reservation,
                        const std::optional<TokenReservation>& own_unused) {
  if (row.reserved && row.reserved != own_unused) {
    row.replaced_servers =
        IsReplacedOutstanding(row)
            ? CommonServers(row.replaced_servers.value_or(Incarnations()), row.reserved->servers)
            : row.reserved->servers;
    row.replaced = row.reserved->token;
  }
  ++row.token;
  reservation.token = row.token;
  row.reserved = std::move(reservation);
  return row;
}

std::optional<std::string> FindReservationConflict(const TokenReservation& reservation,
                                                   const ServerListSnapshot& snapshot,
                                                   const std::optional<EndpointId>& lost_primary,
                                                   const std::vector<SurveyedServer>& servers) {
  if (snapshot.changing || snapshot.servers != reservation.servers) {
    return "the servers changed since the token was reserved";
  }
  for (const auto& reserved_server : reservation.servers) {
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const auto& surveyed) {
      return surveyed.endpoint == reserved_server.endpoint;
    });
    const bool answered = server != servers.end() && server->answered;
    if (!answered && lost_primary == reserved_server.endpoint) {
      continue;
    }
    if (!answered) {
      return fmt::format("{} did not answer on a link from before the outage",
                         reserved_server.endpoint.value());
    }
    if (server->is_primary) {
      return fmt::format("{} is the primary", reserved_server.endpoint.value());
    }
    if (server->term != reservation.term) {
      return fmt::format("{} is in term {}, the token is for {}", reserved_server.endpoint.value(),
                         server->term.value(), reservation.term.value());
    }
    if (server->paused_at > server->term) {
      return fmt::format("{} was stopped by another proxy", reserved_server.endpoint.value());
    }
  }
  return std::nullopt;
}

bool ShowNoTakeover(const std::vector<EndpointId>& listed,
                    const std::optional<EndpointId>& lost_primary,
                    const std::vector<SurveyedServer>& servers) {
  return std::all_of(listed.begin(), listed.end(), [&](const EndpointId& id) {
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const auto& surveyed) {
      return surveyed.endpoint == id && surveyed.answered;
    });
    return server == servers.end() ? lost_primary == id : server->paused_at <= server->term;
  });
}

OutstandingOrder FindOutstandingOrder(const FenceRow& row,
                                      bool history_lost,
                                      const std::optional<TokenReservation>& own_unused) {
  if (history_lost) {
    return OutstandingOrder::kLostHistory;
  }
  if (row.open) {
    return OutstandingOrder::kOpenRow;
  }
  return IsReservedOutstanding(row, own_unused) || IsReplacedOutstanding(row)
             ? OutstandingOrder::kReservation
             : OutstandingOrder::kNone;
}

std::vector<ServerIncarnation> FindReservedServers(
    const FenceRow& row,
    const std::optional<TokenReservation>& own_unused) {
  const bool reserved = IsReservedOutstanding(row, own_unused);
  if (!IsReplacedOutstanding(row)) {
    return reserved ? row.reserved->servers : Incarnations();
  }
  auto servers = row.replaced_servers.value_or(Incarnations());
  return reserved ? CommonServers(std::move(servers), row.reserved->servers) : servers;
}

bool MustWaitUntilSettled(OutstandingOrder reason,
                          bool shows_no_takeover,
                          const std::vector<SurveyedServer>& servers,
                          const std::vector<ServerIncarnation>& reserved) {
  switch (reason) {
    case OutstandingOrder::kNone:
      return false;
    case OutstandingOrder::kOpenRow:
      return true;
    case OutstandingOrder::kLostHistory:
      return !shows_no_takeover;
    case OutstandingOrder::kReservation:
      return std::none_of(servers.begin(), servers.end(), [&](const SurveyedServer& server) {
        return IsUnpausedSince(reserved, server);
      });
  }
  return true;
}

bool IsStoreUnavailableForAll(const std::vector<StoreReport>& answers) {
  const auto unavailable = std::count(answers.begin(), answers.end(), StoreReport::kUnavailable);
  const bool reached =
      std::find(answers.begin(), answers.end(), StoreReport::kUpToDate) != answers.end();
  return !reached && 2 * static_cast<std::size_t>(unavailable) >= answers.size();
}

}  // namespace cardamom
