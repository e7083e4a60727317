// Tests of the decision which rows of VMs that are gone are removed, in virtual time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "membership/row_removal.h"

namespace cardamom::testing {
namespace {

using Answer = RowRemoval::WitnessAnswer;

constexpr Millis kStep{1000};

// A table of members and VMs that watch it, in virtual time. Pings take no time.
class World {
 public:
  struct Vm {
    explicit Vm(VmEntry in) : entry(std::move(in)) { removal.emplace(entry); }
    VmEntry entry;
    std::optional<RowRemoval> removal;
    bool running = true;
    // Cut off from the VMs of other sides, and from the store if `side` is not 0.
    int side = 0;
    BootTime next_round;
    // Version of the table that the VM has adopted.
    std::uint64_t adopted = 0;
  };

  World(int vms, int domains) {
    for (int i = 0; i < vms; ++i) {
      Add("vm-" + std::to_string(i), "d" + std::to_string(i % domains));
    }
  }

  Vm& Add(const std::string& id, const std::string& domain) {
    VmEntry entry;
    entry.id = VmId(id);
    entry.domain = FailureDomain(domain);
    entry.peer_address = "127.0.0.1:1";
    auto& vm = *(vms[id] = std::make_unique<Vm>(entry));
    vm.next_round = now + Millis(100 * (vms.size() % 50));
    rows[id] = {entry, StoreVersion(++version)};
    return vm;
  }
  // A new process of the VM; it has observed nothing yet.
  void Restart(Vm& vm) {
    vm.removal.emplace(vm.entry);
    vm.adopted = 0;
    vm.running = true;
  }
  void Restore() {
    era = StoreEra(era.value() + 1);
    ++version;
  }
  bool Reaches(const Vm& from, const std::string& to) const {
    const auto it = vms.find(to);
    return it != vms.end() && from.running && it->second->running && from.side == it->second->side;
  }

  void Run(Millis span) {
    for (const auto end = now + span; now < end; now += kStep) {
      for (auto& [id, vm] : vms) {
        if (vm->running) {
          Step(*vm);
        }
      }
    }
  }

  BootTime now{std::chrono::hours(1)};
  std::map<std::string, std::unique_ptr<Vm>> vms;
  std::map<std::string, MemberRow> rows;
  bool store_answers = true;
  StoreEra era{1};
  std::uint64_t version = 0;
  // Times of the calls that remove a row.
  std::vector<BootTime> removals;
  std::size_t pings = 0;
  std::size_t questions = 0;

 private:
  void Step(Vm& vm) {
    const bool answers = store_answers && vm.side == 0;
    vm.removal->OnStore(answers, era, now);
    if (answers && !rows.contains(vm.entry.id.value())) {
      // Fleet::RegisterIfNeeded.
      rows[vm.entry.id.value()] = {vm.entry, StoreVersion(++version)};
    }
    if (now < vm.next_round) {
      return;
    }
    vm.next_round = now + Millis(5000);
    if (answers && vm.adopted != version) {
      vm.adopted = version;
      std::vector<MemberRow> all;
      for (const auto& [id, row] : rows) {
        all.push_back(row);
      }
      vm.removal->SetRows(all);
    }
    vm.removal->BeginRound(now);
    for (auto batch = vm.removal->NextPings(now); !batch.empty();
         batch = vm.removal->NextPings(now)) {
      for (const auto& target : batch) {
        ++pings;
        vm.removal->OnPing(target.id, Reaches(vm, target.id.value()), now);
      }
    }
    if (const auto candidate = vm.removal->NextCandidate(now)) {
      TryRemove(vm, *candidate);
    }
  }

  void TryRemove(Vm& vm, const RowRemoval::Candidate& candidate) {
    std::vector<Answer> answers;
    for (const auto& witness : candidate.witnesses) {
      ++questions;
      const auto& id = witness.id.value();
      answers.push_back(!Reaches(vm, id)                     ? Answer::kUnknown
                        : Reaches(*vms.at(id), candidate.vm) ? Answer::kAnswers
                                                             : Answer::kNoAnswer);
    }
    if (!vm.removal->MayRemove(candidate, answers, now)) {
      return;
    }
    EXPECT_TRUE(store_answers) << "a row is removed while the store does not answer";
    removals.push_back(now);
    const auto row = rows.find(candidate.vm);
    if (row != rows.end() && row->second.version == candidate.version) {
      rows.erase(row);
      ++version;
    }
  }
};

// Guards against rows that stay for ever, and against calls in a fleet without trouble.
TEST(RowRemovalTest, OneGoneVmIsRemovedWithinMinutes) {
  World world(300, 9);
  world.Run(std::chrono::minutes(5));
  EXPECT_EQ(world.removals.size(), 0U);
  EXPECT_EQ(world.questions, 0U);
  EXPECT_LE(world.pings, 300U * 61U);
  world.vms.at("vm-7")->running = false;
  // 60 s of silence, and half of 300 times the spacing of 2 s.
  world.Run(std::chrono::seconds(60 + 300 + 15));
  EXPECT_FALSE(world.rows.contains("vm-7"));
  EXPECT_EQ(world.removals.size(), 1U);
}

// Guards against bursts of calls after many VMs are lost at once. In that case all watchers notice
// it in the same round.
TEST(RowRemovalTest, TheWholeFleetMakesFewCalls) {
  World world(300, 9);
  world.Run(std::chrono::minutes(2));
  for (int i = 0; i < 300; i += 3) {
    world.vms.at("vm-" + std::to_string(i))->running = false;
  }
  world.Run(std::chrono::minutes(60));
  EXPECT_EQ(world.rows.size(), 200U);
  EXPECT_EQ(world.removals.size(), 100U);
  std::size_t most = 0;
  for (std::size_t first = 0, i = 0; i < world.removals.size(); ++i) {
    while (world.removals[i] - world.removals[first] > std::chrono::seconds(10)) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  EXPECT_LE(most, 20U) << "more than 2 calls a second over 10 s";
}

// The rows of the review's case: three VMs answer, 30 rows are of VMs that were replaced.
TEST(RowRemovalTest, RowsOfReplacedVmsAreRemovedThoughMostAreGone) {
  World world(33, 3);
  world.Run(std::chrono::seconds(100));
  for (int i = 3; i < 33; ++i) {
    world.vms.at("vm-" + std::to_string(i))->running = false;
  }
  world.Run(std::chrono::minutes(30));
  EXPECT_EQ(world.rows.size(), 3U);
}

// Guards against the removal of rows of VMs that come back after a loss of power: the first ones
// find nearly all others silent.
TEST(RowRemovalTest, TheLossOfAllVmsRemovesNothing) {
  World world(60, 3);
  world.Run(std::chrono::minutes(3));
  for (auto& [id, vm] : world.vms) {
    vm->running = false;
  }
  world.Run(std::chrono::minutes(20));
  for (auto& [id, vm] : world.vms) {
    world.Restart(*vm);
    world.Run(std::chrono::seconds(8));
  }
  world.Run(std::chrono::minutes(3));
  EXPECT_EQ(world.removals.size(), 0U);
  EXPECT_EQ(world.rows.size(), 60U);
}

// A failure domain is cut off from the others for minutes; its VMs answer each other.
TEST(RowRemovalTest, APartitionOfMinutesRemovesNothing) {
  World world(60, 3);
  world.Run(std::chrono::minutes(3));
  for (auto& [id, vm] : world.vms) {
    vm->side = vm->entry.domain.value() == "d1" ? 1 : 0;
  }
  world.Run(std::chrono::minutes(8));
  EXPECT_EQ(world.removals.size(), 0U);
}

// Guards against removals by a VM whose evidence is older than an outage, a restore or its own
// suspension.
TEST(RowRemovalTest, NothingIsRemovedRightAfterTheStoreOrThisVmWasAway) {
  for (int kind = 0; kind < 3; ++kind) {
    World world(3, 1);
    world.Run(std::chrono::minutes(3));
    world.vms.at("vm-1")->running = false;
    world.Run(std::chrono::seconds(50));
    world.store_answers = kind != 0;
    world.Run(std::chrono::seconds(kind == 0 ? 300 : 0));
    world.store_answers = true;
    if (kind == 1) {
      world.Restore();
    } else if (kind == 2) {
      world.now += std::chrono::minutes(10);
    }
    world.Run(std::chrono::seconds(59));
    EXPECT_EQ(world.removals.size(), 0U) << kind;
    world.Run(std::chrono::seconds(30));
    EXPECT_EQ(world.removals.size(), 1U) << kind;
  }
}

// A row that was written again belongs to another process, so earlier silence proves nothing.
TEST(RowRemovalTest, ARowThatWasWrittenAgainIsKept) {
  World world(3, 1);
  world.Run(std::chrono::minutes(3));
  world.vms.at("vm-1")->running = false;
  world.Run(std::chrono::seconds(55));
  world.rows.at("vm-1").version = StoreVersion(++world.version);
  world.Run(std::chrono::seconds(55));
  EXPECT_TRUE(world.rows.contains("vm-1"));
}

// VMs end, freeze, restart, are cut off and replaced; the store is unavailable and restored. Rows
// of VMs that run at the end come back, and no call comes too early or too often.
RC_GTEST_PROP(RowRemovalProperty, RowsOfLiveVmsComeBack, ()) {
  const auto count = *rc::gen::inRange(2, 16);
  const auto domains = *rc::gen::inRange(1, 4);
  World world(count, domains);
  world.Run(std::chrono::minutes(2));
  int added = 0;
  const auto steps = *rc::gen::inRange(1, 12);
  std::optional<BootTime> disturbed_until;
  for (int i = 0; i < steps; ++i) {
    auto it = world.vms.begin();
    std::advance(it, *rc::gen::inRange<std::size_t>(0, world.vms.size()));
    auto& vm = *it->second;
    const auto removed_before = world.removals.size();
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        vm.running = false;
        break;
      case 1:
        world.Restart(vm);
        break;
      case 2:
        // Resumes with the evidence from before.
        vm.running = true;
        break;
      case 3:
        vm.side = 1 - vm.side;
        break;
      case 4:
        world.store_answers = !world.store_answers;
        break;
      case 5:
        world.Restore();
        break;
      default:
        world.Add("new-" + std::to_string(++added), vm.entry.domain.value());
        break;
    }
    const auto quiet = world.store_answers ? Millis(0) : Millis(100'000);
    world.Run(quiet);
    if (!world.store_answers) {
      RC_ASSERT(world.removals.size() == removed_before);
    }
    world.Run(std::chrono::seconds(*rc::gen::inRange(1, 900)));
  }
  world.store_answers = true;
  world.Run(std::chrono::seconds(20));
  for (const auto& [id, vm] : world.vms) {
    RC_ASSERT(!vm->running || vm->side != 0 || world.rows.contains(id));
  }
  for (auto& [id, vm] : world.vms) {
    vm->side = 0;
  }
  world.Run(std::chrono::minutes(40));
  const auto running = std::count_if(world.vms.begin(), world.vms.end(),
                                     [](const auto& vm) { return vm.second->running; });
  std::size_t live_rows = 0;
  for (const auto& [id, vm] : world.vms) {
    live_rows += vm->running && world.rows.contains(id) ? 1 : 0;
  }
  RC_ASSERT(live_rows == static_cast<std::size_t>(running));
  // A single VM cannot tell whether the others are gone or it is cut off.
  RC_ASSERT(running < 2 || world.rows.size() == live_rows);
}

}  // namespace
}  // namespace cardamom::testing
