#include "fleet/home_client.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "async/spawn.h"
#include "fleet/peer_codec.h"

namespace cardamom {
namespace {

constexpr std::size_t kConnectionsPerPeer = 64;
// A healthy peer accepts a connection within one round trip.
constexpr Millis kConnectTimeout{300};
// A home that has not responded for this long is pinged.
constexpr Millis kPingAfterNoResponse{250};
constexpr Millis kPingTimeout{250};
constexpr Millis kBackoffBase{250};
constexpr int kMaxBackoffDoublings = 3;
// Back-off for a home that currently accepts no statements, for example because it is stopping.
constexpr Millis kNotTakenBackoff{500};
// Part of a statement's remaining time that is reserved for its reply to travel back.
constexpr Millis kReplyTransitTime{20};
constexpr int kMaxForwardAttempts = 3;
// Maximum number of homes asked in search of one that reaches the primary; a home that does not
// reach it replies at once.
constexpr int kMaxCannotServeAnswers = 4;
// A home that reported that it does not reach the primary of a group is asked again after this
// time, which is about as long as a probe of the primary takes.
constexpr Millis kCannotServeRetryDelay{300};
// Consecutive failures after which a peer counts as silent: with the pings that follow the first
// failure, 0.75 s to 1.5 s.
constexpr int kSilentAfterFailures = 3;
// VMs pinged at the same time in the search for replacements of silent homes, and the time that one
// search may take. With ten rows of VMs that are gone for each that answers, the search takes some
// seconds.
constexpr std::size_t kReplacementsPinged = 16;
constexpr Millis kReplacementSearchTime{10'000};
constexpr Millis kReplacementSearchPause{100};
// A VM that answered this recently is not pinged in that search.
constexpr Millis kRecentResponse{3000};
constexpr int kOk = 200;

// One outstanding request; it outlives a caller that stops waiting for it.
struct Exchange {
  std::optional<Outcome<HttpResponse>> answer;
  Notifier changed;
};

}  // namespace

HomeClient::PeerPtr HomeClient::PeerOf(const VmEntry& vm) {
  auto& peer = m_peers[vm.id.value()];
  if (!peer || peer->address != vm.peer_address) {
    const auto address = Address::Parse(vm.peer_address);
    if (!address) {
      return nullptr;
    }
    peer = std::make_shared<Peer>();
    peer->vm = vm.id.value();
    peer->address = vm.peer_address;
    peer->pool = std::make_shared<ConnectionPool>(m_context.io, *address, kConnectionsPerPeer);
  }
  return peer;
}

void HomeClient::OnResponse(Peer& peer) {
  peer.last_response_at = Clock::now();
  const bool was_silent = std::exchange(peer.failures, 0) >= kSilentAfterFailures;
  if (!peer.alive) {
    peer.alive = true;
    m_context.events.Emit(EventCode::kPeerReachable, {.detail = peer.vm});
  }
  if (was_silent && m_on_silence) {
    m_on_silence(peer.vm, false);
  }
}

void HomeClient::OnFailure(const PeerPtr& peer, const std::string& reason) {
  if (!peer->alive && Clock::now() < peer->backoff_until) {
    // Many requests may fail at the same moment, for example after a suspension of this process.
    // They count once.
    return;
  }
  const auto pause = kBackoffBase * (1 << std::min(peer->failures, kMaxBackoffDoublings));
  ++peer->failures;
  peer->backoff_until = Clock::now() + pause;
  if (peer->alive) {
    peer->alive = false;
    m_context.events.Emit(
        EventCode::kPeerUnreachable,
        {.detail = fmt::format("{}: {}; avoided for {} ms", peer->vm, reason, pause.count())});
  }
  if (peer->failures >= kSilentAfterFailures && m_on_silence) {
    m_on_silence(peer->vm, true);
  }
  StartRecovery(peer);
}

void HomeClient::StartRecovery(const PeerPtr& peer) {
  if (!peer->recovering && m_fleet.Find(peer->vm) != nullptr) {
    peer->recovering = true;
    Spawn(m_context.io, [this, peer]() -> asio::awaitable<void> { co_await Recover(peer); });
  }
}

bool HomeClient::IsAvoided(const PeerPtr& peer) {
  if (!peer->alive) {
    // Its recovery ended if it was not listed for a while.
    StartRecovery(peer);
  }
  return !peer->alive || Clock::now() < peer->backoff_until;
}

asio::awaitable<void> HomeClient::Recover(PeerPtr peer) {
  while (!peer->alive && m_fleet.Find(peer->vm) != nullptr && m_peers[peer->vm] == peer) {
    if (Clock::now() < peer->backoff_until) {
      co_await Sleep(peer->backoff_until - Clock::now());
    } else {
      co_await Ping(peer);
    }
  }
  peer->recovering = false;
}

asio::awaitable<void> HomeClient::SearchReplacements(GroupId group, std::size_t max_connections) {
  const auto until = Clock::now() + kReplacementSearchTime;
  while (Clock::now() < until) {
    auto vms = m_fleet.ReplacementsFor(group, max_connections);
    vms.resize(std::min(vms.size(), kReplacementsPinged));
    bool unknown = false;
    for (const auto& vm : vms) {
      const auto peer = vm.id == m_fleet.self().id ? nullptr : PeerOf(vm);
      if (!peer || (peer->alive && Clock::now() - peer->last_response_at < kRecentResponse)) {
        continue;
      }
      unknown = true;
      if (peer->alive && !peer->pinging) {
        Spawn(m_context.io, [this, peer]() -> asio::awaitable<void> { co_await Ping(peer); });
      }
    }
    if (!unknown) {
      break;
    }
    co_await Sleep(kReplacementSearchPause);
  }
  m_searching.erase(group);
}

HomeClient::Candidate HomeClient::Choose(const GroupId& group,
                                         std::size_t max_connections,
                                         const std::vector<std::string>& tried) {
  const auto now = Clock::now();
  const VmEntry* cannot_serve = nullptr;
  const VmEntry* in_backoff = nullptr;
  for (const auto& home : m_fleet.HomesOf(group, max_connections)) {
    const bool was_tried = std::find(tried.begin(), tried.end(), home.id.value()) != tried.end();
    const auto peer = was_tried || home.id == m_fleet.self().id ? nullptr : PeerOf(home);
    if (!peer) {
      continue;
    }
    const auto cannot_serve_entry = peer->cannot_serve_until.find(group);
    const bool home_cannot_serve =
        cannot_serve_entry != peer->cannot_serve_until.end() && now < cannot_serve_entry->second;
    // A peer that failed gets no statement until it has answered a ping, see Recover.
    const bool avoided = IsAvoided(peer);
    if (!avoided && !home_cannot_serve) {
      return {&home, false, false};
    }
    auto& fallback = avoided ? in_backoff : cannot_serve;
    fallback = fallback == nullptr ? &home : fallback;
  }
  if (cannot_serve != nullptr) {
    return {cannot_serve, true, false};
  }
  return {in_backoff, false, true};
}

bool HomeClient::IsInBackoff(const VmEntry& vm) {
  const auto peer = PeerOf(vm);
  return !peer || IsAvoided(peer);
}

asio::awaitable<Outcome<HttpResponse>> HomeClient::Send(const VmEntry& vm,
                                                        HttpRequest request,
                                                        TimePoint deadline) {
  const auto peer = PeerOf(vm);
  if (!peer) {
    co_return Error{ResultCode::kTransport, "no usable address", Ran::kNo};
  }
  auto lease = co_await peer->pool->Acquire(std::min(deadline, Clock::now() + kConnectTimeout));
  if (!lease) {
    OnFailure(peer, lease.error().detail);
    co_return lease.error();
  }
  auto answer = co_await lease->connection().Send(std::move(request), deadline);
  if (answer) {
    OnResponse(*peer);
  } else {
    OnFailure(peer, answer.error().detail);
  }
  co_return answer;
}

asio::awaitable<bool> HomeClient::Ping(PeerPtr peer) {
  const auto deadline = Clock::now() + kPingTimeout;
  if (peer->pinging) {
    const std::function<bool()> done = [peer] { return !peer->pinging; };
    co_await peer->ping_done.WaitUntil(done, deadline);
    co_return peer->alive;
  }
  peer->pinging = true;
  HttpConnection connection(m_context.io, peer->pool->peer());
  bool answered = false;
  const auto connected = co_await connection.Connect(deadline);
  if (connected) {
    HttpRequest request;
    request.target = kPeerPingPath;
    const auto answer = co_await connection.Send(std::move(request), deadline);
    answered = answer.has_value();
  }
  if (answered) {
    OnResponse(*peer);
  } else {
    OnFailure(peer, "no answer to a ping");
  }
  peer->pinging = false;
  peer->ping_done.NotifyAll();
  co_return answered;
}

asio::awaitable<ForwardResult> HomeClient::ForwardToHome(std::string home_id,
                                                         PeerStatement message,
                                                         const ForwardTimes& times,
                                                         bool may_abandon) {
  ForwardResult result;
  result.home = home_id;
  const auto* vm = m_fleet.Find(home_id);
  const auto cached_peer = m_peers.find(home_id);
  const auto peer = vm != nullptr                  ? PeerOf(*vm)
                    : cached_peer != m_peers.end() ? cached_peer->second
                                                   : nullptr;
  if (!peer) {
    result.reason = "no such proxy";
    co_return result;
  }
  const auto connect_by = std::min(times.deadline, Clock::now() + kConnectTimeout);
  auto lease = co_await peer->pool->Acquire(connect_by);
  if (!lease) {
    result.reason = lease.error().detail;
    if (lease.error().code != ResultCode::kOverloaded) {
      OnFailure(peer, result.reason);
    }
    co_return result;
  }
  const auto now = Clock::now();
  message.from = m_fleet.self().id.value();
  message.age_us =
      std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - times.first_byte_at)
          .count();
  message.spent_ms = ToMillis(now - times.received).count();
  message.left_ms = ToMillis(times.deadline - now - kReplyTransitTime).count();
  if (message.left_ms <= 0) {
    result.reason = "no time is left";
    co_return result;
  }
  HttpRequest request;
  request.method = "POST";
  request.target = kPeerStatementPath;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = EncodeJson(message);
  const auto exchange = std::make_shared<Exchange>();
  Spawn(m_context.io,
        [exchange, request = std::move(request), deadline = times.deadline,
         lease = std::make_shared<ConnectionPool::Lease>(
             std::move(*lease))]() mutable -> asio::awaitable<void> {
          auto answer = co_await lease->connection().Send(std::move(request), deadline);
          lease.reset();
          exchange->answer = std::move(answer);
          exchange->changed.NotifyAll();
        });
  const std::function<bool()> answered = [exchange] { return exchange->answer.has_value(); };
  while (!exchange->answer) {
    const auto until = std::min(times.deadline, Clock::now() + kPingAfterNoResponse);
    const bool done = co_await exchange->changed.WaitUntil(answered, until);
    if (done) {
      break;
    }
    const auto checked_at = Clock::now();
    if (checked_at >= times.deadline) {
      break;
    }
    if (checked_at - peer->last_response_at > kPingAfterNoResponse) {
      const bool alive = co_await Ping(peer);
      if (!alive && may_abandon && !exchange->answer) {
        result.status = ForwardResult::Status::kUnknown;
        result.reason = "the home fell silent";
        co_return result;
      }
    }
  }
  if (!exchange->answer || !*exchange->answer) {
    result.status = ForwardResult::Status::kUnknown;
    result.reason = exchange->answer ? exchange->answer->error().detail : "no answer in time";
    if (exchange->answer && Clock::now() < times.deadline) {
      OnFailure(peer, result.reason);
    }
    co_return result;
  }
  const auto& response = **exchange->answer;
  OnResponse(*peer);
  auto reply = response.status == kOk ? DecodeReply(response.body)
                                      : Outcome<PeerReply>(Error{ResultCode::kBadAnswer, "", {}});
  if (!reply) {
    result.status = ForwardResult::Status::kUnknown;
    result.reason = fmt::format("status {}", response.status);
    co_return result;
  }
  result.reply = std::move(*reply);
  if (!result.reply.taken && result.reply.elsewhere) {
    peer->cannot_serve_until[GroupId(message.group)] = Clock::now() + kCannotServeRetryDelay;
    result.cannot_serve = true;
    result.reason = result.reply.error_text;
    co_return result;
  }
  if (!result.reply.taken) {
    peer->backoff_until = Clock::now() + kNotTakenBackoff;
    result.reason = result.reply.error_text;
    co_return result;
  }
  result.status = ForwardResult::Status::kAnswered;
  co_return result;
}

asio::awaitable<ForwardResult> HomeClient::Forward(GroupId group,
                                                   std::size_t max_connections,
                                                   PeerStatement message,
                                                   const ForwardTimes& times,
                                                   const ForwardOptions& options) {
  ForwardResult result;
  result.reason = "no home is known";
  if (m_fleet.AreHomesReplaced(group, max_connections) && m_searching.insert(group).second) {
    Spawn(m_context.io, [this, group, max_connections]() -> asio::awaitable<void> {
      co_await SearchReplacements(group, max_connections);
    });
  }
  std::vector<std::string> tried;
  int attempts = 0;
  int cannot_serve_answers = 0;
  while (attempts < kMaxForwardAttempts && cannot_serve_answers < kMaxCannotServeAnswers &&
         Clock::now() < times.deadline) {
    const auto candidate = Choose(group, max_connections, tried);
    result.cannot_serve = result.cannot_serve || candidate.cannot_serve;
    const bool no_usable_candidate =
        candidate.cannot_serve || (candidate.in_backoff && !options.may_wait);
    if (candidate.vm == nullptr || no_usable_candidate) {
      break;
    }
    tried.push_back(candidate.vm->id.value());
    message.may_wait = false;
    result = co_await ForwardToHome(tried.back(), message, times, options.may_repeat);
    if (result.cannot_serve) {
      ++cannot_serve_answers;
      continue;
    }
    ++attempts;
    const bool try_next_home =
        result.status == ForwardResult::Status::kNotRun ||
        (result.status == ForwardResult::Status::kUnknown && options.may_repeat);
    if (!try_next_home) {
      co_return result;
    }
  }
  if (!result.cannot_serve || !options.may_wait) {
    co_return result;
  }
  // No home reaches the primary, so one of them is asked to wait for it.
  tried.clear();
  const auto candidate = Choose(group, max_connections, tried);
  if (candidate.vm == nullptr || Clock::now() >= times.deadline) {
    co_return result;
  }
  message.may_wait = true;
  co_return co_await ForwardToHome(candidate.vm->id.value(), message, times, options.may_repeat);
}

}  // namespace cardamom
