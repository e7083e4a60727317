#include "fleet/member_cleanup.h"

#include <memory>
#include <random>
#include <utility>

#include <fmt/format.h>

#include "async/notifier.h"
#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kTick{1000};
// Added at random to the time between two rounds, so that the VMs do not ping at the same time.
constexpr Millis kRoundJitter{500};
// A busy VM with a small share of a processor may need this long.
constexpr Millis kPingTimeout{1000};
// Includes the ping of the witness.
constexpr Millis kWitnessTimeout{1500};
constexpr Millis kWriteTimeout{1000};
// Pings for other proxies at the same time; a request beyond it is answered as unknown.
constexpr std::size_t kMaxPingsForPeers = 8;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

// Waits for coroutines that run at the same time.
struct Group {
  std::size_t outstanding = 0;
  Notifier changed;
};

asio::awaitable<void> WaitForAll(std::shared_ptr<Group> group) {
  const std::function<bool()> done = [group] { return group->outstanding == 0; };
  // Each part ends at its own deadline.
  co_await group->changed.WaitUntil(done, Clock::now() + 2 * kWitnessTimeout);
}

}  // namespace

MemberCleanup::MemberCleanup(GatewayContext& context,
                             TablePort table,
                             Fleet& fleet,
                             HomeClient& peers,
                             std::function<bool()> store_answers)
    : m_context(context),
      m_table(std::move(table)),
      m_fleet(fleet),
      m_peers(peers),
      m_store_answers(std::move(store_answers)),
      m_removal(fleet.self()) {}

void MemberCleanup::Start() {
  Spawn(m_context.io, [this]() -> asio::awaitable<void> { co_await Run(); });
}

std::vector<MemberRow> MemberCleanup::Rows() const {
  std::vector<MemberRow> rows;
  for (const auto& [key, row] : m_fleet.follower().rows()) {
    const auto entry = DecodeJson<VmEntry>(row.value);
    // Without an address nothing shows that a VM is gone, and a row of another key than its id was
    // written by something else.
    if (entry && entry->id.value() == key && Address::Parse(entry->peer_address)) {
      rows.push_back({*entry, row.version});
    }
  }
  return rows;
}

void MemberCleanup::ObserveStore() {
  const bool answers =
      m_fleet.follower().IsUpToDate() && m_store_answers() && !std::exchange(m_write_failed, false);
  m_removal.OnStore(answers, m_fleet.follower().position().era, BootClock::now());
}

asio::awaitable<void> MemberCleanup::Run() {
  std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<std::int64_t> jitter(0, kRoundJitter.count());
  const RowRemovalPolicy policy;
  auto next_round = Clock::now() + policy.round_interval;
  while (!m_stopped) {
    co_await Sleep(kTick);
    if (!m_fleet.IsSettled() || m_stopped) {
      continue;
    }
    ObserveStore();
    if (Clock::now() < next_round) {
      continue;
    }
    next_round = Clock::now() + policy.round_interval + Millis(jitter(random));
    if (m_rows_position != m_fleet.follower().position()) {
      m_rows_position = m_fleet.follower().position();
      m_removal.SetRows(Rows());
    }
    co_await PingRound();
    ObserveStore();
    auto candidate = m_removal.NextCandidate(BootClock::now());
    if (candidate && !m_stopped) {
      co_await TryRemove(std::move(*candidate));
    }
  }
}

asio::awaitable<bool> MemberCleanup::Ping(std::string address) {
  const auto deadline = Clock::now() + kPingTimeout;
  HttpConnection connection(m_context.io, *Address::Parse(address));
  const auto connected = co_await connection.Connect(deadline);
  if (!connected) {
    co_return false;
  }
  HttpRequest request;
  request.target = kPeerPingPath;
  const auto answer = co_await connection.Send(std::move(request), deadline);
  co_return answer.has_value();
}

asio::awaitable<void> MemberCleanup::PingRound() {
  m_removal.BeginRound(BootClock::now());
  for (;;) {
    const auto vms = m_removal.NextPings(BootClock::now());
    if (vms.empty()) {
      co_return;
    }
    const auto group = std::make_shared<Group>();
    group->outstanding = vms.size();
    for (const auto& vm : vms) {
      Spawn(m_context.io, [this, vm, group]() -> asio::awaitable<void> {
        const bool answered = co_await Ping(vm.peer_address);
        m_removal.OnPing(vm.id, answered, BootClock::now());
        --group->outstanding;
        group->changed.NotifyAll();
      });
    }
    co_await WaitForAll(group);
  }
}

asio::awaitable<RowRemoval::WitnessAnswer> MemberCleanup::AskWitness(VmEntry witness,
                                                                     std::string vm) {
  HttpRequest request;
  request.method = "POST";
  request.target = kPeerMemberPath;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = EncodeJson(PeerMemberRequest{std::move(vm)});
  const auto response =
      co_await m_peers.Send(witness, std::move(request), Clock::now() + kWitnessTimeout);
  if (!response || response->status != kOk) {
    co_return RowRemoval::WitnessAnswer::kUnknown;
  }
  const auto reply = DecodeJson<PeerMemberReply>(response->body);
  if (!reply || !reply->known) {
    co_return RowRemoval::WitnessAnswer::kUnknown;
  }
  co_return reply->answers ? RowRemoval::WitnessAnswer::kAnswers
                           : RowRemoval::WitnessAnswer::kNoAnswer;
}

asio::awaitable<void> MemberCleanup::TryRemove(RowRemoval::Candidate candidate) {
  const auto group = std::make_shared<Group>();
  const auto answers = std::make_shared<std::vector<RowRemoval::WitnessAnswer>>(
      candidate.witnesses.size(), RowRemoval::WitnessAnswer::kUnknown);
  group->outstanding = candidate.witnesses.size();
  for (std::size_t i = 0; i < candidate.witnesses.size(); ++i) {
    Spawn(m_context.io,
          [this, i, group, answers, witness = candidate.witnesses[i],
           vm = candidate.vm]() -> asio::awaitable<void> {
            const auto answer = co_await AskWitness(witness, vm);
            (*answers)[i] = answer;
            --group->outstanding;
            group->changed.NotifyAll();
          });
  }
  co_await WaitForAll(group);
  ObserveStore();
  if (!m_removal.MayRemove(candidate, *answers, BootClock::now())) {
    co_return;
  }
  TableWrite write{Fleet::kTableName, candidate.vm, candidate.version, std::nullopt};
  const auto written = co_await m_table.write(std::move(write), Clock::now() + kWriteTimeout);
  m_write_failed = !written;
  if (written && written->applied && written->era == candidate.era) {
    m_context.events.Emit(
        EventCode::kMemberRemoved,
        {.detail = fmt::format("{}, row version {}", candidate.vm, candidate.version.value())});
  }
}

asio::awaitable<HttpResponse> MemberCleanup::Answer(std::string body) {
  HttpResponse response;
  const auto request = DecodeJson<PeerMemberRequest>(body);
  if (!request) {
    response.status = kBadRequest;
    response.body = request.error().detail;
    co_return response;
  }
  PeerMemberReply reply;
  const auto row = m_fleet.follower().rows().find(request->vm);
  const auto entry = row == m_fleet.follower().rows().end()
                         ? Outcome<VmEntry>(Error{ResultCode::kBadField, "", {}})
                         : DecodeJson<VmEntry>(row->second.value);
  if (entry && Address::Parse(entry->peer_address) && m_pings_for_peers < kMaxPingsForPeers) {
    ++m_pings_for_peers;
    reply.answers = co_await Ping(entry->peer_address);
    reply.known = true;
    --m_pings_for_peers;
  }
  response.body = EncodeJson(reply);
  co_return response;
}

}  // namespace cardamom
