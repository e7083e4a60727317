#include "fleet/hold_peers.h"

#include <algorithm>
#include <utility>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kHoldTimeout{250};
constexpr Millis kReleaseTimeout{400};
constexpr Millis kReleasePause{100};
constexpr Millis kReleaseRetryTime{2000};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

HttpRequest Post(const char* target, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  return request;
}

Error NoReply() {
  return {ResultCode::kBadAnswer, "no reply", Ran::kUnknown};
}

}  // namespace

asio::awaitable<void> HoldPeers::AskOne(VmEntry vm,
                                        PeerHold message,
                                        TimePoint deadline,
                                        std::shared_ptr<Survey> survey) {
  auto request = Post(kPeerHoldPath, EncodeJson(message));
  const auto answer = co_await m_peers.Send(vm, std::move(request), deadline);
  auto& report = survey->report;
  const auto reply = answer && answer->status == kOk ? DecodeJson<PeerHoldReply>(answer->body)
                                                     : Outcome<PeerHoldReply>(NoReply());
  if (reply) {
    ++report.answered;
    report.refused = report.refused || !reply->held;
    if (!reply->held) {
      report.refused_by.push_back(vm.id.value());
    }
    // The proxy may have missed a promotion that lost what it has passed on.
    const auto& hold = m_context.acknowledgements.Of(GroupId(message.group)).hold();
    report.passed_on = std::max(report.passed_on, hold.StandingPart(reply->passed_on));
    report.log_end = std::max(report.log_end, hold.StandingPart(reply->log_end));
  }
  // Where the connection is refused, no process runs that could pass anything on.
  const bool is_refused = !answer && answer.error().code == ResultCode::kConnectionRefused;
  if (is_refused) {
    report.not_running.push_back(vm.id.value());
  }
  if (reply || is_refused) {
    std::erase(report.silent, vm.id.value());
  }
  survey->awaited.erase(vm.id);
  survey->changed.NotifyAll();
}

asio::awaitable<HoldReport> HoldPeers::Hold(GroupId group, std::uint64_t token) {
  auto& gate = m_context.acknowledgements.Of(group);
  const auto survey = std::make_shared<Survey>();
  survey->report.answered = 1;
  survey->report.asked_at = survey->report.complete_at = Clock::now();
  survey->report.refused = !gate.Hold(token);
  survey->report.passed_on = gate.hold().passed_on();
  survey->report.log_end = gate.hold().log_end();
  if (survey->report.refused) {
    survey->report.refused_by.push_back(m_fleet.self().id.value());
    co_return survey->report;
  }
  const auto deadline = Clock::now() + kHoldTimeout;
  for (const auto& vm : OtherVms()) {
    survey->report.silent.push_back(vm.id.value());
    if (!m_fleet.IsSilent(vm.id.value())) {
      survey->awaited.insert(vm.id);
    }
    const PeerHold message{group.value(), token};
    Spawn(m_context.io, [this, vm, message, deadline, survey]() -> asio::awaitable<void> {
      co_await AskOne(vm, message, deadline, survey);
    });
  }
  const std::function<bool()> done = [survey] { return survey->awaited.empty(); };
  co_await survey->changed.WaitUntil(done, deadline);
  survey->report.complete_at = Clock::now();
  co_return survey->report;
}

asio::awaitable<void> HoldPeers::PingOne(VmEntry vm,
                                         TimePoint deadline,
                                         std::shared_ptr<Survey> survey) {
  HttpRequest request;
  request.target = kPeerPingPath;
  const auto answer = co_await m_peers.Send(vm, std::move(request), deadline);
  if (answer || answer.error().code == ResultCode::kConnectionRefused) {
    std::erase(survey->report.silent, vm.id.value());
  }
  survey->awaited.erase(vm.id);
  survey->changed.NotifyAll();
}

asio::awaitable<std::vector<std::string>> HoldPeers::FindUnreached() {
  const auto survey = std::make_shared<Survey>();
  const auto deadline = Clock::now() + kHoldTimeout;
  for (const auto& vm : OtherVms()) {
    survey->report.silent.push_back(vm.id.value());
    survey->awaited.insert(vm.id);
    Spawn(m_context.io, [this, vm, deadline, survey]() -> asio::awaitable<void> {
      co_await PingOne(vm, deadline, survey);
    });
  }
  const std::function<bool()> done = [survey] { return survey->awaited.empty(); };
  co_await survey->changed.WaitUntil(done, deadline);
  co_return survey->report.silent;
}

asio::awaitable<void> HoldPeers::TellOne(VmEntry vm, PeerRelease message) {
  const auto give_up_at = Clock::now() + kReleaseRetryTime;
  while (Clock::now() < give_up_at) {
    auto request = Post(kPeerReleasePath, EncodeJson(message));
    const auto answer =
        co_await m_peers.Send(vm, std::move(request), Clock::now() + kReleaseTimeout);
    // A proxy of an earlier version answers kNotFound.
    const bool told = answer && (answer->status == kOk || answer->status == kNotFound);
    if (told || (!answer && answer.error().code == ResultCode::kConnectionRefused)) {
      co_return;
    }
    co_await Sleep(kReleasePause);
  }
}

void HoldPeers::Release(const GroupId& group, const HoldRelease& release) {
  m_context.acknowledgements.Of(group).Release(release);
  const PeerRelease message{group.value(), release.token, release.term, release.base};
  for (const auto& vm : OtherVms()) {
    Spawn(m_context.io,
          [this, vm, message]() -> asio::awaitable<void> { co_await TellOne(vm, message); });
  }
}

asio::awaitable<HttpResponse> HoldPeers::Handle(HttpRequest request) {
  HttpResponse response;
  if (request.target == kPeerHoldPath) {
    const auto message = DecodeJson<PeerHold>(request.body);
    if (message) {
      auto& gate = m_context.acknowledgements.Of(GroupId(message->group));
      const bool held = gate.Hold(message->token);
      response.body =
          EncodeJson(PeerHoldReply{held, gate.hold().passed_on(), gate.hold().log_end()});
      co_return response;
    }
  } else {
    const auto message = DecodeJson<PeerRelease>(request.body);
    if (message) {
      m_context.acknowledgements.Of(GroupId(message->group))
          .Release({message->token, message->term, message->base});
      co_return response;
    }
  }
  response.status = kBadRequest;
  co_return response;
}

std::vector<VmEntry> HoldPeers::OtherVms() const {
  auto vms = m_fleet.RunningVms();
  std::erase_if(vms, [this](const VmEntry& vm) { return vm.id == m_fleet.self().id; });
  return vms;
}

}  // namespace cardamom
