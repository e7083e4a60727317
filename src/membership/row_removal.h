// Decides which rows of the table of members belong to VMs that are permanently gone.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/store_position.h"
#include "membership/vm_entry.h"

namespace cardamom {

// A row of the table of members, including one of a VM that leaves. A value type.
struct MemberRow {
  VmEntry entry;
  StoreVersion version;
};

struct RowRemovalPolicy {
  // Time between two rounds of pings.
  Millis round_interval{5000};
  // Time without an answer after which a row may be removed if several VMs confirm it and this VM
  // has had an answer before. Longer than the restart of a VM and than a suspension.
  Millis confirmed_silence{60'000};
  // As above, if only one other VM confirms it, much of the fleet does not answer, or this process
  // has never had an answer, as after a loss of power. Longer than the return of all VMs after that
  // and than a partition of regions, which take minutes.
  Millis lasting_silence{600'000};
  // Time for which the store must have answered without a restore.
  Millis store_calm{60'000};
  // A pause between two rounds longer than this shows a suspension of this process, so that
  // earlier silence proves nothing.
  Millis longest_pause{30'000};
  // Mean time between two attempts to remove a row, over the whole fleet.
  Millis fleet_spacing{2000};
  std::size_t max_witnesses = 5;
};

// Each VM watches the rows that follow its own in a ring, ordered by failure domain and hash of the
// id, up to the first VM that answers. So every row of a VM that is gone is watched by exactly one
// VM, and a fleet in which all answer sends one ping a VM and round. Before a row is removed, other
// VMs, the witnesses, ping its VM too. The interval between two attempts of a VM follows from the
// number of rows that it watches, so that all VMs together keep `fleet_spacing` without any
// message. Not thread safe. All times are BootClock times, so that suspensions count.
class RowRemoval {
 public:
  enum class WitnessAnswer {
    // The witness got no answer from the VM.
    kNoAnswer,
    // The witness got an answer from the VM.
    kAnswers,
    // The witness did not respond or does not know the VM.
    kUnknown,
  };
  // A row that may be removed if the witnesses confirm that its VM does not answer.
  struct Candidate {
    std::string vm;
    StoreVersion version;
    StoreEra era;
    std::vector<VmEntry> witnesses;
  };

  explicit RowRemoval(const VmEntry& self, const RowRemovalPolicy& policy = RowRemovalPolicy());

  // Adopts the rows of the table.
  void SetRows(std::vector<MemberRow> rows);
  // To be called at least once a second: whether the store answers, and its era.
  void OnStore(bool answers, StoreEra era, BootTime now);

  // Starts a round. NextPings returns the VMs to ping next, at the same time; OnPing must be called
  // for each of them before the next call. The round ends with an empty result.
  void BeginRound(BootTime now);
  std::vector<VmEntry> NextPings(BootTime now);
  void OnPing(const VmId& vm, bool answered, BootTime now);

  // The row to ask witnesses about now, at most one for each interval of this VM.
  std::optional<Candidate> NextCandidate(BootTime now);
  // Whether to remove the row of `candidate` now, on its version; `answers` are in the order of the
  // witnesses.
  bool MayRemove(const Candidate& candidate,
                 const std::vector<WitnessAnswer>& answers,
                 BootTime now);

 private:
  struct Silence {
    BootTime since;
    StoreVersion version;
    int attempts = 0;
  };

  bool StoreIsCalm(BootTime now) const;
  Millis Interval() const;
  void EndRound(bool any_answer);
  std::vector<VmEntry> ChooseWitnesses(const MemberRow& row, int attempt) const;
  const MemberRow* Find(const std::string& vm) const;
  bool IsDomainRepresented(const Candidate& candidate,
                           const std::vector<WitnessAnswer>& answers) const;

  const VmEntry m_self;
  const RowRemovalPolicy m_policy;
  // Rows of the other VMs in the order of the ring, beginning after this VM.
  std::vector<MemberRow> m_ring;
  std::map<std::string, Silence> m_silent;
  // VMs that have answered this process, with the version that their row had.
  std::map<std::string, StoreVersion> m_seen;
  // The last VM that answered a ping of a round; it is always asked as a witness.
  std::string m_successor;
  std::optional<BootTime> m_store_calm_since;
  StoreEra m_era;
  std::optional<BootTime> m_next_attempt;
  std::optional<BootTime> m_last_round;
  // State of the round: number of rows asked, and those without an answer.
  std::size_t m_asked = 0;
  std::size_t m_batch = 1;
  bool m_round_open = false;
  bool m_round_answered = false;
  std::set<std::string> m_round_silent;
};

}  // namespace cardamom
