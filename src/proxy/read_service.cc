#include "proxy/read_service.h"

#include <algorithm>
#include <utility>

namespace cardamom {
namespace {

constexpr Millis kAgeWait{60};
constexpr Millis kReleaseWait{300};
constexpr Millis kRoundPause{10};

std::vector<ReadCandidate> CandidatesOf(Group& group) {
  const auto endpoints = group.ServingEndpoints();
  const auto now = Clock::now();
  std::vector<ReadCandidate> candidates;
  for (const auto& endpoint : endpoints) {
    ReadCandidate candidate;
    candidate.endpoint = endpoint->spec.id;
    candidate.outstanding = endpoint->admission->outstanding();
    candidate.slots = std::max<std::size_t>(1, endpoint->admission->limit());
    candidate.round_trip_time = Duration(endpoint->round_trip_time.load());
    group.WithView([&](const GroupView& view) {
      candidate.is_primary = view.primary() == candidate.endpoint;
      candidate.lag = view.LagOf(candidate.endpoint, now);
      if (const auto* server = view.Find(candidate.endpoint)) {
        candidate.reachable = server->reachable;
        candidate.applied = {server->state.lineage, server->state.applied};
      }
      return 0;
    });
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

}  // namespace

asio::awaitable<Outcome<ReadReceipt>> ReadService::Read(std::shared_ptr<Group> group,
                                                        ReadCommand command,
                                                        TimePoint deadline) {
  const auto record = group->record();
  const auto age = command.max_age.value_or(Millis(record.max_read_age_ms));
  group->ObserveTerm(command.session.position.term);
  Error last{ResultCode::kNoFreshServer, "no endpoint satisfies the read"};
  do {
    const auto plan = co_await MakePlan(*group, command, age, deadline);
    bool all_overloaded = !plan.choices.empty();
    for (const auto& choice : plan.choices) {
      auto receipt = co_await Try(*group, command, choice, plan.need, age, deadline);
      if (receipt) {
        m_context.metrics.CountRead(receipt->from_replica);
        co_return receipt;
      }
      last = receipt.error();
      if (last.code == ResultCode::kStatementFailed) {
        co_return last;
      }
      all_overloaded = all_overloaded && last.code == ResultCode::kOverloaded;
      m_context.metrics.CountRetry(InfoOf(last.code).name.data());
    }
    if (all_overloaded) {
      // A further round of attempts would only keep the queues full.
      co_return Error{ResultCode::kOverloaded, last.detail, Ran::kNo};
    }
    co_await Sleep(kRoundPause);
    co_await group->Refresh();
  } while (Clock::now() < deadline);
  // A read has no side effects, so the error states Ran::kNo even if an attempt was executed.
  co_return Error{last.code == ResultCode::kOverloaded ? last.code : ResultCode::kNoFreshServer,
                  last.detail, Ran::kNo};
}

asio::awaitable<ReadService::Plan> ReadService::MakePlan(Group& group,
                                                         const ReadCommand& command,
                                                         Millis age,
                                                         TimePoint deadline) {
  Plan plan;
  const auto index_for_age = [age](const GroupView& view) {
    return view.IndexForAge(age, Clock::now());
  };
  ReadRequirement need;
  // A caller without a session for the group and without a stated maximum age expects the newest
  // data.
  need.primary_only = !command.session.known && !command.max_age;
  auto index = group.WithView(index_for_age);
  if (!index && !need.primary_only) {
    co_await group.Refresh();
    co_await group.WaitFor([&](const GroupView& view) { return index_for_age(view).has_value(); },
                           std::min(deadline, Clock::now() + kAgeWait));
    index = group.WithView(index_for_age);
  }
  const auto term = group.WithView([](const GroupView& view) { return view.term(); });
  plan.need = {std::max(command.session.position.term, term),
               std::max(command.session.position.index, index.value_or(LogIndex()))};
  need.primary_only = need.primary_only || !index;
  need.position = plan.need;
  RoutingPolicy policy;
  policy.max_wait = Millis(m_context.settings.read_wait_ms);
  plan.choices = ChooseReadEndpoints(CandidatesOf(group), need, policy);
  if (!plan.choices.empty() && plan.choices.front().is_primary) {
    const char* reason = "no_replica_fresh";
    if (!command.session.known && !command.max_age) {
      reason = "no_session";
    } else if (!index) {
      reason = "age_unknown";
    }
    m_context.metrics.CountReadFallback(reason);
  }
  co_return plan;
}

asio::awaitable<Outcome<ReadReceipt>> ReadService::Try(Group& group,
                                                       const ReadCommand& command,
                                                       const ReadChoice& choice,
                                                       Position need,
                                                       Millis age,
                                                       TimePoint deadline) {
  const auto endpoint = group.Find(choice.endpoint);
  if (endpoint == nullptr) {
    co_return Error{ResultCode::kServerBehind, "the endpoint was dropped"};
  }
  auto pass = co_await endpoint->admission->Acquire(Priority::kRead, deadline);
  if (!pass) {
    co_return pass.error();
  }
  ReadRequest request;
  request.statement = command.statement;
  request.need = need;
  request.wait_ms = static_cast<std::uint32_t>(choice.max_wait.count());
  if (choice.is_primary) {
    request.as_primary_of = group.WithView([](const GroupView& view) { return view.term(); });
  }
  const auto sent_at = Clock::now();
  const auto timeout = Millis(m_context.settings.attempt_timeout_ms);
  const auto answer =
      co_await endpoint->client->Read(request, std::min(deadline, sent_at + timeout));
  if (!answer) {
    if (IsConnectionFailure(answer.error())) {
      group.ObserveFailure(*endpoint, answer.error(), sent_at);
    } else if (answer.error().code == ResultCode::kOverloaded) {
      pass->OnOverload();
    }
    co_return answer.error();
  }
  pass->OnSuccess();
  group.ObserveHeld(choice.endpoint, answer->position);
  const ReadReceipt receipt{answer->result, answer->position, choice.endpoint, !choice.is_primary};
  // A replica proves the age of its data by having applied the required position; a primary proves
  // it by still being the primary.
  const auto fresh_since = choice.is_primary ? sent_at - age : TimePoint::min();
  if (!co_await Release(group, receipt, fresh_since, deadline)) {
    co_return Error{ResultCode::kServerBehind, "what the read saw was not confirmed"};
  }
  co_return receipt;
}

asio::awaitable<bool> ReadService::Release(Group& group,
                                           const ReadReceipt& receipt,
                                           TimePoint fresh_since,
                                           TimePoint deadline) {
  const auto limit = std::min(deadline, Clock::now() + kReleaseWait);
  if (co_await group.WaitForCommit(receipt.position, limit) != Group::CommitState::kCommitted) {
    co_return false;
  }
  const auto confirmed = [fresh_since](const GroupView& view) {
    const auto at = view.ConfirmedAt();
    return at && *at >= fresh_since;
  };
  if (fresh_since == TimePoint::min() || group.WithView(confirmed)) {
    co_return true;
  }
  co_await group.Refresh();
  co_return co_await group.WaitFor(confirmed, limit);
}

}  // namespace cardamom
