#include "gateway/takeover.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr const char* kFenceTable = "fences";
constexpr Millis kStoreTimeout{800};
constexpr Millis kControlTimeout{500};
constexpr Millis kOrderTimeout{1000};
// Longest time from an accepted order to the answers of the new primary.
constexpr Millis kLeadTimeout{3000};
constexpr Millis kLeadPoll{50};
// A replica that receives nothing for this long while the primary is ahead is cut off.
constexpr Millis kStallCheck{300};

std::string_view NameOf(TakeoverReason reason) {
  switch (reason) {
    case TakeoverReason::kFailed:
      return "failed";
    case TakeoverReason::kLeaving:
      return "leaving";
    case TakeoverReason::kStalled:
      return "stalled";
  }
  return "";
}

}  // namespace

Takeover::Takeover(GatewayContext& context, TablePort table, PromotionOrder order)
    : m_context(context), m_table(std::move(table)), m_order(std::move(order)) {}

void Takeover::Log(EventCode code, const GroupClient& group, const std::string& detail, Term term) {
  m_context.events.Emit(code, {.group = group.id(), .term = term, .detail = detail});
}

asio::awaitable<std::optional<Takeover::Claim>> Takeover::TakeToken(const GroupClient& group) {
  const auto rows = co_await m_table.read(kFenceTable, Clock::now() + kStoreTimeout);
  if (!rows) {
    Log(EventCode::kPromotionFailed, group, "fence row: " + rows.error().detail);
    co_return std::nullopt;
  }
  Claim claim;
  for (const auto& row : rows->rows) {
    if (row.key == group.id().value()) {
      const auto decoded = Decode<FenceRow>(row.value);
      if (decoded) {
        claim.row = *decoded;
      }
      claim.version = row.version;
    }
  }
  const auto& self = m_context.settings.vm_id;
  if (JudgeFence(claim.row, self, rows->now_ms) == FenceClaim::kWait) {
    co_return std::nullopt;
  }
  claim.was_open = claim.row.open;
  claim.row = FenceRow{claim.row.token + 1, self, true, rows->now_ms};
  TableWrite write{kFenceTable, group.id().value(), claim.version, Encode(claim.row)};
  const auto written = co_await m_table.write(std::move(write), Clock::now() + kStoreTimeout);
  if (!written || !written->applied) {
    Log(EventCode::kPromotionFailed, group,
        written ? "another proxy took the token" : "token: " + written.error().detail);
    co_return std::nullopt;
  }
  Log(EventCode::kTermAllocated, group, fmt::format("token {}", claim.row.token));
  co_return claim;
}

asio::awaitable<void> Takeover::CloseRow(const GroupClient& group, FenceRow row) {
  const auto rows = co_await m_table.read(kFenceTable, Clock::now() + kStoreTimeout);
  if (!rows) {
    co_return;
  }
  for (const auto& current : rows->rows) {
    const auto decoded = Decode<FenceRow>(current.value);
    if (current.key != group.id().value() || !decoded || decoded->token != row.token) {
      continue;
    }
    row.open = false;
    row.at_ms = rows->now_ms;
    TableWrite write{kFenceTable, group.id().value(), current.version, Encode(row)};
    // A lost answer leaves the row open at worst, which costs the next holder an order.
    co_await m_table.write(std::move(write), Clock::now() + kStoreTimeout);
  }
}

asio::awaitable<Takeover::Statuses> Takeover::AskAll(std::shared_ptr<GroupClient> group,
                                                     std::vector<GroupClient::EndpointPtr> targets,
                                                     EndpointOperation operation,
                                                     Term term) {
  struct Gathered {
    Statuses statuses;
    std::size_t left = 0;
    Notifier changed;
  };
  const auto gathered = std::make_shared<Gathered>();
  gathered->left = targets.size();
  const auto deadline = Clock::now() + kControlTimeout;
  for (const auto& endpoint : targets) {
    Spawn(m_context.io,
          [group, endpoint, operation, term, deadline, gathered]() -> asio::awaitable<void> {
            const auto status = co_await group->Control(endpoint, operation, term, deadline);
            if (status) {
              gathered->statuses[endpoint->entry.id] = *status;
            }
            --gathered->left;
            gathered->changed.NotifyAll();
          });
  }
  const std::function<bool()> all_answered = [gathered] { return gathered->left == 0; };
  co_await gathered->changed.WaitUntil(all_answered, deadline + Millis(50));
  co_return gathered->statuses;
}

asio::awaitable<bool> Takeover::ConfirmStall(std::shared_ptr<GroupClient> group,
                                             const Statuses& before) {
  Position primary_at;
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, status] : before) {
    if (status.is_primary) {
      primary_at = std::max(primary_at, status.received);
    } else if (const auto endpoint = group->Find(id)) {
      replicas.push_back(endpoint);
    }
  }
  co_await Sleep(kStallCheck);
  const auto after = co_await AskAll(group, replicas, EndpointOperation::kStatus, Term());
  co_return !after.empty() && std::all_of(after.begin(), after.end(), [&](const auto& entry) {
    return entry.second.received < primary_at;
  });
}

asio::awaitable<bool> Takeover::Run(std::shared_ptr<GroupClient> group, TakeoverReason reason) {
  Log(EventCode::kPrimarySuspected, *group,
      fmt::format("{}; primary {}; {} failures", NameOf(reason),
                  group->primary_id() ? group->primary_id()->value() : "unknown",
                  group->health().failures),
      group->term());
  const auto claim = co_await TakeToken(*group);
  if (!claim) {
    co_return false;
  }
  std::vector<GroupClient::EndpointPtr> all;
  for (const auto& [id, endpoint] : group->endpoints()) {
    all.push_back(endpoint);
  }
  const auto statuses = co_await AskAll(group, all, EndpointOperation::kStatus, Term());
  // A healthy primary stays: this proxy alone had lost sight of it.
  for (const auto& [id, status] : statuses) {
    const auto endpoint = group->Find(id);
    if (!status.is_primary || !endpoint) {
      continue;
    }
    const bool stays =
        (reason == TakeoverReason::kFailed && !endpoint->entry.leaving) ||
        (reason == TakeoverReason::kLeaving && !endpoint->entry.leaving) ||
        (reason == TakeoverReason::kStalled && !co_await ConfirmStall(group, statuses));
    if (stays && co_await group->ProbeLead(endpoint, Clock::now() + kControlTimeout)) {
      Log(EventCode::kPromotionFailed, *group, id.value() + " leads", status.term);
      if (!claim->was_open) {
        co_await CloseRow(*group, claim->row);
      }
      co_return true;
    }
  }
  const bool done = co_await Promote(group, reason, statuses, *claim);
  m_context.metrics.CountPromotion(done ? "done" : "failed");
  co_return done;
}

asio::awaitable<bool> Takeover::Promote(std::shared_ptr<GroupClient> group,
                                        TakeoverReason reason,
                                        const Statuses& statuses,
                                        const Claim& claim) {
  auto term = group->term();
  for (const auto& [id, status] : statuses) {
    term = std::max({term, status.term, status.paused_at});
  }
  const Term stop_at(term.value() + 1);
  std::vector<GroupClient::EndpointPtr> primaries;
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, endpoint] : group->endpoints()) {
    const auto status = statuses.find(id);
    const bool leads =
        status != statuses.end() ? status->second.is_primary : group->primary_id() == id;
    (leads ? primaries : replicas).push_back(endpoint);
  }
  auto stopped = co_await AskAll(group, primaries, EndpointOperation::kStepDown, stop_at);
  const auto paused = co_await AskAll(group, replicas, EndpointOperation::kPause, stop_at);
  stopped.insert(paused.begin(), paused.end());
  std::vector<StoppedServer> servers;
  std::string seen;
  for (const auto& [id, endpoint] : group->endpoints()) {
    StoppedServer server{.endpoint = id, .leaving = endpoint->entry.leaving};
    server.was_primary = std::find(primaries.begin(), primaries.end(), endpoint) != primaries.end();
    if (const auto answer = stopped.find(id); answer != stopped.end()) {
      server.stopped = true;
      server.received = answer->second.received;
    }
    seen += fmt::format(" {}{}={}.{}{}", id.value(), server.was_primary ? "(primary)" : "",
                        server.received.term.value(), server.received.index.value(),
                        server.stopped ? "" : "(silent)");
    servers.push_back(server);
  }
  const auto successor = ChooseSuccessor(servers);
  if (!successor) {
    Log(EventCode::kPromotionFailed, *group, "no safe successor:" + seen, stop_at);
    if (!claim.was_open) {
      co_await AskAll(group, replicas, EndpointOperation::kResume, Term());
      co_await CloseRow(*group, claim.row);
    }
    co_return false;
  }
  const auto ordered = co_await m_order(group->id().value(), successor->value(), claim.row.holder,
                                        claim.row.token, Clock::now() + kOrderTimeout);
  Log(EventCode::kPromotionOrdered, *group,
      fmt::format("{} for {}, token {}, {}; logs:{}", successor->value(), NameOf(reason),
                  claim.row.token,
                  !ordered                             ? ordered.error().detail
                  : *ordered == OrderResult::kAccepted ? "accepted"
                                                       : "rejected",
                  seen),
      stop_at);
  if (!ordered || *ordered != OrderResult::kAccepted) {
    co_return false;
  }
  const bool leads = co_await WaitForLead(group, *successor);
  if (leads) {
    co_await AskAll(group, replicas, EndpointOperation::kResume, Term());
    co_await CloseRow(*group, claim.row);
    Log(EventCode::kPrimaryPromoted, *group, successor->value(), group->term());
  }
  co_return leads;
}

asio::awaitable<bool> Takeover::WaitForLead(std::shared_ptr<GroupClient> group,
                                            EndpointId endpoint) {
  const auto deadline = Clock::now() + kLeadTimeout;
  while (Clock::now() < deadline) {
    const auto server = group->Find(endpoint);
    if (!server) {
      co_return false;
    }
    if (co_await group->ProbeLead(server, Clock::now() + kControlTimeout)) {
      co_return true;
    }
    co_await Sleep(kLeadPoll);
  }
  co_return false;
}

}  // namespace cardamom
