#include "gateway/takeover.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr const char* kFenceTable = "fences";
constexpr Millis kStoreTimeout{800};
constexpr Millis kControlTimeout{400};
// Last question to a primary that seems to have failed.
constexpr Millis kLastProbeTimeout{120};
// A status takes a slot, but servers that are well answer far sooner.
constexpr Millis kStatusTimeout{250};
constexpr Millis kOrderTimeout{300};
// Longest time from an accepted order to the answers of the new primary.
constexpr Millis kLeadTimeout{3000};
constexpr Millis kLeadPoll{50};
// A replica that receives nothing for this long while the primary is ahead is cut off.
constexpr Millis kStallCheck{300};
// A replica that is gone for this long acknowledged nothing since; what it had acknowledged before
// has reached the others.
constexpr Millis kGoneLongAgo{4000};
// As above, where the server does not even refuse: neither the store nor this proxy hears it.
constexpr Millis kSilentLongAgo{8000};

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

Takeover::Takeover(GatewayContext& context,
                   TablePort table,
                   PromotionOrder order,
                   RefreshServers refresh_servers)
    : m_context(context),
      m_table(std::move(table)),
      m_order(std::move(order)),
      m_refresh_servers(std::move(refresh_servers)) {}

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
  std::uint64_t version = 0;
  for (const auto& row : rows->rows) {
    if (row.key == group.id().value()) {
      const auto decoded = Decode<FenceRow>(row.value);
      if (decoded) {
        claim.row = *decoded;
      }
      version = row.version;
    }
  }
  const auto& self = m_context.settings.vm_id;
  if (JudgeFence(claim.row, self, rows->now_ms) == FenceClaim::kWait) {
    co_return std::nullopt;
  }
  claim.was_open = claim.row.open;
  claim.row = FenceRow{claim.row.token + 1, self, claim.row.open, rows->now_ms};
  claim.valid_until = BootClock::now() + kOrderWithin;
  TableWrite write{kFenceTable, group.id().value(), version, Encode(claim.row)};
  const auto written = co_await m_table.write(std::move(write), Clock::now() + kStoreTimeout);
  if (!written || !written->applied) {
    Log(EventCode::kPromotionFailed, group,
        written ? "another proxy took the token" : "token: " + written.error().detail);
    co_return std::nullopt;
  }
  Log(EventCode::kTermAllocated, group, fmt::format("token {}", claim.row.token));
  co_return claim;
}

asio::awaitable<bool> Takeover::MarkRow(const GroupClient& group, Claim& claim, bool open) {
  const auto rows = co_await m_table.read(kFenceTable, Clock::now() + kStoreTimeout);
  if (!rows) {
    co_return false;
  }
  for (const auto& current : rows->rows) {
    const auto decoded = Decode<FenceRow>(current.value);
    if (current.key != group.id().value() || !decoded || decoded->token != claim.row.token) {
      continue;
    }
    claim.row.open = open;
    claim.row.at_ms = rows->now_ms;
    TableWrite write{kFenceTable, group.id().value(), current.version, Encode(claim.row)};
    const auto written = co_await m_table.write(std::move(write), Clock::now() + kStoreTimeout);
    co_return written && written->applied;
  }
  co_return false;
}

asio::awaitable<void> Takeover::Resume(std::shared_ptr<GroupClient> group,
                                       Claim claim,
                                       std::optional<EndpointId> leader) {
  if (claim.was_open) {
    // An order of an earlier holder may be under way: what it compared must not change under it.
    co_return;
  }
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, endpoint] : group->endpoints()) {
    if (leader != id) {
      replicas.push_back(endpoint);
    }
  }
  co_await AskAll(group, replicas, EndpointOperation::kResume, Term(), claim.valid_until);
}

asio::awaitable<Takeover::Answers> Takeover::AskAll(std::shared_ptr<GroupClient> group,
                                                    std::vector<GroupClient::EndpointPtr> targets,
                                                    EndpointOperation operation,
                                                    Term term,
                                                    std::optional<BootTime> valid_until) {
  struct Gathered {
    Answers answers;
    std::size_t left = 0;
    Notifier changed;
  };
  const auto gathered = std::make_shared<Gathered>();
  gathered->left = targets.size();
  const auto timeout = operation == EndpointOperation::kStatus ? kStatusTimeout : kControlTimeout;
  const auto deadline = Clock::now() + timeout;
  for (const auto& endpoint : targets) {
    Spawn(m_context.io,
          [group, endpoint, operation, term, valid_until, deadline,
           gathered]() -> asio::awaitable<void> {
            const auto status =
                co_await group->Control(endpoint, operation, term, deadline, valid_until);
            if (status) {
              gathered->answers.statuses[endpoint->entry.id] = *status;
            } else {
              gathered->answers.failures.insert_or_assign(endpoint->entry.id, status.error());
            }
            --gathered->left;
            gathered->changed.NotifyAll();
          });
  }
  const std::function<bool()> all_answered = [gathered] { return gathered->left == 0; };
  co_await gathered->changed.WaitUntil(all_answered, deadline + Millis(50));
  co_return gathered->answers;
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
  const auto& statuses = after.statuses;
  co_return !statuses.empty() &&
      std::all_of(statuses.begin(), statuses.end(),
                  [&](const auto& entry) { return entry.second.received < primary_at; });
}

asio::awaitable<bool> Takeover::StillLeads(GroupClient& group) {
  const auto primary = group.primary();
  if (!primary) {
    co_return false;
  }
  const auto position = co_await group.ProbeLead(primary, Clock::now() + kLastProbeTimeout);
  // A server that is too busy to greet is alive.
  co_return position.has_value() || group.IsAtConnectionLimit();
}

asio::awaitable<std::optional<EndpointId>> Takeover::FindHealthyPrimary(
    std::shared_ptr<GroupClient> group,
    TakeoverReason reason,
    const Statuses& statuses) {
  for (const auto& [id, status] : statuses) {
    const auto endpoint = group->Find(id);
    if (!status.is_primary || !endpoint || endpoint->entry.leaving) {
      continue;
    }
    if (reason == TakeoverReason::kStalled) {
      const bool stalled = co_await ConfirmStall(group, statuses);
      if (stalled) {
        continue;
      }
    }
    const auto leads = co_await group->ProbeLead(endpoint, Clock::now() + kControlTimeout);
    if (leads) {
      co_return id;
    }
  }
  co_return std::nullopt;
}

asio::awaitable<TakeoverResult> Takeover::Run(std::shared_ptr<GroupClient> group,
                                              TakeoverReason reason) {
  Log(EventCode::kPrimarySuspected, *group,
      fmt::format("{}; primary {}; {} failures", NameOf(reason),
                  group->primary_id() ? group->primary_id()->value() : "unknown",
                  group->health().failures),
      group->term());
  if (reason == TakeoverReason::kFailed && co_await StillLeads(*group)) {
    co_return TakeoverResult::kSettled;
  }
  const auto claim = co_await TakeToken(*group);
  if (!claim) {
    co_return TakeoverResult::kGaveWay;
  }
  // A server that came up meanwhile may have acknowledged commits already.
  const bool refreshed = co_await m_refresh_servers();
  if (!refreshed) {
    co_return TakeoverResult::kGaveWay;
  }
  std::vector<GroupClient::EndpointPtr> all;
  for (const auto& [id, endpoint] : group->endpoints()) {
    all.push_back(endpoint);
  }
  const auto answers = co_await AskAll(group, all, EndpointOperation::kStatus, Term());
  const auto& statuses = answers.statuses;
  // What another holder has begun is finished, whatever the primary says by now: its order may be
  // carried out at any moment, and a primary that went on would acknowledge what the next one
  // lacks.
  if (!claim->was_open) {
    const auto leader = co_await FindHealthyPrimary(group, reason, statuses);
    if (leader) {
      Log(EventCode::kPromotionFailed, *group, leader->value() + " leads");
      const bool paused = std::any_of(statuses.begin(), statuses.end(), [](const auto& entry) {
        return entry.second.paused_at > entry.second.term;
      });
      if (paused) {
        co_await Resume(group, *claim, leader);
      }
      group->ForgetStall();
      co_return TakeoverResult::kSettled;
    }
  }
  const auto result = co_await Promote(group, reason, statuses, *claim);
  m_context.metrics.CountPromotion(result == TakeoverResult::kSettled ? "done" : "failed");
  co_return result;
}

asio::awaitable<std::vector<StoppedServer>> Takeover::StopAll(std::shared_ptr<GroupClient> group,
                                                              const Statuses& statuses,
                                                              Term stop_at) {
  std::vector<GroupClient::EndpointPtr> primaries;
  std::vector<GroupClient::EndpointPtr> replicas;
  for (const auto& [id, endpoint] : group->endpoints()) {
    const auto status = statuses.find(id);
    const bool leads =
        status != statuses.end() ? status->second.is_primary : group->primary_id() == id;
    (leads ? primaries : replicas).push_back(endpoint);
  }
  const auto departed = group->Departed();
  auto asked = replicas;
  for (const auto& server : departed) {
    if (!server.reborn) {
      asked.push_back(server.endpoint);
    }
  }
  // A primary that did not say its status is not waited for.
  auto reached = primaries;
  std::erase_if(reached,
                [&](const auto& endpoint) { return !statuses.contains(endpoint->entry.id); });
  const auto stepped = co_await AskAll(group, reached, EndpointOperation::kStepDown, stop_at);
  const auto paused = co_await AskAll(group, asked, EndpointOperation::kPause, stop_at);
  std::vector<StoppedServer> servers;
  const auto add = [&](const Endpoint& endpoint, const Answers& answers) -> StoppedServer& {
    StoppedServer server;
    server.endpoint = endpoint.entry.id;
    server.leaving = endpoint.entry.leaving;
    const auto answer = answers.statuses.find(server.endpoint);
    if (answer != answers.statuses.end()) {
      server.stopped = true;
      server.received = answer->second.received;
    }
    return servers.emplace_back(server);
  };
  for (const auto& endpoint : primaries) {
    add(*endpoint, stepped).was_primary = true;
  }
  for (const auto& endpoint : replicas) {
    add(*endpoint, paused);
  }
  const Answers none;
  for (const auto& server : departed) {
    auto& stopped = add(*server.endpoint, server.reborn ? none : paused);
    stopped.leaving = true;
    const auto failure = paused.failures.find(stopped.endpoint);
    const bool process_gone =
        server.reborn || (failure != paused.failures.end() &&
                          (failure->second.code == ResultCode::kBadAnswer ||
                           failure->second.code == ResultCode::kConnectionRefused));
    const auto gone_for = Clock::now() - server.since;
    stopped.gone_long_ago = gone_for > (process_gone ? kGoneLongAgo : kSilentLongAgo);
  }
  co_return servers;
}

asio::awaitable<bool> Takeover::AnyWorks(std::shared_ptr<GroupClient> group,
                                         const std::vector<StoppedServer>& servers) {
  for (const auto& server : servers) {
    const auto endpoint = group->Find(server.endpoint);
    if (!server.was_primary || server.stopped || !endpoint) {
      continue;
    }
    const auto leads = co_await group->ProbeLead(endpoint, Clock::now() + kLastProbeTimeout);
    if (leads || group->IsAtConnectionLimit()) {
      co_return true;
    }
  }
  co_return false;
}

asio::awaitable<TakeoverResult> Takeover::Promote(std::shared_ptr<GroupClient> group,
                                                  TakeoverReason reason,
                                                  Statuses statuses,
                                                  Claim claim) {
  auto term = group->term();
  for (const auto& [id, status] : statuses) {
    term = std::max({term, status.term, status.paused_at});
  }
  const Term stop_at(term.value() + 1);
  const auto servers = co_await StopAll(group, statuses, stop_at);
  std::string seen;
  for (const auto& server : servers) {
    seen +=
        fmt::format(" {}{}={}.{}{}", server.endpoint.value(), server.was_primary ? "(primary)" : "",
                    server.received.term.value(), server.received.index.value(),
                    server.stopped         ? ""
                    : server.gone_long_ago ? "(gone)"
                                           : "(silent)");
  }
  // A primary that works goes on to acknowledge unless it was told to stop.
  const bool works = co_await AnyWorks(group, servers);
  const auto successor = works ? std::nullopt : ChooseSuccessor(servers);
  if (!successor) {
    Log(EventCode::kPromotionFailed, *group,
        (works ? "the primary works:" : "no safe successor:") + seen, stop_at);
    co_await Resume(group, claim, std::nullopt);
    co_return claim.was_open ? TakeoverResult::kUnfinished : TakeoverResult::kGaveWay;
  }
  // From here on others keep away for as long as the order may take.
  const bool marked = co_await MarkRow(*group, claim, true);
  if (!marked || BootClock::now() > claim.valid_until) {
    Log(EventCode::kPromotionFailed, *group, "the token came too late:" + seen, stop_at);
    co_return TakeoverResult::kUnfinished;
  }
  const auto ordered = co_await m_order(group->id().value(), successor->value(), claim.row.holder,
                                        claim.row.token, Clock::now() + kOrderTimeout);
  const auto outcome = !ordered                             ? ordered.error().detail
                       : *ordered == OrderResult::kAccepted ? std::string("accepted")
                                                            : std::string("rejected");
  Log(EventCode::kPromotionOrdered, *group,
      fmt::format("{} for {}, token {}, {}; logs:{}", successor->value(), NameOf(reason),
                  claim.row.token, outcome, seen),
      stop_at);
  if (!ordered || *ordered != OrderResult::kAccepted) {
    co_return TakeoverResult::kUnfinished;
  }
  // The promotion itself lets the other replicas receive again.
  const bool leads = co_await WaitForLead(group, *successor);
  if (leads) {
    Log(EventCode::kPrimaryPromoted, *group, successor->value(), group->term());
    co_await MarkRow(*group, claim, false);
    group->ForgetStall();
  }
  co_return leads ? TakeoverResult::kSettled : TakeoverResult::kUnfinished;
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
