#include "fleet/home_client.h"

#include <algorithm>

#include <fmt/format.h>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr std::size_t kConnectionsPerPeer = 64;
// A healthy peer accepts a connection within one round trip.
constexpr Millis kConnectTimeout{300};
// A home that has not responded for this long is pinged.
constexpr Millis kAskAfter{250};
constexpr Millis kPingTimeout{250};
constexpr Millis kAvoidBase{250};
constexpr int kMostDoublings = 3;
// Back-off for a home that currently accepts no statements, for example because it is stopping.
constexpr Millis kAvoidUnready{500};
// Part of a statement's remaining time that is reserved for its reply to travel back.
constexpr Millis kReturnTime{20};
constexpr int kMostHomes = 3;
// Maximum number of homes asked in search of one that reaches the primary; a home that does not
// reach it replies at once.
constexpr int kMostElsewhere = 4;
// A home that reported that it does not reach the primary of a group is asked again after this
// time, which is about as long as a probe of the primary takes.
constexpr Millis kLackingMemory{300};
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

void HomeClient::OnHeard(Peer& peer) {
  peer.last_heard = Clock::now();
  peer.failures = 0;
  if (!peer.alive) {
    peer.alive = true;
    m_context.events.Emit(EventCode::kPeerReachable, {.detail = peer.vm});
  }
}

void HomeClient::OnFailure(Peer& peer, const std::string& reason) {
  const auto pause = kAvoidBase * (1 << std::min(peer.failures, kMostDoublings));
  ++peer.failures;
  peer.avoided_until = Clock::now() + pause;
  if (peer.alive) {
    peer.alive = false;
    m_context.events.Emit(
        EventCode::kPeerUnreachable,
        {.detail = fmt::format("{}: {}; avoided for {} ms", peer.vm, reason, pause.count())});
  }
}

HomeClient::Candidate HomeClient::Choose(const GroupId& group,
                                         std::size_t max_connections,
                                         const std::vector<std::string>& tried) {
  const auto now = Clock::now();
  const VmEntry* lacking = nullptr;
  const VmEntry* avoided = nullptr;
  for (const auto& home : m_fleet.HomesOf(group, max_connections)) {
    const bool was_tried = std::find(tried.begin(), tried.end(), home.id.value()) != tried.end();
    const auto peer = was_tried || home.id == m_fleet.self().id ? nullptr : PeerOf(home);
    if (!peer) {
      continue;
    }
    const auto lacks = peer->lacking_until.find(group);
    const bool is_lacking = lacks != peer->lacking_until.end() && now < lacks->second;
    if (now >= peer->avoided_until && !is_lacking) {
      return {&home, false, false};
    }
    auto& place = now < peer->avoided_until ? avoided : lacking;
    place = place == nullptr ? &home : place;
  }
  if (lacking != nullptr) {
    return {lacking, true, false};
  }
  return {avoided, false, true};
}

bool HomeClient::IsAvoided(const VmEntry& vm) {
  const auto peer = PeerOf(vm);
  return !peer || Clock::now() < peer->avoided_until;
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
    OnFailure(*peer, lease.error().detail);
    co_return lease.error();
  }
  auto answer = co_await lease->connection().Send(std::move(request), deadline);
  if (answer) {
    OnHeard(*peer);
  } else {
    OnFailure(*peer, answer.error().detail);
  }
  co_return answer;
}

asio::awaitable<bool> HomeClient::Ping(PeerPtr peer) {
  const auto deadline = Clock::now() + kPingTimeout;
  if (peer->pinging) {
    const std::function<bool()> done = [peer] { return !peer->pinging; };
    co_await peer->pinged.WaitUntil(done, deadline);
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
    OnHeard(*peer);
  } else {
    OnFailure(*peer, "no answer to a ping");
  }
  peer->pinging = false;
  peer->pinged.NotifyAll();
  co_return answered;
}

asio::awaitable<ForwardResult> HomeClient::CallHome(std::string home,
                                                    PeerStatement message,
                                                    const ForwardTimes& times,
                                                    bool may_abandon) {
  ForwardResult result;
  result.home = home;
  const auto* vm = m_fleet.Find(home);
  const auto known = m_peers.find(home);
  const auto peer = vm != nullptr ? PeerOf(*vm) : known != m_peers.end() ? known->second : nullptr;
  if (!peer) {
    result.reason = "no such proxy";
    co_return result;
  }
  const auto connect_by = std::min(times.deadline, Clock::now() + kConnectTimeout);
  auto lease = co_await peer->pool->Acquire(connect_by);
  if (!lease) {
    result.reason = lease.error().detail;
    if (lease.error().code != ResultCode::kOverloaded) {
      OnFailure(*peer, result.reason);
    }
    co_return result;
  }
  const auto now = Clock::now();
  message.from = m_fleet.self().id.value();
  message.age_us =
      std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - times.first_byte)
          .count();
  message.spent_ms = ToMillis(now - times.received).count();
  message.left_ms = ToMillis(times.deadline - now - kReturnTime).count();
  if (message.left_ms <= 0) {
    result.reason = "no time is left";
    co_return result;
  }
  HttpRequest request;
  request.method = "POST";
  request.target = kPeerStatementPath;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = Encode(message);
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
    const auto until = std::min(times.deadline, Clock::now() + kAskAfter);
    const bool done = co_await exchange->changed.WaitUntil(answered, until);
    if (done) {
      break;
    }
    const auto asked = Clock::now();
    if (asked >= times.deadline) {
      break;
    }
    if (asked - peer->last_heard > kAskAfter) {
      const bool alive = co_await Ping(peer);
      if (!alive && may_abandon && !exchange->answer) {
        result.end = ForwardResult::End::kUnknown;
        result.reason = "the home fell silent";
        co_return result;
      }
    }
  }
  if (!exchange->answer || !*exchange->answer) {
    result.end = ForwardResult::End::kUnknown;
    result.reason = exchange->answer ? exchange->answer->error().detail : "no answer in time";
    if (exchange->answer && Clock::now() < times.deadline) {
      OnFailure(*peer, result.reason);
    }
    co_return result;
  }
  const auto& response = **exchange->answer;
  OnHeard(*peer);
  auto reply = response.status == kOk ? Decode<PeerReply>(response.body)
                                      : Outcome<PeerReply>(Error{ResultCode::kBadAnswer, "", {}});
  if (!reply) {
    result.end = ForwardResult::End::kUnknown;
    result.reason = fmt::format("status {}", response.status);
    co_return result;
  }
  result.reply = std::move(*reply);
  if (!result.reply.taken && result.reply.elsewhere) {
    peer->lacking_until[GroupId(message.group)] = Clock::now() + kLackingMemory;
    result.elsewhere = true;
    result.reason = result.reply.error_text;
    co_return result;
  }
  if (!result.reply.taken) {
    peer->avoided_until = Clock::now() + kAvoidUnready;
    result.reason = result.reply.error_text;
    co_return result;
  }
  result.end = ForwardResult::End::kAnswered;
  co_return result;
}

asio::awaitable<ForwardResult> HomeClient::Call(GroupId group,
                                                std::size_t max_connections,
                                                PeerStatement message,
                                                const ForwardTimes& times,
                                                const ForwardOptions& options) {
  ForwardResult result;
  result.reason = "no home is known";
  std::vector<std::string> tried;
  int homes = 0;
  int elsewhere = 0;
  while (homes < kMostHomes && elsewhere < kMostElsewhere && Clock::now() < times.deadline) {
    const auto candidate = Choose(group, max_connections, tried);
    result.elsewhere = result.elsewhere || candidate.lacking;
    const bool hopeless = candidate.lacking || (candidate.avoided && !options.may_wait);
    if (candidate.vm == nullptr || hopeless) {
      break;
    }
    tried.push_back(candidate.vm->id.value());
    message.may_wait = false;
    result = co_await CallHome(tried.back(), message, times, options.may_repeat);
    if (result.elsewhere) {
      ++elsewhere;
      continue;
    }
    ++homes;
    const bool again = result.end == ForwardResult::End::kNotRun ||
                       (result.end == ForwardResult::End::kUnknown && options.may_repeat);
    if (!again) {
      co_return result;
    }
  }
  if (!result.elsewhere || !options.may_wait) {
    co_return result;
  }
  // No home reaches the primary, so one of them is asked to wait for it.
  tried.clear();
  const auto candidate = Choose(group, max_connections, tried);
  if (candidate.vm == nullptr || Clock::now() >= times.deadline) {
    co_return result;
  }
  message.may_wait = true;
  co_return co_await CallHome(candidate.vm->id.value(), message, times, options.may_repeat);
}

}  // namespace cardamom
