// Tests of a fleet whose table of members holds rows of VMs that are gone.
#include <gtest/gtest.h>

#include "fleet/member_cleanup.h"
#include "fleet_fakes.h"
#include "membership/rendezvous.h"

namespace cardamom::testing {
namespace {

// Adds rows of VMs that are gone until all homes of the group are among them.
std::size_t AddGoneRows(FakeFleet& fleet, std::size_t homes) {
  std::vector<VmEntry> vms;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    vms.push_back(*DecodeJson<VmEntry>(fleet.table.Get("members", fleet.vm(i).settings.vm_id)));
  }
  const auto all_gone = [&] {
    const auto chosen = ChooseHomes(vms, "home/orders", homes);
    return std::all_of(chosen.begin(), chosen.end(),
                       [](const VmEntry& vm) { return vm.id.value().starts_with("gone"); });
  };
  std::size_t added = 0;
  while (added < 30 || !all_gone()) {
    VmEntry gone;
    gone.id = VmId("gone-" + std::to_string(added));
    gone.domain = FailureDomain("domain-" + std::to_string(added % 2));
    // Nothing listens on this port.
    gone.peer_address = "127.0.0.1:1";
    fleet.table.Put("members", gone.id.value(), EncodeJson(gone));
    vms.push_back(gone);
    ++added;
  }
  return added;
}

// Guards against the refusal of every request because all homes of the group are rows of VMs that
// are gone (review, RECOVER). The target is 15 s.
TEST(GoneMembersTest, RequestsAreServedThoughAllHomesAreGone) {
  FakeFleet fleet(4, 2, 1);
  AddGoneRows(fleet, 2);
  const auto end = Clock::now() + Millis(15'000);
  fleet.RunUntil([&] { return fleet.vm(0).gateway->IsReady(); }, Millis(2000));
  fleet.RunUntil([] { return false; }, Millis(1000));
  int request = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const std::function<bool()> served = [&] {
      const auto id = std::to_string(++request);
      const auto replies =
          fleet.Execute(fleet.vm(i), {MakeWrite("w" + id, "a"), MakeRead("r" + id, "a")});
      return replies[0].ok() && replies[1].ok();
    };
    EXPECT_TRUE(fleet.RunUntil(served, ToMillis(end - Clock::now()))) << fleet.vm(i).settings.vm_id;
  }
  // Once replaced homes are known, no statement is refused any more.
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto replies = fleet.Execute(fleet.vm(i), {MakeWrite("x" + std::to_string(i), "a")});
    EXPECT_TRUE(replies[0].ok()) << replies[0].error->text;
  }
}

// Guards against a row that a live VM loses for good.
TEST(GoneMembersTest, ALiveVmWritesItsRowAgain) {
  FakeFleet fleet(4, 2, 32);
  const auto id = fleet.vm(2).settings.vm_id;
  fleet.Run([&]() -> asio::awaitable<void> {
    TableWrite write{"members", id, std::nullopt, std::nullopt};
    co_await fleet.table.Port().write(std::move(write), Clock::now());
  });
  ASSERT_EQ(fleet.table.Get("members", id), "");
  EXPECT_TRUE(
      fleet.RunUntil([&] { return !fleet.table.Get("members", id).empty(); }, Millis(6000)));
}

// The question of a watcher is answered by a ping of the VM's listed address.
TEST(GoneMembersTest, AWitnessPingsTheListedVm) {
  FakeFleet fleet(3, 1, 32);
  fleet.vm(2).frozen = true;
  std::vector<std::string> bodies;
  fleet.Run([&]() -> asio::awaitable<void> {
    for (const auto* vm : {"vm-1", "vm-2", "other"}) {
      HttpRequest request;
      request.target = kPeerMemberPath;
      request.body = EncodeJson(PeerMemberRequest{vm});
      const auto response = co_await fleet.vm(0).gateway->HandlePeer(std::move(request));
      bodies.push_back(response.body);
    }
  });
  ASSERT_EQ(bodies.size(), 3U);
  EXPECT_EQ(bodies[0], EncodeJson(PeerMemberReply{true, true}));
  EXPECT_EQ(bodies[1], EncodeJson(PeerMemberReply{true, false}));
  EXPECT_EQ(bodies[2], EncodeJson(PeerMemberReply{false, false}));
}

}  // namespace
}  // namespace cardamom::testing
