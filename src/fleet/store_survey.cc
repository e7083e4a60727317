#include "fleet/store_survey.h"

#include <algorithm>
#include <memory>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr Millis kAnswerTimeout{200};
// Enough that, if the store answers half of the proxies, almost certainly one of those asked
// reports it.
constexpr std::size_t kMaxPeersAsked = 11;
constexpr int kOk = 200;

struct Survey {
  std::vector<StoreReport> answers;
  std::size_t outstanding = 0;
  Notifier changed;
};

asio::awaitable<StoreReport> AskOne(HomeClient& peers, VmEntry vm, TimePoint deadline) {
  HttpRequest request;
  request.target = kPeerStorePath;
  const auto response = co_await peers.Send(vm, std::move(request), deadline);
  if (!response || response->status != kOk) {
    co_return StoreReport::kNoAnswer;
  }
  const auto reply = DecodeJson<PeerStoreReply>(response->body);
  co_return !reply ? StoreReport::kNoAnswer
  : reply->in_step ? StoreReport::kUpToDate
                   : StoreReport::kUnavailable;
}

}  // namespace

asio::awaitable<std::vector<StoreReport>> AskAboutStore(GatewayContext& context,
                                                        HomeClient& peers,
                                                        std::vector<VmEntry> homes,
                                                        VmId self) {
  std::erase_if(homes, [&](const VmEntry& vm) { return vm.id == self; });
  homes.resize(std::min(homes.size(), kMaxPeersAsked));
  const auto survey = std::make_shared<Survey>();
  survey->outstanding = homes.size();
  const auto deadline = Clock::now() + kAnswerTimeout;
  for (const auto& vm : homes) {
    Spawn(context.io, [&peers, vm, deadline, survey]() -> asio::awaitable<void> {
      const auto answer = co_await AskOne(peers, vm, deadline);
      survey->answers.push_back(answer);
      --survey->outstanding;
      survey->changed.NotifyAll();
    });
  }
  const std::function<bool()> done = [survey] { return survey->outstanding == 0; };
  co_await survey->changed.WaitUntil(done, deadline + Millis(50));
  auto answers = survey->answers;
  answers.resize(homes.size(), StoreReport::kNoAnswer);
  co_return answers;
}

}  // namespace cardamom
