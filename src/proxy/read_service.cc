#include "proxy/read_service.h"

#include <algorithm>
#include <utility>

namespace cardamom {
namespace {

constexpr Millis kMaxIndexForAgeWait{60};
constexpr Millis kMaxConfirmationWait{300};
constexpr Millis kRetryRoundDelay{10};

std::vector<ReadCandidate> CollectCandidates(Group& group) {
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

asio::awaitable<Outcome<ReadResult>> ReadService::Read(std::shared_ptr<Group> group,
                                                       ReadCommand command,
                                                       TimePoint deadline) {
  const auto record = group->record();
  const auto max_age = command.max_age.value_or(Millis(record.max_read_age_ms));
  group->ObserveTerm(command.session_requirement.position.term);
  Error last_error{ResultCode::kNoFreshServer, "no endpoint satisfies the read"};
  do {
    const auto plan = co_await MakePlan(*group, command, max_age, deadline);
    bool all_overloaded = !plan.choices.empty();
    for (const auto& choice : plan.choices) {
      auto result =
          co_await TryEndpoint(*group, command, choice, plan.required_position, max_age, deadline);
      if (result) {
        m_context.metrics.CountRead(result->from_replica);
        co_return result;
      }
      last_error = result.error();
      if (last_error.code == ResultCode::kStatementFailed) {
        co_return last_error;
      }
      all_overloaded = all_overloaded && last_error.code == ResultCode::kOverloaded;
      m_context.metrics.CountRetry(InfoOf(last_error.code).name.data());
    }
    if (all_overloaded) {
      // A further round of attempts would only keep the queues full.
      co_return Error{ResultCode::kOverloaded, last_error.detail, Ran::kNo};
    }
    co_await Sleep(kRetryRoundDelay);
    co_await group->Refresh();
  } while (Clock::now() < deadline);
  // A read has no side effects, so the error states Ran::kNo even if an attempt was executed.
  co_return Error{
      last_error.code == ResultCode::kOverloaded ? last_error.code : ResultCode::kNoFreshServer,
      last_error.detail, Ran::kNo};
}

asio::awaitable<ReadService::Plan> ReadService::MakePlan(Group& group,
                                                         const ReadCommand& command,
                                                         Millis max_age,
                                                         TimePoint deadline) {
  Plan plan;
  const auto index_for_age = [max_age](const GroupView& view) {
    return view.IndexForAge(max_age, Clock::now());
  };
  ReadRequirement requirement;
  // A caller without a session for the group and without a stated maximum age expects the newest
  // data.
  requirement.primary_only = !command.session_requirement.has_position && !command.max_age;
  auto index = group.WithView(index_for_age);
  if (!index && !requirement.primary_only) {
    co_await group.Refresh();
    co_await group.WaitFor([&](const GroupView& view) { return index_for_age(view).has_value(); },
                           std::min(deadline, Clock::now() + kMaxIndexForAgeWait));
    index = group.WithView(index_for_age);
  }
  const auto term = group.WithView([](const GroupView& view) { return view.term(); });
  plan.required_position = {
      std::max(command.session_requirement.position.term, term),
      std::max(command.session_requirement.position.index, index.value_or(LogIndex()))};
  requirement.primary_only = requirement.primary_only || !index;
  requirement.position = plan.required_position;
  RoutingPolicy policy;
  policy.max_wait = Millis(m_context.settings.read_wait_ms);
  plan.choices = ChooseReadEndpoints(CollectCandidates(group), requirement, policy);
  if (!plan.choices.empty() && plan.choices.front().is_primary) {
    const char* reason = "no_replica_fresh";
    if (!command.session_requirement.has_position && !command.max_age) {
      reason = "no_session";
    } else if (!index) {
      reason = "age_unknown";
    }
    m_context.metrics.CountReadFallback(reason);
  }
  co_return plan;
}

asio::awaitable<Outcome<ReadResult>> ReadService::TryEndpoint(Group& group,
                                                              const ReadCommand& command,
                                                              const ReadChoice& choice,
                                                              Position required_position,
                                                              Millis max_age,
                                                              TimePoint deadline) {
  const auto endpoint = group.Find(choice.endpoint);
  if (endpoint == nullptr) {
    co_return Error{ResultCode::kServerBehind, "the endpoint was dropped"};
  }
  auto permit = co_await endpoint->admission->Acquire(Priority::kRead, deadline);
  if (!permit) {
    co_return permit.error();
  }
  ReadRequest request;
  request.statement = command.statement;
  request.need = required_position;
  request.wait_ms = static_cast<std::uint32_t>(choice.max_wait.count());
  if (choice.is_primary) {
    request.as_primary_of = group.WithView([](const GroupView& view) { return view.term(); });
  }
  const auto request_sent_at = Clock::now();
  const auto timeout = Millis(m_context.settings.attempt_timeout_ms);
  const auto answer =
      co_await endpoint->client->Read(request, std::min(deadline, request_sent_at + timeout));
  if (!answer) {
    if (IsConnectionFailure(answer.error())) {
      group.ObserveFailure(*endpoint, answer.error(), request_sent_at);
    } else if (answer.error().code == ResultCode::kOverloaded) {
      permit->OnOverload();
    }
    co_return answer.error();
  }
  permit->OnSuccess();
  group.ObserveHeld(choice.endpoint, answer->position);
  const ReadResult result{answer->result, answer->position, choice.endpoint, !choice.is_primary};
  // A replica proves the age of its data by having applied the required position; a primary proves
  // it by still being the primary.
  const auto primary_confirmed_since =
      choice.is_primary ? request_sent_at - max_age : TimePoint::min();
  if (!co_await WaitUntilConfirmed(group, result, primary_confirmed_since, deadline)) {
    co_return Error{ResultCode::kServerBehind, "what the read saw was not confirmed"};
  }
  co_return result;
}

asio::awaitable<bool> ReadService::WaitUntilConfirmed(Group& group,
                                                      const ReadResult& result,
                                                      TimePoint primary_confirmed_since,
                                                      TimePoint deadline) {
  const auto limit = std::min(deadline, Clock::now() + kMaxConfirmationWait);
  if (co_await group.WaitForCommit(result.position, limit) != Group::CommitState::kCommitted) {
    co_return false;
  }
  const auto confirmed = [primary_confirmed_since](const GroupView& view) {
    const auto confirmed_at = view.ConfirmedAt();
    return confirmed_at && *confirmed_at >= primary_confirmed_since;
  };
  if (primary_confirmed_since == TimePoint::min() || group.WithView(confirmed)) {
    co_return true;
  }
  co_await group.Refresh();
  co_return co_await group.WaitFor(confirmed, limit);
}

}  // namespace cardamom
